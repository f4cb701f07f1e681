#include "daemon.h"

#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <map>
#include <utility>

#include "configuration_service.h"
#include "control_api.h"
#include "gateway.h"
#include "http/http_server.h"
#include "log/log.h"
#include "membership_service.h"
#include "mesh/mesh_client.h"
#include "mesh/mesh_server.h"
#include "once_claims.h"
#include "partition_service.h"
#include "peer_calls.h"
#include "platform/http_platform.h"
#include "runtime.h"
#include "wire/json.h"
#include "worker_http.h"

namespace daisyarch {

namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(20);
constexpr Duration kHostListInterval = std::chrono::seconds(2);
constexpr Duration kPlatformTimeout = std::chrono::seconds(2);
/// Time for the balancer to notice before the doors close.
constexpr Duration kDrainNotice = std::chrono::seconds(1);

TimePoint LoopNow() {
  return TimePoint(std::chrono::duration_cast<Duration>(
      std::chrono::steady_clock::now().time_since_epoch()));
}

std::int64_t UnixMilliseconds() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

/// Connections by address, opened as they are needed.
template <typename Client>
struct ClientTable {
  std::map<std::string, std::unique_ptr<Client>> m_clients;
};

HttpClient* FindHttpClient(ClientTable<HttpClient>& table,
                           boost::asio::io_context& loop,
                           const std::string& address) {
  std::unique_ptr<HttpClient>& client = table.m_clients[address];
  if (client) return client.get();
  const auto parsed = ParseAddress(address);
  if (!parsed) return nullptr;
  client = std::make_unique<HttpClient>(loop, parsed.assume_value(),
                                        HttpClientLimits());
  return client.get();
}

MeshClient* FindMeshClient(ClientTable<MeshClient>& table,
                           boost::asio::io_context& loop,
                           const std::string& address) {
  std::unique_ptr<MeshClient>& client = table.m_clients[address];
  if (client) return client.get();
  const auto parsed = ParseAddress(address);
  if (!parsed) return nullptr;
  client = std::make_unique<MeshClient>(loop, parsed.assume_value());
  return client.get();
}

Error BadAddress(const std::string& address) {
  return Error{ErrorCode::kUnavailable, "parse address", address,
               "expected IP:port"};
}

}  // namespace

struct Daemon::State {
  State(boost::asio::io_context& loop, const Settings& settings,
        Machines machines)
      : m_loop(loop),
        m_runtime{settings, std::move(machines), {}, {}, {}, {}, {}, {}, {}},
        m_membership{m_runtime},
        m_claims{m_runtime},
        m_configuration{m_runtime, m_membership},
        m_gateway{m_runtime, m_membership, m_claims},
        m_partitions{m_runtime, m_membership, m_configuration},
        m_control{m_runtime, m_membership, m_configuration, m_partitions,
                  m_gateway},
        m_timer(loop) {}

  boost::asio::io_context& m_loop;
  ClientTable<MeshClient> m_mesh_clients;
  ClientTable<HttpClient> m_worker_clients;
  ClientTable<HttpClient> m_endpoint_clients;
  Runtime m_runtime;
  MembershipService m_membership;
  OnceClaims m_claims;
  ConfigurationService m_configuration;
  Gateway m_gateway;
  PartitionService m_partitions;
  ControlApi m_control;
  std::unique_ptr<HttpServer> m_http;
  std::unique_ptr<MeshServer> m_mesh;
  boost::asio::steady_timer m_timer;
  NodeState m_node_state = NodeState::kStarting;
  NodeContext m_node;
  TimePoint m_hosts_at{};
  bool m_is_listing = false;
  TimePoint m_drain_started_at{};
  bool m_is_leaving = false;
  bool m_is_stopped = false;
};

