#pragma once

#include <functional>

#include "configuration_service.h"
#include "control_api.h"
#include "gateway.h"
#include "idempotency_claims.h"
#include "membership_service.h"
#include "partition_service.h"
#include "runtime.h"

namespace daisyarch {

/// The services of one node without its sockets, which the daemon connects and
/// tests replace by fakes. Not movable, since the services refer to each other.
struct NodeServices {
  NodeServices(const Settings& settings, StateMachines state_machines);
  NodeServices(const NodeServices&) = delete;
  NodeServices& operator=(const NodeServices&) = delete;

  Runtime m_runtime;
  MembershipService m_membership;
  IdempotencyClaims m_idempotency_claims;
  ConfigurationService m_configuration;
  Gateway m_gateway;
  PartitionService m_partitions;
  ControlApi m_control;
  NodeState m_state = NodeState::kStarting;
  NodeContext m_node_context;
  TimePoint m_next_host_list_at{};
  bool m_is_listing_hosts = false;
  TimePoint m_drain_started_at{};
  bool m_is_leaving = false;

  /// Makes the HTTP server accept no more connections.
  std::function<void()> m_stop_accepting = [] {};
  /// Returns the number of the HTTP server's unfinished requests.
  std::function<std::size_t()> m_count_open_requests = [] { return 0; };
  /// Called when the node has stopped; the process may exit.
  std::function<void()> m_on_stopped = [] {};
};

/// Connects the services and starts to join. The runtime's clock, platform
/// and functions for outgoing calls must be set before.
void StartNode(NodeServices& node);

/// Runs everything that is due. Call it at short intervals.
void TickNode(NodeServices& node, TimePoint now);

/// Starts a graceful stop; a node that never served stops at once.
void StartNodeDrain(NodeServices& node);

/// Answers a client's, submitter's or operator's request.
void HandleNodeRequest(NodeServices& node, HttpRequest request,
                       HttpResponder respond);

/// Answers a call from another node.
void HandleNodeCall(NodeServices& node, const std::string& method,
                    const Json& body, const std::string& peer,
                    MeshResponder respond);

}  // namespace daisyarch
