#include "fakes/fake_fleet.h"

#include <algorithm>
#include <utility>

namespace daisyarch {

namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(20);
constexpr Duration kMinimumNetworkDelay = std::chrono::microseconds(500);
constexpr Duration kMaximumNetworkDelay = std::chrono::milliseconds(3);
constexpr Duration kMaximumMessageDelay = std::chrono::seconds(12);

Duration DrawNetworkDelay(FakeLoop& loop) {
  return DelayBetween(loop, kMinimumNetworkDelay, kMaximumNetworkDelay);
}

// Runs an event inside a node: not at all if the node is dead, and after the
// pause if it is paused.
void RunInNode(FakeFleet& fleet, FakeNode& node, std::function<void()> event) {
  if (!node.m_is_alive) return;
  if (fleet.m_loop.m_now >= node.m_paused_until) return event();
  RunAfter(fleet.m_loop, node.m_paused_until - fleet.m_loop.m_now,
           [&fleet, &node, event = std::move(event)] {
             RunInNode(fleet, node, event);
           });
}

FakeNode* FindNode(FakeFleet& fleet, const std::string& address) {
  for (auto node = fleet.m_nodes.rbegin(); node != fleet.m_nodes.rend();
       ++node) {
    const bool is_match =
        (*node)->m_is_alive && (*node)->m_mesh_address == address;
    if (is_match) return node->get();
  }
  return nullptr;
}

bool IsLinkBroken(const FakeFleet& fleet, const std::string& left,
                  const std::string& right) {
  return fleet.m_broken_node_links.count({left, right}) != 0 ||
         fleet.m_broken_node_links.count({right, left}) != 0;
}

/// Calls back once, inside the node, with whichever comes first: an answer or
/// the timeout.
template <typename Value>
class OneShotCallback {
 public:
  OneShotCallback(FakeFleet& fleet, FakeNode& node,
                  std::function<void(Result<Value>)> on_answer)
      : m_fleet(fleet), m_node(node), m_on_answer(std::move(on_answer)) {}

  void Complete(Result<Value> result) {
    if (!m_on_answer) return;
    auto on_answer = std::move(m_on_answer);
    m_on_answer = nullptr;
    RunInNode(m_fleet, m_node,
              [on_answer = std::move(on_answer), result = std::move(result)] {
                on_answer(result);
              });
  }

