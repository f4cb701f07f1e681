#pragma once

#include <cstdint>

#include "base/time.h"
#include "chart/state_machine.h"

namespace daisyarch {

/// The leaf states of charts/configuration_store.yaml, in the same order.
enum class StoreState : std::uint8_t { kUp, kSlow, kDown };

/// The events of charts/configuration_store.yaml, in the same order.
enum class StoreEvent : std::uint8_t { kAnswered, kAnsweredLate, kFailed };

/// The health of the store, as observed by one node.
struct StoreHealth {
  StoreState m_state = StoreState::kUp;
  std::uint32_t m_consecutive_failures = 0;
};

/// The state that the guards and actions of charts/configuration_store.yaml
/// read and change.
struct StoreContext {
  StoreHealth& m_health;
};

using StoreStateMachine = StateMachine<StoreState, StoreEvent, StoreContext>;

/// An answer that took longer than this is late.
constexpr Duration kStoreLateAnswerThreshold = std::chrono::milliseconds(500);
/// The store counts as down after this many consecutive failures.
constexpr std::uint32_t kStoreFailuresBeforeDown = 3;

ChartBinding<StoreContext> StoreBinding();

}  // namespace daisyarch