namespace {

using State = Daemon::State;

void StepNode(State& state, NodeEvent event) {
  const NodeState before = state.m_node_state;
  state.m_runtime.m_machines.m_node.Step(state.m_node_state, event,
                                         state.m_node);
  state.m_gateway.m_takes_requests = state.m_node.m_takes_requests;
  if (before == state.m_node_state) return;
  const auto index = static_cast<std::size_t>(state.m_node_state);
  LogEvent(LogLevel::kInfo, "node_state",
           {{"state", NodeBinding().m_states[index]}});
}

void ConnectCallers(State& state) {
  state.m_runtime.m_peers.m_call =
      [&state](const std::string& address, const std::string& method, Json body,
               Duration timeout, MeshResponder on_answer) {
        MeshClient* client =
            FindMeshClient(state.m_mesh_clients, state.m_loop, address);
        if (client == nullptr) return on_answer(BadAddress(address));
        client->Call(method, std::move(body), timeout, std::move(on_answer));
      };
  state.m_runtime.m_workers.m_exchange =
      [&state](const std::string& address, const WorkerId& worker,
               const WorkerControl& control, Duration timeout,
               std::function<void(Result<WorkerReport>)> on_answer) {
        HttpClient* client =
            FindHttpClient(state.m_worker_clients, state.m_loop, address);
        if (client == nullptr) return on_answer(BadAddress(address));
        ExchangeOverHttp(*client, worker, control, timeout,
                         std::move(on_answer));
      };
  state.m_runtime.m_endpoints.m_send =
      [&state](const std::string& address, HttpRequest request,
               Duration timeout, HttpAnswer on_answer) {
        HttpClient* client =
            FindHttpClient(state.m_endpoint_clients, state.m_loop, address);
        if (client == nullptr) return on_answer(BadAddress(address));
        client->Send(std::move(request), timeout, std::move(on_answer));
      };
}

void ConnectServices(State& state) {
  state.m_membership.m_fill_heartbeat = [&state](Heartbeat& heartbeat) {
    heartbeat.m_configuration = state.m_configuration.m_current.m_version;
    heartbeat.m_idle_slots =
        CountSlots(state.m_gateway.m_endpoints, state.m_gateway.m_ledger)
            .m_free;
    if (!IsSettled(state.m_gateway.m_ledger)) return;
    heartbeat.m_settled = state.m_gateway.m_ledger.m_members.m_version;
  };
  state.m_membership.m_on_members = [&state] {
    AdoptMembers(state.m_gateway.m_ledger,
                 state.m_membership.m_table.m_members);
    HastenHeartbeat(state.m_membership);
  };
  state.m_membership.m_on_later_configuration = [&state](const Member& peer) {
    FetchConfiguration(state.m_configuration, peer);
  };
  state.m_configuration.m_on_adopted = [&state] {
    ApplyTargets(state.m_gateway.m_admission, state.m_configuration.m_current);
  };
  state.m_control.m_is_ready = [&state] { return state.m_node.m_is_ready; };
}

void ListHosts(State& state, TimePoint now) {
  if (state.m_is_listing || now < state.m_hosts_at) return;
  state.m_is_listing = true;
  state.m_hosts_at = now + kHostListInterval;
  state.m_runtime.m_platform.m_list_hosts(
      [&state](const Result<HostList>& result) {
        state.m_is_listing = false;
        if (!result) return LogError("hosts_not_listed", result.assume_error());
        const HostList& hosts = result.assume_value();
        ApplyEndpoints(state.m_gateway, hosts.m_endpoints,
                       state.m_runtime.m_clock.m_now());
        ApplyWorkers(state.m_partitions, hosts.m_workers);
      });
}

// The right to serve also asks for the share of the slots to be known.
void CheckRight(State& state, TimePoint now) {
  if (AllSettled(state.m_membership.m_table)) {
    CompleteShares(state.m_gateway.m_ledger);
  }
  const bool may_serve = MayServe(state.m_membership.m_table, now);
  StepNode(state, may_serve ? NodeEvent::kRightGained : NodeEvent::kRightLost);
}

void Stop(State& state) {
  state.m_is_stopped = true;
  StepNode(state, NodeEvent::kDrained);
  state.m_http->StartDraining();
  state.m_mesh->Stop();
  state.m_timer.cancel();
  LogEvent(LogLevel::kInfo, "stopped", {});
  state.m_loop.stop();
}

// Requests first, then partitions, then the place in the list.
void TickDrain(State& state, TimePoint now) {
  const Settings& settings = state.m_runtime.m_settings;
  const bool is_overdue =
      now > state.m_drain_started_at + settings.m_drain_timeout;
  if (now < state.m_drain_started_at + kDrainNotice) return;
  state.m_http->StartDraining();
  if (state.m_http->open_requests() > 0 && !is_overdue) return;
  DrainPartitions(state.m_partitions);
  if (!IsDrained(state.m_partitions) && !is_overdue) return;
  if (state.m_is_leaving) return;
  state.m_is_leaving = true;
  LeaveMembership(state.m_membership, [&state] { Stop(state); });
}

void Tick(State& state) {
  const TimePoint now = state.m_runtime.m_clock.m_now();
  TickMembership(state.m_membership, now);
  CheckRight(state, now);
  TickConfiguration(state.m_configuration, now);
  TickOnceClaims(state.m_claims, now);
  ListHosts(state, now);
  TickGateway(state.m_gateway, now);
  TickPartitions(state.m_partitions, now);
  if (state.m_node_state == NodeState::kDraining) TickDrain(state, now);
}

void ScheduleTick(State& state) {
  state.m_timer.expires_after(kTickInterval);
  state.m_timer.async_wait([&state](boost::system::error_code code) {
    if (code || state.m_is_stopped) return;
    Tick(state);
    if (!state.m_is_stopped) ScheduleTick(state);
  });
}

Result<void> OpenServers(State& state) {
  const Settings& settings = state.m_runtime.m_settings;
  TRY_ASSIGN(state.m_http,
             HttpServer::Create(
                 state.m_loop, settings.m_http_address, HttpServerLimits(),
                 [&state](HttpRequest request, HttpResponder respond) {
                   if (IsControlPath(request.m_target)) {
                     return HandleControl(state.m_control, request,
                                          std::move(respond));
                   }
                   HandleRequest(state.m_gateway, std::move(request),
                                 std::move(respond));
                 }));
  TRY_ASSIGN(state.m_mesh,
             MeshServer::Create(
                 state.m_loop, settings.m_mesh_address,
                 [&state](const std::string& method, const Json& body,
                          const std::string& peer, MeshResponder respond) {
                   PeerCalls calls{state.m_runtime, state.m_membership,
                                   state.m_configuration, state.m_partitions,
                                   state.m_gateway};
                   HandlePeerCall(calls, method, body, peer,
                                  std::move(respond));
                 }));
  return Success();
}

}  // namespace

