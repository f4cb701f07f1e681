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

/// A worker on a network that loses and delays messages.
struct FakeWorker {
  WorkerModel m_model;
  TimePoint m_unreachable_until{};  ///< Until then, messages to it are lost.
};

/// An endpoint, and how it treats requests.
struct FakeEndpoint {
  Duration m_service_time = std::chrono::milliseconds(2);
  /// The share of the service time that is exponentially distributed, 0 to 1.
  double m_jitter = 0;
  bool m_refuses = false;  ///< Refuses every connection.
  /// Probability that a request is served, but not answered.
  double m_no_answer_probability = 0;
  /// Probability that an answer carries the id and body of another request's
  /// answer.
  double m_crossed_answer_probability = 0;
  Slots m_slots{8};
  std::int64_t m_in_use = 0;
  std::int64_t m_peak_in_use = 0;
  std::uint64_t m_requests = 0;
};

/// A request that an endpoint serves.
struct FakeEndpointRequest {
  FakeEndpoint* m_endpoint = nullptr;
  bool m_has_ended = false;
  std::function<void()> m_close_connection;  ///< Fails the call at its node.
};

/// A node that runs on fakes. A dead node stays in memory because scheduled
/// events refer to it.
struct FakeNode {
  std::string m_mesh_address;
  std::unique_ptr<NodeServices> m_services;
  bool m_is_alive = true;
  TimePoint m_paused_until{};
  /// Until then, this node alone cannot reach the store.
  TimePoint m_store_unreachable_until{};
  std::vector<std::shared_ptr<FakeEndpointRequest>> m_endpoint_requests;
  std::uint64_t m_open_requests = 0;
  bool m_has_stopped_accepting = false;
};

/// Nodes, workers and endpoints that share one store.
struct FakeFleet {
  explicit FakeFleet(std::uint64_t seed) : m_loop(seed), m_platform{m_loop} {}

  FakeLoop m_loop;
  FakePlatform m_platform;
  std::map<WorkerId, FakeWorker> m_workers;
  std::map<EndpointId, FakeEndpoint> m_endpoints;
  std::vector<std::unique_ptr<FakeNode>> m_nodes;
  /// Pairs of mesh addresses of nodes that cannot reach each other.
  std::set<std::pair<std::string, std::string>> m_broken_node_links;
  /// Pairs of a node's mesh address and a worker that it cannot reach.
  std::set<std::pair<std::string, WorkerId>> m_broken_worker_links;
  double m_worker_answer_loss_probability = 0;
  /// Probability that a message to a worker arrives after its sender's timeout,
  /// at most 12 s after it was sent.
  double m_late_worker_message_probability = 0;
  /// How often each request body reached an endpoint.
  std::map<std::string, int> m_deliveries;
};

/// Returns the settings of a test node, with short leases.
Settings MakeTestSettings(const std::string& node, const std::string& domain,
                          const std::vector<std::string>& domains);

void AddWorker(FakeFleet& fleet, const std::string& name,
               const std::string& domain, const Resources& capacity);
void AddEndpoint(FakeFleet& fleet, const std::string& name);

/// Starts a node. A node with the name of an earlier one is a new incarnation
/// of it.
FakeNode& AddNode(FakeFleet& fleet, const Settings& settings);

/// Kills the node's process; what it has not sent yet is lost.
void KillNode(FakeNode& node);

/// Pauses the node's process; messages to it wait until it resumes.
void PauseNode(FakeFleet& fleet, FakeNode& node, Duration duration);

/// Loses messages between the two nodes in both directions until the pair is
/// removed from m_broken_node_links.
void BreakNodeLink(FakeFleet& fleet, const FakeNode& left,
                   const FakeNode& right);

/// Sends a client's request to a node.
void SendRequest(FakeNode& node, HttpRequest request, HttpResponder respond);

/// Sets a class's target through a node and waits up to 20 s for the change.
void SetTarget(FakeFleet& fleet, FakeNode& node, const ClassTarget& target);

/// Returns true if the node is alive and owns at least `count` partitions.
bool OwnsPartitions(const FakeNode& node, std::size_t count);

/// Returns a description of a violation, which is one that a worker recorded or
/// a task that runs on two workers. Returns an empty string if there is none.
std::string FindWorkerViolation(FakeFleet& fleet);

/// Returns a description of an endpoint that served more concurrent requests
/// than it has slots, or an empty string if there is none.
std::string FindSlotViolation(const FakeFleet& fleet);

}  // namespace daisyarch
