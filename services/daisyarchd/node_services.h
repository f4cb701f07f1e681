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

/// The services of one node without its sockets: the daemon gives it real
/// ones, tests give it fakes. Not movable, since the services refer to each
/// other.
struct NodeServices {
  NodeServices(const Settings& settings, Machines machines);
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

  /// The server stops taking connections; how many requests it has open.
  std::function<void()> m_stop_accepting = [] {};
  std::function<std::size_t()> m_count_open_requests = [] { return 0; };
  /// Everything is handed over; the process may end.
  std::function<void()> m_on_stopped = [] {};
};

/// Connects the services and begins to take part. The runtime's clock,
/// platform and callers have to be set before.
void StartNode(NodeServices& node);

/// Does all that is due. To be called at short intervals.
void TickNode(NodeServices& node, TimePoint now);

/// Begins a graceful stop.
void StartNodeDrain(NodeServices& node);

/// Answers a caller's or an operator's request.
void HandleNodeRequest(NodeServices& node, HttpRequest request,
                       HttpResponder respond);

/// Answers a call of another node.
void HandleNodeCall(NodeServices& node, const std::string& method,
                    const Json& body, const std::string& peer,
                    MeshResponder respond);

}  // namespace daisyarch
