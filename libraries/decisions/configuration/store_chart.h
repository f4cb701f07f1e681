#pragma once

#include <cstdint>

#include "base/time.h"
#include "chart/state_machine.h"

namespace daisyarch {

/// The leaves of charts/configuration_store.yaml, in this order.
enum class StoreState : std::uint8_t { kUp, kSlow, kDown };

/// The events of charts/configuration_store.yaml, in this order.
enum class StoreEvent : std::uint8_t { kAnswered, kAnsweredLate, kFailed };

/// How the store has answered of late.
struct StoreHealth {
  StoreState m_state = StoreState::kUp;
  std::uint32_t m_failures_in_row = 0;
};

/// What the guards and actions of charts/configuration_store.yaml use.
struct StoreContext {
  StoreHealth& m_health;
};

using StoreMachine = StateMachine<StoreState, StoreEvent, StoreContext>;

/// An answer that took longer than this is late.
constexpr Duration kStoreLateAfter = std::chrono::milliseconds(500);
/// The store counts as down after this many failures in a row.
constexpr std::uint32_t kStoreFailuresBeforeDown = 3;

ChartBinding<StoreContext> StoreBinding();

}  // namespace daisyarch
