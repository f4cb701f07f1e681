#include "node_services.h"

#include <utility>

#include "log/log.h"
#include "peer_calls.h"

namespace daisyarch {

namespace {

constexpr Duration kHostListInterval = std::chrono::seconds(2);
/// Time for the load balancer to notice that the node is not ready, before the
/// server stops accepting connections.
constexpr Duration kDrainNotice = std::chrono::seconds(1);

void StepNode(NodeServices& node, NodeEvent event) {
  const NodeState before = node.m_state;
  node.m_runtime.m_state_machines.m_node.Step(node.m_state, event,
                                              node.m_node_context);
  node.m_gateway.m_takes_requests = node.m_node_context.m_takes_requests;
  if (before == node.m_state) return;
  const auto index = static_cast<std::size_t>(node.m_state);
  LogEvent(LogLevel::kInfo, "node_state",
           {{"state", NodeBinding().m_states[index]}});
}

void ConnectServices(NodeServices& node) {
  node.m_membership.m_fill_heartbeat = [&node](Heartbeat& heartbeat) {
    heartbeat.m_configuration_version =
        node.m_configuration.m_current.m_version;
    heartbeat.m_idle_slots =
        CountSlots(node.m_gateway.m_endpoints, node.m_gateway.m_ledger).m_free;
    if (!IsWithinShares(node.m_gateway.m_ledger)) return;
    heartbeat.m_applied_members_version =
        node.m_gateway.m_ledger.m_members.m_version;
  };
  node.m_membership.m_on_members_adopted = [&node] {
    AdoptMembers(node.m_gateway.m_ledger, node.m_membership.m_table.m_members);
    ExpediteHeartbeat(node.m_membership);
  };
  node.m_membership.m_on_later_configuration = [&node](const Member& peer) {
    FetchConfiguration(node.m_configuration, peer.m_mesh_address);
  };
  node.m_configuration.m_on_adopted = [&node] {
    ApplyTargets(node.m_gateway.m_admission, node.m_configuration.m_current);
  };
  node.m_control.m_is_ready = [&node] {
    return node.m_node_context.m_is_ready;
  };
  node.m_control.m_start_drain = [&node] { StartNodeDrain(node); };
}

void ListHosts(NodeServices& node, TimePoint now) {
  if (node.m_is_listing_hosts || now < node.m_next_host_list_at) return;
  node.m_is_listing_hosts = true;
  node.m_next_host_list_at = now + kHostListInterval;
  node.m_runtime.m_platform.m_list_hosts(
      [&node](const Result<HostList>& result) {
        node.m_is_listing_hosts = false;
        if (!result) return LogError("hosts_not_listed", result.assume_error());
        const HostList& hosts = result.assume_value();
        ApplyEndpoints(node.m_gateway, hosts.m_endpoints,
                       node.m_runtime.m_clock.m_now());
        ApplyWorkers(node.m_partitions, hosts.m_workers);
      });
}

// Also grows this node's slot shares once all peers have applied the member
// list.
void UpdatePermissionToServe(NodeServices& node, TimePoint now) {
  if (AllPeersApplied(node.m_membership.m_table)) {
    GrowShares(node.m_gateway.m_ledger);
  }
  const bool may_serve = MayServe(node.m_membership.m_table, now);
  StepNode(node, may_serve ? NodeEvent::kPermissionGained
                           : NodeEvent::kPermissionLost);
}

void Stop(NodeServices& node) {
  StepNode(node, NodeEvent::kDrained);
  LogEvent(LogLevel::kInfo, "stopped", {});
  node.m_on_stopped();
}

// Drains in order: open requests, owned partitions, then the entry in the
// member list. After the drain timeout, the node no longer waits for requests
// and partitions.
void TickDrain(NodeServices& node, TimePoint now) {
  const Settings& settings = node.m_runtime.m_settings;
  const bool is_overdue =
      now > node.m_drain_started_at + settings.m_drain_timeout;
  if (now < node.m_drain_started_at + kDrainNotice) return;
  node.m_stop_accepting();
  if (node.m_count_open_requests() > 0 && !is_overdue) return;
  DrainPartitions(node.m_partitions);
  if (!IsDrained(node.m_partitions) && !is_overdue) return;
  if (node.m_is_leaving) return;
  node.m_is_leaving = true;
  LeaveMembership(node.m_membership, [&node] { Stop(node); });
}

void TickServices(NodeServices& node, TimePoint now) {
  TickMembership(node.m_membership, now);
  UpdatePermissionToServe(node, now);
  TickConfiguration(node.m_configuration, now);
  TickIdempotencyClaims(node.m_idempotency_claims, now);
  ListHosts(node, now);
  TickGateway(node.m_gateway, now);
  TickPartitions(node.m_partitions, now);
  if (node.m_state == NodeState::kDraining) TickDrain(node, now);
}

}  // namespace

NodeServices::NodeServices(const Settings& settings,
                           StateMachines state_machines)
    : m_runtime{settings, std::move(state_machines), {}, {}, {}, {}, {}, {},
                {}},
      m_membership{m_runtime},
      m_idempotency_claims{m_runtime},
      m_configuration{m_runtime, m_membership},
      m_gateway{m_runtime, m_membership, m_idempotency_claims},
      m_partitions{m_runtime, m_membership, m_configuration},
      m_control{m_runtime, m_membership, m_configuration, m_partitions,
                m_gateway} {}

void StartNode(NodeServices& node) {
  node.m_gateway.m_ledger.m_node = node.m_runtime.m_settings.m_node;
  node.m_gateway.m_random.m_state =
      static_cast<std::uint64_t>(node.m_runtime.m_clock.m_unix_milliseconds());
  ConnectServices(node);
  node.m_runtime.m_state_machines.m_node.Enter(node.m_state,
                                               node.m_node_context);
  StartMembership(node.m_membership);
  StartPartitions(node.m_partitions);
}

void TickNode(NodeServices& node, TimePoint now) {
  if (node.m_state == NodeState::kStopped) return;
  TickServices(node, now);
}

void StartNodeDrain(NodeServices& node) {
  if (node.m_state == NodeState::kDraining) return;
  node.m_drain_started_at = node.m_runtime.m_clock.m_now();
  StepNode(node, NodeEvent::kStopRequested);
  if (node.m_state == NodeState::kStopped) node.m_on_stopped();
}

void HandleNodeRequest(NodeServices& node, HttpRequest request,
                       HttpResponder respond) {
  if (IsControlPath(request.m_target)) {
    return HandleControl(node.m_control, request, std::move(respond));
  }
  HandleRequest(node.m_gateway, std::move(request), std::move(respond));
}

void HandleNodeCall(NodeServices& node, const std::string& method,
                    const Json& body, const std::string& peer,
                    MeshResponder respond) {
  PeerCalls calls{node.m_runtime, node.m_membership, node.m_configuration,
                  node.m_partitions, node.m_gateway};
  HandlePeerCall(calls, method, body, peer, std::move(respond));
}

}  // namespace daisyarch
