#include "daemon.h"

#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <map>
#include <utility>

#include "http/http_server.h"
#include "mesh/mesh_client.h"
#include "mesh/mesh_server.h"
#include "node_services.h"
#include "platform/http_platform.h"
#include "runtime.h"
#include "wire/json.h"
#include "worker_http.h"

namespace daisyarch {

namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(20);
constexpr Duration kPlatformTimeout = std::chrono::seconds(2);

TimePoint LoopNow() {
  return TimePoint(std::chrono::duration_cast<Duration>(
      std::chrono::steady_clock::now().time_since_epoch()));
}

std::int64_t UnixMilliseconds() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

/// Clients by address, created when first used.
template <typename Client>
struct ClientTable {
  std::map<std::string, std::unique_ptr<Client>> m_clients;
};

HttpClient* GetOrCreateHttpClient(ClientTable<HttpClient>& table,
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

MeshClient* GetOrCreateMeshClient(ClientTable<MeshClient>& table,
                                  boost::asio::io_context& loop,
                                  const std::string& address) {
  std::unique_ptr<MeshClient>& client = table.m_clients[address];
  if (client) return client.get();
  const auto parsed = ParseAddress(address);
  if (!parsed) return nullptr;
  client = std::make_unique<MeshClient>(loop, parsed.assume_value());
  return client.get();
}

Error MakeAddressError(const std::string& address) {
  return Error{ErrorCode::kUnavailable, "parse address", address,
               "expected IP:port"};
}

}  // namespace

struct Daemon::State {
  State(boost::asio::io_context& loop, const Settings& settings,
        StateMachines state_machines)
      : m_loop(loop),
        m_node(settings, std::move(state_machines)),
        m_timer(loop) {}

  boost::asio::io_context& m_loop;
  ClientTable<MeshClient> m_mesh_clients;
  ClientTable<HttpClient> m_worker_clients;
  ClientTable<HttpClient> m_endpoint_clients;
  NodeServices m_node;
  std::unique_ptr<HttpServer> m_http;
  std::unique_ptr<MeshServer> m_mesh;
  boost::asio::steady_timer m_timer;
  bool m_is_stopped = false;
};

namespace {

using State = Daemon::State;

void ConnectCallers(State& state) {
  state.m_node.m_runtime.m_peers.m_call =
      [&state](const std::string& address, const std::string& method, Json body,
               Duration timeout, MeshResponder on_answer) {
        MeshClient* client =
            GetOrCreateMeshClient(state.m_mesh_clients, state.m_loop, address);
        if (client == nullptr) return on_answer(MakeAddressError(address));
        client->Call(method, std::move(body), timeout, std::move(on_answer));
      };
  state.m_node.m_runtime.m_workers.m_exchange =
      [&state](const std::string& address, const WorkerId& worker,
               const WorkerControl& control, Duration timeout,
               std::function<void(Result<WorkerReport>)> on_answer) {
        HttpClient* client = GetOrCreateHttpClient(state.m_worker_clients,
                                                   state.m_loop, address);
        if (client == nullptr) return on_answer(MakeAddressError(address));
        ExchangeOverHttp(*client, worker, control, timeout,
                         std::move(on_answer));
      };
  state.m_node.m_runtime.m_endpoints.m_send =
      [&state](const std::string& address, HttpRequest request,
               Duration timeout, HttpResponseCallback on_answer) {
        HttpClient* client = GetOrCreateHttpClient(state.m_endpoint_clients,
                                                   state.m_loop, address);
        if (client == nullptr) return on_answer(MakeAddressError(address));
        client->Send(std::move(request), timeout, std::move(on_answer));
      };
  state.m_node.m_runtime.m_endpoints.m_close_connections = [&state] {
    for (auto& entry : state.m_endpoint_clients.m_clients) {
      entry.second->CloseAllConnections();
    }
  };
}

void ConnectServers(State& state) {
  NodeServices& node = state.m_node;
  node.m_stop_accepting = [&state] { state.m_http->StartDraining(); };
  node.m_count_open_requests = [&state] {
    return state.m_http->open_requests();
  };
  node.m_on_stopped = [&state] {
    state.m_is_stopped = true;
    state.m_http->StartDraining();
    state.m_mesh->Stop();
    state.m_timer.cancel();
    state.m_loop.stop();
  };
}

void ScheduleTick(State& state) {
  state.m_timer.expires_after(kTickInterval);
  state.m_timer.async_wait([&state](boost::system::error_code code) {
    if (code || state.m_is_stopped) return;
    TickNode(state.m_node, LoopNow());
    if (!state.m_is_stopped) ScheduleTick(state);
  });
}

Result<void> OpenServers(State& state) {
  const Settings& settings = state.m_node.m_runtime.m_settings;
  TRY_ASSIGN(state.m_http,
             HttpServer::Create(
                 state.m_loop, settings.m_http_address, HttpServerLimits(),
                 [&state](HttpRequest request, HttpResponder respond) {
                   HandleNodeRequest(state.m_node, std::move(request),
                                     std::move(respond));
                 }));
  TRY_ASSIGN(state.m_mesh,
             MeshServer::Create(
                 state.m_loop, settings.m_mesh_address,
                 [&state](const std::string& method, const Json& body,
                          const std::string& peer, MeshResponder respond) {
                   HandleNodeCall(state.m_node, method, body, peer,
                                  std::move(respond));
                 }));
  return Success();
}

}  // namespace

Daemon::Daemon(std::unique_ptr<State> state) : m_state(std::move(state)) {}

Daemon::~Daemon() = default;

Result<std::unique_ptr<Daemon>> Daemon::Create(boost::asio::io_context& loop,
                                               const Settings& settings) {
  TRY_ASSIGN(StateMachines state_machines,
             LoadStateMachines(settings.m_charts_directory));
  auto state =
      std::make_unique<State>(loop, settings, std::move(state_machines));
  Runtime& runtime = state->m_node.m_runtime;
  runtime.m_clock = Clock{LoopNow, UnixMilliseconds};
  runtime.m_platform = ObserveStoreHealth(
      MakeHttpPlatform(loop, settings.m_platform_address, kPlatformTimeout),
      runtime);
  ConnectCallers(*state);
  ConnectServers(*state);
  TRY(OpenServers(*state));
  StartNode(state->m_node);
  ScheduleTick(*state);
  return std::unique_ptr<Daemon>(new Daemon(std::move(state)));
}

void Daemon::StartDrain() { StartNodeDrain(m_state->m_node); }

}  // namespace daisyarch
