#pragma once

#include <functional>

#include "fakes/fake_loop.h"
#include "models/store_model.h"
#include "platform/platform.h"

namespace daisyarch {

/// The platform's service on top of a store model, with injected faults.
/// Probabilities are per call.
struct FakePlatform {
  FakeLoop& m_loop;
  StoreModel m_store;
  HostList m_hosts;
  /// The call takes effect, but times out.
  double m_answer_loss_probability = 0;
  /// The call times out and takes effect afterwards.
  double m_late_effect_probability = 0;
  /// The call fails with kUnavailable and has no effect.
  double m_refusal_probability = 0;
  TimePoint m_outage_until{};  ///< Until then, calls time out.
  Duration m_maximum_delay = std::chrono::milliseconds(5);
  /// How many calls are handled before the caller crashes; negative for no
  /// crash. The call after them runs m_on_crash and has no other effect.
  std::int64_t m_calls_before_crash = -1;
  std::function<void()> m_on_crash;
};

/// Runs a callback at the caller, or drops it if the caller has died.
using RunAtCaller = std::function<void(std::function<void()>)>;

/// Returns a client of the fake. `is_unreachable` returns whether this
/// caller alone cannot reach the service at present.
Platform MakeFakePlatform(FakePlatform& fake, RunAtCaller run_at_caller,
                          std::function<bool()> is_unreachable);

}  // namespace daisyarch
