#pragma once

#include <cstdint>

#include "chart/state_machine.h"

namespace daisyarch {

/// The leaf states of charts/node.yaml, in the same order.
enum class NodeState : std::uint8_t {
  kStarting,   ///< Waits for the permission to serve.
  kServing,    ///< Accepts requests.
  kSuspended,  ///< Lost the permission to serve; may regain it.
  kDraining,   ///< Finishes its work; reported as not ready.
  kStopped,
};

/// The events of charts/node.yaml, in the same order.
enum class NodeEvent : std::uint8_t {
  kPermissionGained,
  kPermissionLost,
  kStopRequested,
  kDrained,
};

/// The state that the guards and actions of charts/node.yaml read and change.
struct NodeContext {
  bool m_is_ready = false;  ///< Reported to the load balancer.
  bool m_takes_requests = false;
  bool m_should_leave_node_list = false;  ///< Set when the node has stopped.
};

using NodeStateMachine = StateMachine<NodeState, NodeEvent, NodeContext>;

ChartBinding<NodeContext> NodeBinding();

}  // namespace daisyarch