 private:
  FakeFleet& m_fleet;
  FakeNode& m_node;
  std::function<void(Result<Value>)> m_on_answer;
};

Error TimeoutError(const std::string& peer) {
  return Error{ErrorCode::kOutcomeUnknown, "call", peer, "timed out"};
}

// Returns a callback that completes with an error after the timeout.
template <typename Value>
std::shared_ptr<OneShotCallback<Value>> MakeTimedCallback(
    FakeFleet& fleet, FakeNode& node, const std::string& peer, Duration timeout,
    std::function<void(Result<Value>)> on_answer) {
  auto callback = std::make_shared<OneShotCallback<Value>>(
      fleet, node, std::move(on_answer));
  RunAfter(fleet.m_loop, timeout,
           [callback, peer] { callback->Complete(TimeoutError(peer)); });
  return callback;
}

void CallPeer(FakeFleet& fleet, FakeNode& node, const std::string& address,
              const std::string& method, const Json& body, Duration timeout,
              MeshResponder on_answer) {
  const auto callback = MakeTimedCallback<Json>(fleet, node, address, timeout,
                                                std::move(on_answer));
  if (IsLinkBroken(fleet, node.m_mesh_address, address)) return;
  RunAfter(
      fleet.m_loop, DrawNetworkDelay(fleet.m_loop),
      [&fleet, &node, address, method, body, callback] {
        FakeNode* peer = FindNode(fleet, address);
        if (peer == nullptr) return;
        RunInNode(fleet, *peer, [&fleet, &node, peer, method, body, callback] {
          HandleNodeCall(
              *peer->m_services, method, body, node.m_mesh_address,
              [&fleet, &node, peer, callback](const Result<Json>& result) {
                if (!peer->m_is_alive) return;
                if (IsLinkBroken(fleet, node.m_mesh_address,
                                 peer->m_mesh_address)) {
                  return;
                }
                RunAfter(fleet.m_loop, DrawNetworkDelay(fleet.m_loop),
                         [callback, result] { callback->Complete(result); });
              });
        });
      });
}

void DeliverControl(
    FakeFleet& fleet, const WorkerId& id, const WorkerControl& control,
    const std::shared_ptr<OneShotCallback<WorkerReport>>& callback) {
  FakeWorker& worker = fleet.m_workers.at(id);
  if (fleet.m_loop.m_now < worker.m_unreachable_until) return;
  const WorkerReport report =
      ApplyControl(worker.m_model, control, fleet.m_loop.m_now);
  if (Chance(fleet.m_loop, fleet.m_worker_answer_loss_probability)) return;
  RunAfter(fleet.m_loop, DrawNetworkDelay(fleet.m_loop),
           [callback, report] { callback->Complete(report); });
}

void CallWorker(FakeFleet& fleet, FakeNode& node, const WorkerId& worker,
                const WorkerControl& control, Duration timeout,
                std::function<void(Result<WorkerReport>)> on_answer) {
  const auto callback = MakeTimedCallback<WorkerReport>(
      fleet, node, worker.value(), timeout, std::move(on_answer));
  if (fleet.m_broken_worker_links.count({node.m_mesh_address, worker}) != 0)
    return;
  const bool is_late =
      Chance(fleet.m_loop, fleet.m_late_worker_message_probability);
  const Duration delay =
      is_late ? DelayBetween(fleet.m_loop, timeout, kMaximumMessageDelay)
              : DrawNetworkDelay(fleet.m_loop);
  RunAfter(fleet.m_loop, delay, [&fleet, worker, control, callback] {
    DeliverControl(fleet, worker, control, callback);
  });
}

HttpResponse MakeEndpointAnswer(FakeFleet& fleet, const FakeEndpoint& endpoint,
                                const HttpRequest& request) {
  HttpResponse response;
  std::string id = FindHeader(request.m_headers, kRequestIdHeader);
  response.m_body = request.m_body;
  if (Chance(fleet.m_loop, endpoint.m_crossed_answer_probability)) {
    id += "-crossed";
    response.m_body = "the answer to another request";
  }
  response.m_headers.emplace_back(kRequestIdHeader, id);
  return response;
}

Duration DrawServiceTime(FakeFleet& fleet, const FakeEndpoint& endpoint) {
  const auto base = static_cast<double>(endpoint.m_service_time.count());
  const double noise =
      NextExponential(fleet.m_loop.m_random, base * endpoint.m_jitter);
  return Duration(
      static_cast<Duration::rep>(base * (1 - endpoint.m_jitter) + noise));
}

// Frees the request's slot: the endpoint has answered or the connection has
// closed.
void EndRequest(FakeEndpointRequest& request_state) {
  if (request_state.m_has_ended) return;
  request_state.m_has_ended = true;
  --request_state.m_endpoint->m_in_use;
}

void ServeAtEndpoint(
    FakeFleet& fleet, FakeNode& node, FakeEndpoint& endpoint,
    const HttpRequest& request,
    const std::shared_ptr<OneShotCallback<HttpResponse>>& callback) {
  ++endpoint.m_requests;
  ++fleet.m_deliveries[request.m_body];
  ++endpoint.m_in_use;
  endpoint.m_peak_in_use = std::max(endpoint.m_peak_in_use, endpoint.m_in_use);
  const auto request_state = std::make_shared<FakeEndpointRequest>();
  request_state->m_endpoint = &endpoint;
  request_state->m_close_connection = [callback] {
    callback->Complete(TimeoutError("endpoint"));
  };
  node.m_endpoint_requests.push_back(request_state);
  const bool is_unanswered =
      Chance(fleet.m_loop, endpoint.m_no_answer_probability);
  RunAfter(
      fleet.m_loop, DrawServiceTime(fleet, endpoint),
      [&fleet, &endpoint, request, callback, is_unanswered, request_state] {
        EndRequest(*request_state);
        if (is_unanswered) return;
        const HttpResponse response =
            MakeEndpointAnswer(fleet, endpoint, request);
        RunAfter(fleet.m_loop, DrawNetworkDelay(fleet.m_loop),
                 [callback, response] { callback->Complete(response); });
      });
}

// Closes the node's connections to endpoints, because the node requested it or
// because its process died.
void CloseEndpointConnections(FakeNode& node) {
  const auto requests = std::move(node.m_endpoint_requests);
  node.m_endpoint_requests.clear();
  for (const auto& request_state : requests) {
    if (request_state->m_has_ended) continue;
    EndRequest(*request_state);
    request_state->m_close_connection();
  }
}

void CallEndpoint(FakeFleet& fleet, FakeNode& node, const EndpointId& id,
                  const HttpRequest& request, Duration timeout,
                  HttpResponseCallback on_answer) {
  const auto callback = MakeTimedCallback<HttpResponse>(
      fleet, node, id.value(), timeout, std::move(on_answer));
  FakeEndpoint& endpoint = fleet.m_endpoints.at(id);
  if (endpoint.m_refuses) {
    return RunAfter(
        fleet.m_loop, DrawNetworkDelay(fleet.m_loop), [callback, id] {
          callback->Complete(
              Error{ErrorCode::kUnavailable, "connect", id.value(), "refused"});
        });
  }
  RunAfter(fleet.m_loop, DrawNetworkDelay(fleet.m_loop),
           [&fleet, &node, &endpoint, request, callback] {
             ServeAtEndpoint(fleet, node, endpoint, request, callback);
           });
}

void ScheduleNodeTick(FakeFleet& fleet, FakeNode& node) {
  RunAfter(fleet.m_loop, kTickInterval, [&fleet, &node] {
    RunInNode(fleet, node, [&fleet, &node] {
      TickNode(*node.m_services, fleet.m_loop.m_now);
      ScheduleNodeTick(fleet, node);
    });
  });
}

void ConnectNode(FakeFleet& fleet, FakeNode& node) {
  Runtime& runtime = node.m_services->m_runtime;
  runtime.m_clock.m_now = [&fleet] { return fleet.m_loop.m_now; };
  runtime.m_clock.m_unix_milliseconds = [&fleet] {
    return ToMilliseconds(fleet.m_loop.m_now.time_since_epoch());
  };
  runtime.m_platform = ObserveStoreHealth(
      MakeFakePlatform(
          fleet.m_platform,
          [&fleet, &node](std::function<void()> event) {
            RunInNode(fleet, node, std::move(event));
          },
          [&fleet, &node] {
            return fleet.m_loop.m_now < node.m_store_unreachable_until;
          }),
      runtime);
  runtime.m_peers.m_call = [&fleet, &node](const std::string& address,
                                           const std::string& method,
                                           const Json& body, Duration timeout,
                                           MeshResponder on_answer) {
    CallPeer(fleet, node, address, method, body, timeout, std::move(on_answer));
  };
  runtime.m_workers.m_exchange =
      [&fleet, &node](const std::string& /*address*/, const WorkerId& worker,
                      const WorkerControl& control, Duration timeout,
                      std::function<void(Result<WorkerReport>)> on_answer) {
        CallWorker(fleet, node, worker, control, timeout, std::move(on_answer));
      };
  runtime.m_endpoints.m_send =
      [&fleet, &node](const std::string& address, const HttpRequest& request,
                      Duration timeout, HttpResponseCallback on_answer) {
        CallEndpoint(fleet, node, EndpointId(address), request, timeout,
                     std::move(on_answer));
      };
  runtime.m_endpoints.m_close_connections = [&node] {
    CloseEndpointConnections(node);
  };
  node.m_services->m_count_open_requests = [&node] {
    return node.m_open_requests;
  };
  node.m_services->m_stop_accepting = [&node] {
    node.m_has_stopped_accepting = true;
  };
  node.m_services->m_on_stopped = [&node] { node.m_is_alive = false; };
}

}  // namespace

