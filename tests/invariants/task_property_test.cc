#include <catch2/catch.hpp>
#include <map>

#include "fakes/fake_fleet.h"
#include "job_calls.h"

namespace daisyarch {

namespace {

constexpr std::uint64_t kSeeds = 40;
constexpr int kJobs = 12;
constexpr std::uint32_t kTasksPerJob = 4;
const Resources kWorkerCapacity{Millicores(4000), Mebibytes(8000),
                                Accelerators(1)};

/// A job as its submitter sees it. An accepted job must end.
struct SubmittedJob {
  JobRequest m_request;
  bool m_is_accepted = false;
  bool m_is_refused = false;
};

struct TaskSimulation {
  explicit TaskSimulation(std::uint64_t seed) : m_fleet(seed) {
    for (const char* worker : {"w1", "w2", "w3"}) {
      AddWorker(m_fleet, worker, "a", kWorkerCapacity);
    }
    for (const char* worker : {"w4", "w5"}) {
      AddWorker(m_fleet, worker, "b", kWorkerCapacity);
    }
    m_fleet.m_loop.m_check = [this] {
      if (m_violation.empty()) m_violation = FindWorkerViolation(m_fleet);
    };
  }

  FakeFleet m_fleet;
  std::map<int, SubmittedJob> m_jobs;
  std::string m_violation;
};

FakeNode& StartTestNode(TaskSimulation& simulation, const std::string& name) {
  return AddNode(simulation.m_fleet, MakeTestSettings(name, "a", {"a", "b"}));
}

std::vector<FakeNode*> FindLiveNodes(TaskSimulation& simulation) {
  std::vector<FakeNode*> live_nodes;
  for (const auto& node : simulation.m_fleet.m_nodes) {
    if (node->m_is_alive) live_nodes.push_back(node.get());
  }
  return live_nodes;
}

JobRequest MakeJob(int number, FakeLoop& loop) {
  JobRequest request;
  request.m_member = MemberId("shop");
  request.m_team = TeamId("shop");
  request.m_class = ClassId("settlements");
  request.m_key = IdempotencyKey("order-" + std::to_string(number));
  request.m_demand = Resources{
      Millicores(1000 +
                 static_cast<std::int64_t>(NextBelow(loop.m_random, 1500))),
      Mebibytes(1000), Accelerators()};
  request.m_task_count = kTasksPerJob;
  request.m_run_time = std::chrono::milliseconds(
      500 + static_cast<std::int64_t>(NextBelow(loop.m_random, 3000)));
  request.m_repeat =
      number % 2 == 0 ? RepeatPolicy::kAllowed : RepeatPolicy::kNever;
  request.m_start_within = std::chrono::seconds(5);
  request.m_submitted_unix_milliseconds =
      ToMilliseconds(loop.m_now.time_since_epoch());
  return request;
}

// Submits the job at a random live node, unless it is already accepted.
void SubmitOnce(TaskSimulation& simulation, int number) {
  SubmittedJob& job = simulation.m_jobs[number];
  if (job.m_is_accepted) return;
  const auto live_nodes = FindLiveNodes(simulation);
  if (live_nodes.empty()) return;
  FakeNode& node = *live_nodes[NextBelow(simulation.m_fleet.m_loop.m_random,
                                         live_nodes.size())];
  if (simulation.m_fleet.m_loop.m_now < node.m_paused_until) return;
  SubmitJobToOwner(node.m_services->m_partitions, job.m_request,
                   [&job](const Result<JobStatus>& result) {
                     if (result) job.m_is_accepted = true;
                   });
}

void SubmitAll(TaskSimulation& simulation) {
  for (auto& [number, job] : simulation.m_jobs) SubmitOnce(simulation, number);
}

Result<JobStatus> FindJob(TaskSimulation& simulation,
                          const JobRequest& request) {
  const JobId id = DeriveJobId(request.m_member, request.m_key);
  Result<JobStatus> status =
      Error{ErrorCode::kNotFound, "find job", "", "no owner"};
  for (FakeNode* node : FindLiveNodes(simulation)) {
    FindJobLocally(node->m_services->m_partitions, id,
                   [&status](const Result<JobStatus>& result) {
                     if (result) status = result;
                   });
  }
  return status;
}

bool AllEnded(TaskSimulation& simulation) {
  for (auto& [number, job] : simulation.m_jobs) {
    if (!job.m_is_accepted) return false;
    const auto status = FindJob(simulation, job.m_request);
    if (!status || !IsEnded(status.assume_value().m_job)) return false;
  }
  return true;
}

std::string FindStateViolation(TaskSimulation& simulation) {
  for (FakeNode* node : FindLiveNodes(simulation)) {
    for (const auto& [id, entry] : node->m_services->m_partitions.m_entries) {
      if (!entry.m_owned) continue;
      const std::string violation =
          FindInvariantViolation(entry.m_owned->m_claimed.m_engine.m_state);
      if (!violation.empty()) return violation;
    }
  }
  return "";
}

// Returns how often each task finished, over all workers.
std::map<TaskId, std::uint64_t> FinishesByTask(
    const TaskSimulation& simulation) {
  std::map<TaskId, std::uint64_t> finishes;
  for (const auto& [id, worker] : simulation.m_fleet.m_workers) {
    for (const auto& [task, count] : worker.m_model.m_finishes_by_task) {
      finishes[task] += count;
    }
  }
  return finishes;
}

enum class WorkerFaults { kNone, kUnresponsive, kRestarts };

// A worker that does not answer beyond its lease may have finished the tasks
// that it ran. Tasks that may be repeated then run again; others never do.
void CheckFinishes(TaskSimulation& simulation, const JobRequest& request,
                   WorkerFaults worker_faults) {
  const JobId id = DeriveJobId(request.m_member, request.m_key);
  const auto finishes = FinishesByTask(simulation);
  for (std::uint32_t index = 0; index < request.m_task_count; ++index) {
    const auto found = finishes.find(TaskId{id, index});
    const std::uint64_t count = found == finishes.end() ? 0 : found->second;
    if (request.m_repeat == RepeatPolicy::kNever) CHECK(count <= 1);
    if (worker_faults == WorkerFaults::kNone) CHECK(count == 1);
    if (request.m_repeat == RepeatPolicy::kAllowed) CHECK(count >= 1);
  }
}

void InjectFault(TaskSimulation& simulation, WorkerFaults worker_faults) {
  FakeFleet& fleet = simulation.m_fleet;
  const auto live_nodes = FindLiveNodes(simulation);
  const std::uint64_t kind = NextBelow(fleet.m_loop.m_random, 8);
  FakeNode* node =
      live_nodes.empty()
          ? nullptr
          : live_nodes[NextBelow(fleet.m_loop.m_random, live_nodes.size())];
  auto worker = fleet.m_workers.begin();
  std::advance(worker,
               NextBelow(fleet.m_loop.m_random, fleet.m_workers.size()));
  switch (kind) {
    case 0:
      if (node == nullptr) return;
      KillNode(*node);
      StartTestNode(simulation,
                    node->m_services->m_runtime.m_settings.m_node.value());
      return;
    case 1:
    case 2:
      if (node != nullptr) {
        PauseNode(fleet, *node,
                  DelayBetween(fleet.m_loop, std::chrono::seconds(1),
                               std::chrono::seconds(30)));
      }
      return;
    case 3:
      fleet.m_platform.m_outage_until =
          fleet.m_loop.m_now + DelayBetween(fleet.m_loop,
                                            std::chrono::seconds(1),
                                            std::chrono::seconds(20));
      return;
    case 4:
      if (worker_faults == WorkerFaults::kNone) return;
      worker->second.m_unreachable_until =
          fleet.m_loop.m_now + DelayBetween(fleet.m_loop,
                                            std::chrono::seconds(1),
                                            std::chrono::seconds(20));
      return;
    case 5:
      if (worker_faults == WorkerFaults::kRestarts) {
        RestartWorker(worker->second.m_model);
      }
      return;
    case 6:
      if (live_nodes.size() > 1)
        BreakNodeLink(fleet, *live_nodes[0], *live_nodes[1]);
      return;
    default:
      if (node == nullptr) return;
      node->m_store_unreachable_until =
          fleet.m_loop.m_now + DelayBetween(fleet.m_loop,
                                            std::chrono::seconds(5),
                                            std::chrono::seconds(60));
      for (FakeNode* other : live_nodes) {
        if (other == node || worker_faults == WorkerFaults::kNone) continue;
        fleet.m_broken_worker_links.emplace(other->m_mesh_address,
                                            worker->first);
      }
      return;
  }
}

void RunSimulation(std::uint64_t seed, WorkerFaults worker_faults) {
  INFO("seed " << seed);
  TaskSimulation simulation(seed);
  FakeFleet& fleet = simulation.m_fleet;
  for (const char* name : {"n1", "n2", "n3"}) StartTestNode(simulation, name);
  RunFor(fleet.m_loop, std::chrono::seconds(3));
  for (int number = 0; number < kJobs; ++number) {
    simulation.m_jobs[number].m_request = MakeJob(number, fleet.m_loop);
  }
  fleet.m_platform.m_answer_loss_probability = 0.05;
  fleet.m_platform.m_late_effect_probability = 0.05;
  fleet.m_platform.m_refusal_probability = 0.03;
  // A worker's lease expires after three lost messages in a row, so messages
  // are lost only in simulations in which workers may be unresponsive.
  const double loss = worker_faults == WorkerFaults::kNone ? 0 : 0.1;
  fleet.m_worker_answer_loss_probability = loss;
  fleet.m_late_worker_message_probability = loss;
  for (int round = 0; round < 25; ++round) {
    SubmitAll(simulation);
    RunFor(fleet.m_loop, DelayBetween(fleet.m_loop, std::chrono::seconds(1),
                                      std::chrono::seconds(5)));
    if (round % 2 == 0) InjectFault(simulation, worker_faults);
    CHECK(FindStateViolation(simulation).empty());
  }
  // Without faults, every accepted job has to end.
  fleet.m_broken_node_links.clear();
  fleet.m_broken_worker_links.clear();
  fleet.m_platform.m_answer_loss_probability = 0;
  fleet.m_platform.m_late_effect_probability = 0;
  fleet.m_platform.m_refusal_probability = 0;
  fleet.m_worker_answer_loss_probability = 0;
  fleet.m_late_worker_message_probability = 0;
  bool has_ended = false;
  for (int round = 0; round < 60 && !has_ended; ++round) {
    SubmitAll(simulation);
    RunFor(fleet.m_loop, std::chrono::seconds(5));
    has_ended = AllEnded(simulation);
  }
  CHECK(has_ended);
  CHECK(simulation.m_violation == "");
  CHECK(FindStateViolation(simulation) == "");
  for (auto& [number, job] : simulation.m_jobs) {
    const auto status = FindJob(simulation, job.m_request);
    REQUIRE(status);
    const Job& ended = status.assume_value().m_job;
    CHECK(ended.m_finished + ended.m_unknown == kTasksPerJob);
    const bool may_be_unknown =
        worker_faults != WorkerFaults::kNone &&
        ended.m_request.m_repeat == RepeatPolicy::kNever;
    if (!may_be_unknown) CHECK(ended.m_unknown == 0);
    CheckFinishes(simulation, ended.m_request, worker_faults);
  }
}

}  // namespace

TEST_CASE(
    "Accepted tasks run on one worker at a time and end once under faults",
    "[invariant]") {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    RunSimulation(seed, WorkerFaults::kNone);
  }
}

TEST_CASE("Accepted tasks end when workers do not answer beyond their leases",
          "[invariant]") {
  for (std::uint64_t seed = 1001; seed <= 1000 + kSeeds; ++seed) {
    RunSimulation(seed, WorkerFaults::kUnresponsive);
  }
}

TEST_CASE("Accepted tasks end when workers restart", "[invariant]") {
  for (std::uint64_t seed = 2001; seed <= 2000 + kSeeds; ++seed) {
    RunSimulation(seed, WorkerFaults::kRestarts);
  }
}

}  // namespace daisyarch
