#pragma once

#include <functional>

#include "fakes/fake_loop.h"
#include "models/store_model.h"
#include "platform/platform.h"

namespace daisyarch {

/// The platform's service over a store model, with faults.
struct FakePlatform {
  FakeLoop& m_loop;
  StoreModel m_store;
  HostList m_hosts;
  double m_answer_loss_probability = 0;  ///< Of a call that took effect.
  double m_late_effect_probability =
      0;  ///< A write that times out and lands later.
  double m_refusal_probability = 0;  ///< Certainly without effect.
  TimePoint m_outage_until{};
  Duration m_maximum_delay = std::chrono::milliseconds(5);
  /// Counts down with each call; at zero the caller is gone: see m_on_crash.
  std::int64_t m_calls_before_crash = -1;
  std::function<void()> m_on_crash;
};

/// Delivers an answer to the caller, or drops it when the caller is gone.
using RunAtCaller = std::function<void(std::function<void()>)>;

/// `is_cut` tells whether the caller alone misses the service at present.
Platform MakeFakePlatform(FakePlatform& fake, RunAtCaller run_at_caller,
                          std::function<bool()> is_unreachable);

}  // namespace daisyarch