Daemon::Daemon(std::unique_ptr<State> state) : m_state(std::move(state)) {}

Daemon::~Daemon() = default;

Result<std::unique_ptr<Daemon>> Daemon::Create(boost::asio::io_context& loop,
                                               const Settings& settings) {
  TRY_ASSIGN(Machines machines, LoadMachines(settings.m_charts_directory));
  auto state = std::make_unique<State>(loop, settings, std::move(machines));
  Runtime& runtime = state->m_runtime;
  runtime.m_clock = Clock{LoopNow, UnixMilliseconds};
  runtime.m_platform = WatchHealth(
      MakeHttpPlatform(loop, settings.m_platform_address, kPlatformTimeout),
      runtime);
  state->m_gateway.m_ledger.m_node = settings.m_node;
  state->m_gateway.m_random.m_state =
      static_cast<std::uint64_t>(UnixMilliseconds());
  ConnectCallers(*state);
  ConnectServices(*state);
  TRY(OpenServers(*state));
  StartMembership(state->m_membership);
  StartPartitions(state->m_partitions);
  ScheduleTick(*state);
  std::unique_ptr<Daemon> daemon(new Daemon(std::move(state)));
  daemon->m_state->m_control.m_start_drain = [target = daemon.get()] {
    target->StartDrain();
  };
  return daemon;
}

void Daemon::StartDrain() {
  if (m_state->m_node_state == NodeState::kDraining) return;
  m_state->m_drain_started_at = m_state->m_runtime.m_clock.m_now();
  StepNode(*m_state, NodeEvent::kStopRequested);
  if (m_state->m_node_state == NodeState::kStopped) Stop(*m_state);
}

}  // namespace daisyarch