Settings MakeTestSettings(const std::string& node, const std::string& domain,
                          const std::vector<std::string>& domains) {
  Settings settings;
  settings.m_node = NodeId(node);
  settings.m_failure_domain = FailureDomainId(domain);
  // The fakes find a node by its mesh address, so the node's name serves as its
  // host and every node may have the same ports.
  settings.m_mesh_address = Address{node, 1};
  settings.m_http_address = Address{node, 2};
  for (const std::string& name : domains) {
    settings.m_failure_domains.emplace_back(name);
  }
  settings.m_node_lease = std::chrono::seconds(5);
  settings.m_worker_lease = std::chrono::seconds(6);
  settings.m_worker_poll_interval = std::chrono::milliseconds(500);
  settings.m_drain_timeout = std::chrono::seconds(60);
  return settings;
}

void AddWorker(FakeFleet& fleet, const std::string& name,
               const std::string& domain, const Resources& capacity) {
  FakeWorker worker;
  worker.m_model.m_capacity = capacity;
  fleet.m_workers[WorkerId(name)] = worker;
  ListedWorker listed;
  listed.m_worker = WorkerId(name);
  listed.m_address = name;
  listed.m_failure_domain = FailureDomainId(domain);
  listed.m_rack = "rack";
  listed.m_capacity = capacity;
  fleet.m_platform.m_hosts.m_workers.push_back(listed);
}

