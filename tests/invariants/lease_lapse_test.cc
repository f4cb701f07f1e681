#include <catch2/catch.hpp>

#include "fakes/fake_fleet.h"
#include "job_calls.h"

namespace daisyarch {

namespace {

const Resources kCapacity{Millicores(4000), Mebibytes(4000), Accelerators()};

/// Three nodes and two workers, one of which runs a long task.
struct LeaseSimulation {
  explicit LeaseSimulation(std::uint64_t seed) : m_fleet(seed) {
    AddWorker(m_fleet, "w1", "a", kCapacity);
    AddWorker(m_fleet, "w2", "a", kCapacity);
    for (const char* name : {"n1", "n2", "n3"}) {
      AddNode(m_fleet, MakeTestSettings(name, "a", {"a"}));
    }
    m_fleet.m_loop.m_check = [this] {
      if (m_violation.empty()) m_violation = FindWorkerViolation(m_fleet);
    };
    RunFor(m_fleet.m_loop, std::chrono::seconds(10));
  }

  FakeNode& FindOwner() {
    for (const auto& node : m_fleet.m_nodes) {
      if (OwnsPartitions(*node, 1)) return *node;
    }
    FAIL("no node owns the partition");
    return *m_fleet.m_nodes.front();
  }

  void StartLongTask() {
    JobRequest request;
    request.m_member = MemberId("shop");
    request.m_class = ClassId("watches");
    request.m_key = IdempotencyKey("long");
    request.m_demand = kCapacity;
    request.m_run_time = std::chrono::minutes(5);
    SubmitJobToOwner(FindOwner().m_services->m_partitions, request,
                     [](const auto&) {});
    RunFor(m_fleet.m_loop, std::chrono::seconds(3));
  }

  /// Returns a worker that runs an attempt, or an empty id.
  WorkerId FindRunningWorker() {
    for (const auto& [id, worker] : m_fleet.m_workers) {
      if (!RunningAttempts(worker.m_model).empty()) return id;
    }
    return WorkerId();
  }

  FakeFleet m_fleet;
  std::string m_violation;
};

}  // namespace

// The owner cannot reach the store but still reaches the worker, so it might
// continue to renew the worker's lease. The next owner cannot reach that worker
// and starts the task on the other worker once the first one's lease must have
// expired.
TEST_CASE("An owner renews no worker lease after its own lease expired",
          "[invariant]") {
  LeaseSimulation simulation(1);
  FakeFleet& fleet = simulation.m_fleet;
  simulation.StartLongTask();
  FakeNode& owner = simulation.FindOwner();
  const WorkerId first = simulation.FindRunningWorker();
  REQUIRE(first != WorkerId());
  owner.m_store_unreachable_until =
      fleet.m_loop.m_now + std::chrono::minutes(2);
  for (const auto& node : fleet.m_nodes) {
    if (node.get() == &owner) continue;
    fleet.m_broken_worker_links.emplace(node->m_mesh_address, first);
  }
  RunFor(fleet.m_loop, std::chrono::seconds(60));
  CHECK(simulation.m_violation == "");
  // The next owner resumed the task on the other worker.
  CHECK(simulation.FindRunningWorker() != WorkerId());
  CHECK(simulation.FindRunningWorker() != first);
}

// An owner that resumes after a pause may act before it notices that its lease
// has expired, while the next owner already starts the task on the other
// worker.
TEST_CASE("An owner paused beyond its lease takes no action when it resumes",
          "[invariant]") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    INFO("seed " << seed);
    LeaseSimulation simulation(seed);
    FakeFleet& fleet = simulation.m_fleet;
    simulation.StartLongTask();
    FakeNode& owner = simulation.FindOwner();
    const WorkerId first = simulation.FindRunningWorker();
    fleet.m_late_worker_message_probability = 0.3;
    PauseNode(fleet, owner,
              DelayBetween(fleet.m_loop, std::chrono::seconds(4),
                           std::chrono::seconds(40)));
    for (const auto& node : fleet.m_nodes) {
      if (node.get() == &owner) continue;
      fleet.m_broken_worker_links.emplace(node->m_mesh_address, first);
    }
    RunFor(fleet.m_loop, std::chrono::seconds(90));
    CHECK(simulation.m_violation == "");
    // Late messages may make the task move between workers, but it always runs
    // again.
    CHECK(RunUntilTrue(fleet.m_loop, std::chrono::seconds(30), [&simulation] {
      return simulation.FindRunningWorker() != WorkerId();
    }));
  }
}

}  // namespace daisyarch
