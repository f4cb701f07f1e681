#pragma once

#include <cstdint>

#include "base/time.h"
#include "chart/state_machine.h"

namespace daisyarch {

/// The leaves of charts/partition.yaml, in this order.
enum class PartitionPhase : std::uint8_t {
  kFollowing,
  kClaiming,
  kOwned,
  kHandingOver,
};

/// The events of charts/partition.yaml, in this order.
enum class PartitionEvent : std::uint8_t {
  kAssignedHere,
  kAssignedElsewhere,
  kClaimed,
  kClaimFailed,
  kHandedOver,
  kFenced,
  kLeaseLapsed,
};

/// What the guards and actions of charts/partition.yaml read and change.
struct PartitionContext {
  TimePoint m_now;
  TimePoint m_retry_at{};        ///< No claim before this.
  bool m_may_hold_head = false;  ///< The store may name this node as owner.
  /// A release was sent and may land at any time.
  bool m_is_release_sent = false;
  bool m_should_release = false;  ///< Set by an action for the caller.
  bool m_should_claim = false;    ///< Set by an action for the caller.
  bool m_should_drop = false;     ///< Set by an action for the caller.
};

using PartitionMachine =
    StateMachine<PartitionPhase, PartitionEvent, PartitionContext>;

/// A claim that failed is tried again after this long.
constexpr Duration kClaimRetryInterval = std::chrono::milliseconds(500);

ChartBinding<PartitionContext> PartitionBinding();

}  // namespace daisyarch
