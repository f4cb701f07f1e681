#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "fakes/fake_loop.h"
#include "fakes/fake_platform.h"
#include "models/worker_model.h"
#include "node_services.h"

namespace daisyarch {

/// A worker behind a network that loses and delays messages.
struct FakeWorker {
  WorkerModel m_model;
  TimePoint m_silent_until{};
};

/// How an endpoint treats requests.
struct FakeEndpoint {
  Duration m_service_time = std::chrono::milliseconds(2);
  double m_jitter = 0;     ///< Share of the service time, exponential.
  bool m_refuses = false;  ///< No connection opens.
  double m_no_answer_probability =
      0;  ///< Of requests: received, never answered.
  double m_crossed_answer_probability = 0;  ///< Of answers: another request's.
  Slots m_slots{8};
  std::int64_t m_in_use = 0;
  std::int64_t m_peak_in_use = 0;
  std::uint64_t m_requests = 0;
};

/// A request that an endpoint works on.
struct FakeEndpointRequest {
  FakeEndpoint* m_endpoint = nullptr;
  bool m_has_ended = false;
  std::function<void()> m_close_connection;  ///< The caller's connection ends.
};

/// A node on fakes. A dead node stays in memory, since events refer to it.
struct FakeNode {
  std::string m_mesh_address;
  std::unique_ptr<NodeServices> m_services;
  bool m_is_alive = true;
  TimePoint m_paused_until{};
  TimePoint m_store_unreachable_until{};  ///< This node alone misses the store.
  std::vector<std::shared_ptr<FakeEndpointRequest>> m_endpoint_requests;
  std::uint64_t m_open_requests = 0;
  bool m_has_stopped_accepting = false;
};

/// Nodes, workers and endpoints around one store.
struct FakeFleet {
  explicit FakeFleet(std::uint64_t seed) : m_loop(seed), m_platform{m_loop} {}

  FakeLoop m_loop;
  FakePlatform m_platform;
  std::map<WorkerId, FakeWorker> m_workers;
  std::map<EndpointId, FakeEndpoint> m_endpoints;
  std::vector<std::unique_ptr<FakeNode>> m_nodes;
  std::set<std::pair<std::string, std::string>>
      m_broken_node_links;  ///< Mesh addresses.
  /// Mesh address of a node and a worker that it cannot reach.
  std::set<std::pair<std::string, WorkerId>> m_broken_worker_links;
  double m_worker_answer_loss_probability = 0;
  double m_late_worker_message_probability =
      0;  ///< Arrives after its sender gave up.
  /// Times that each body reached an endpoint.
  std::map<std::string, int> m_deliveries;
};

/// Settings of a test node, with short leases.
Settings MakeTestSettings(const std::string& node, const std::string& domain,
                          const std::vector<std::string>& domains);

void AddWorker(FakeFleet& fleet, const std::string& name,
               const std::string& domain, const Resources& capacity);
void AddEndpoint(FakeFleet& fleet, const std::string& name);

/// Starts a node; the same name again is a new run of it.
FakeNode& AddNode(FakeFleet& fleet, const Settings& settings);

/// The process is gone, with all that it had not sent.
void KillNode(FakeNode& node);

/// Nothing runs until then; messages wait.
void PauseNode(FakeFleet& fleet, FakeNode& node, Duration duration);

/// Messages between the two are lost in both directions, until healed.
void BreakNodeLink(FakeFleet& fleet, const FakeNode& left,
                   const FakeNode& right);

/// Sends a caller's request to a node.
void SendRequest(FakeNode& node, HttpRequest request, HttpResponder respond);

/// Changes the configuration through a node and waits for it.
void SetTarget(FakeFleet& fleet, FakeNode& node, const ClassTarget& target);

/// True when the node owns no less than `count` partitions.
bool OwnsPartitions(const FakeNode& node, std::size_t count);

/// Empty, or the first broken invariant of the tasks on workers: one in two
/// places, or a worker beyond its room.
std::string FindWorkerViolation(FakeFleet& fleet);

/// Empty, or the endpoint that ever had more in use than its slots.
std::string FindSlotViolation(const FakeFleet& fleet);

}  // namespace daisyarch