void AddEndpoint(FakeFleet& fleet, const std::string& name) {
  fleet.m_endpoints[EndpointId(name)] = FakeEndpoint();
  ListedEndpoint listed;
  listed.m_endpoint = EndpointId(name);
  listed.m_address = name;
  listed.m_slots = Slots(8);
  fleet.m_platform.m_hosts.m_endpoints.push_back(listed);
}

FakeNode& AddNode(FakeFleet& fleet, const Settings& settings) {
  auto machines = LoadStateMachines(DAISYARCH_CHARTS);
  auto node = std::make_unique<FakeNode>();
  node->m_mesh_address = ToString(settings.m_mesh_address);
  node->m_services = std::make_unique<NodeServices>(
      settings, std::move(machines).assume_value());
  ConnectNode(fleet, *node);
  StartNode(*node->m_services);
  ScheduleNodeTick(fleet, *node);
  fleet.m_nodes.push_back(std::move(node));
  return *fleet.m_nodes.back();
}

void KillNode(FakeNode& node) {
  node.m_is_alive = false;
  CloseEndpointConnections(node);
}

void PauseNode(FakeFleet& fleet, FakeNode& node, Duration duration) {
  node.m_paused_until = fleet.m_loop.m_now + duration;
}

void BreakNodeLink(FakeFleet& fleet, const FakeNode& left,
                   const FakeNode& right) {
  fleet.m_broken_node_links.emplace(left.m_mesh_address, right.m_mesh_address);
}

void SendRequest(FakeNode& node, HttpRequest request, HttpResponder respond) {
  ++node.m_open_requests;
  HandleNodeRequest(*node.m_services, std::move(request),
                    [&node, respond = std::move(respond)](HttpResponse answer) {
                      --node.m_open_requests;
                      respond(std::move(answer));
                    });
}

void SetTarget(FakeFleet& fleet, FakeNode& node, const ClassTarget& target) {
  bool is_done = false;
  ConfigurationChange change;
  change.m_operator = "test";
  change.m_body = SetClassTarget{target};
  static std::uint64_t number = 0;
  change.m_id = "test-" + std::to_string(++number);
  ChangeConfiguration(node.m_services->m_configuration, change,
                      [&is_done](const Result<Configuration>& result) {
                        is_done = static_cast<bool>(result);
                      });
  RunUntilTrue(fleet.m_loop, std::chrono::seconds(20),
               [&is_done] { return is_done; });
}

bool OwnsPartitions(const FakeNode& node, std::size_t count) {
  if (!node.m_is_alive) return false;
  return OwnedPartitions(node.m_services->m_partitions).size() >= count;
}

std::string FindWorkerViolation(FakeFleet& fleet) {
  std::map<TaskId, WorkerId> worker_by_task;
  for (auto& [id, worker] : fleet.m_workers) {
    AdvanceWorker(worker.m_model, fleet.m_loop.m_now);
    if (!worker.m_model.m_violation.empty()) {
      return id.value() + ": " + worker.m_model.m_violation;
    }
    for (const AttemptId& attempt : RunningAttempts(worker.m_model)) {
      const auto [entry, is_new] = worker_by_task.emplace(attempt.m_task, id);
      if (is_new) continue;
      return "task " + ToString(attempt.m_task) + " runs on " +
             entry->second.value() + " and " + id.value();
    }
  }
  return "";
}

std::string FindSlotViolation(const FakeFleet& fleet) {
  for (const auto& [id, endpoint] : fleet.m_endpoints) {
    if (endpoint.m_peak_in_use > endpoint.m_slots.value()) {
      return id.value() + " had " + std::to_string(endpoint.m_peak_in_use) +
             " requests in use at once, more than its slots";
    }
  }
  return "";
}

}  // namespace daisyarch
