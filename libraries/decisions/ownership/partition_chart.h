#pragma once

#include <cstdint>

#include "base/time.h"
#include "chart/state_machine.h"

namespace daisyarch {

/// The leaf states of charts/partition.yaml, in the same order.
enum class PartitionPhase : std::uint8_t {
  kNotOwned,     ///< This node does not own the partition.
  kClaiming,     ///< A claim is in progress.
  kOwned,        ///< This node places tasks in the partition.
  kHandingOver,  ///< Queued records are written, then ownership is released.
};

/// The events of charts/partition.yaml, in the same order.
enum class PartitionEvent : std::uint8_t {
  kAssignedHere,
  kAssignedElsewhere,
  kClaimed,
  kClaimFailed,
  kHandedOver,
  kFenced,
  kLeaseLapsed,
};

/// The state that the guards and actions of charts/partition.yaml read and
/// change.
struct PartitionContext {
  TimePoint m_now;
  TimePoint m_retry_at{};        ///< No claim or release before this time.
  bool m_may_hold_head = false;  ///< The head may name this node as owner.
  /// A release was sent and may take effect at any time.
  bool m_is_release_sent = false;
  /// Set by actions, for the caller to carry out after the step.
  bool m_should_release = false;
  bool m_should_claim = false;
  bool m_should_drop_state = false;  ///< Drops the owned partition.
};

using PartitionStateMachine =
    StateMachine<PartitionPhase, PartitionEvent, PartitionContext>;

/// Minimum time between attempts to claim or to release a partition.
constexpr Duration kClaimRetryInterval = std::chrono::milliseconds(500);

ChartBinding<PartitionContext> PartitionBinding();

}  // namespace daisyarch
