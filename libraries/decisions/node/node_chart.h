#pragma once

#include <cstdint>

#include "chart/state_machine.h"

namespace daisyarch {

/// The leaves of charts/node.yaml, in this order.
enum class NodeState : std::uint8_t {
  kStarting,
  kServing,
  kSuspended,
  kDraining,
  kStopped,
};

/// The events of charts/node.yaml, in this order.
enum class NodeEvent : std::uint8_t {
  kRightGained,
  kRightLost,
  kStopRequested,
  kDrained,
};

/// What the guards and actions of charts/node.yaml read and change.
struct NodeContext {
  bool m_is_ready = false;  ///< Told to the balancer.
  bool m_takes_requests = false;
  bool m_should_leave_list = false;  ///< Set once everything is drained.
};

using NodeMachine = StateMachine<NodeState, NodeEvent, NodeContext>;

ChartBinding<NodeContext> NodeBinding();

}  // namespace daisyarch
