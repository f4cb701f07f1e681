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

/// A job as its submitter knows it: acknowledged jobs must end.
struct Submitted {
  JobRequest m_request;
  bool m_is_accepted = false;
  bool m_is_refused = false;
};

struct TaskWorld {
  explicit TaskWorld(std::uint64_t seed) : m_fleet(seed) {
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
  std::map<int, Submitted> m_jobs;
  std::string m_violation;
};

FakeNode& StartTestNode(TaskWorld& world, const std::string& name) {
  return AddNode(world.m_fleet, MakeTestSettings(name, "a", {"a", "b"}));
}

std::vector<FakeNode*> LivingNodes(TaskWorld& world) {
  std::vector<FakeNode*> living;
  for (const auto& node : world.m_fleet.m_nodes) {
    if (node->m_is_alive) living.push_back(node.get());
  }
  return living;
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

// Submits at some living node until an answer is certain.
void SubmitOnce(TaskWorld& world, int number) {
  Submitted& job = world.m_jobs[number];
  if (job.m_is_accepted) return;
  const auto living = LivingNodes(world);
  if (living.empty()) return;
  FakeNode& node =
      *living[NextBelow(world.m_fleet.m_loop.m_random, living.size())];
  if (world.m_fleet.m_loop.m_now < node.m_paused_until) return;
  SubmitJobAnywhere(node.m_services->m_partitions, job.m_request,
                    [&job](const Result<JobStatus>& result) {
                      if (result) job.m_is_accepted = true;
                    });
}

void SubmitAll(TaskWorld& world) {
  for (auto& [number, job] : world.m_jobs) SubmitOnce(world, number);
}

Result<JobStatus> FindJob(TaskWorld& world, const JobRequest& request) {
  const JobId id = DeriveJobId(request.m_member, request.m_key);
  Result<JobStatus> status =
      Error{ErrorCode::kNotFound, "find job", "", "no owner"};
  for (FakeNode* node : LivingNodes(world)) {
    FindJobHere(node->m_services->m_partitions, id,
                [&status](const Result<JobStatus>& result) {
                  if (result) status = result;
                });
  }
  return status;
}

bool AllEnded(TaskWorld& world) {
  for (auto& [number, job] : world.m_jobs) {
    if (!job.m_is_accepted) return false;
    const auto status = FindJob(world, job.m_request);
    if (!status || !IsEnded(status.assume_value().m_job)) return false;
  }
  return true;
}

std::string FindStateViolation(TaskWorld& world) {
  for (FakeNode* node : LivingNodes(world)) {
    for (const auto& [id, entry] : node->m_services->m_partitions.m_entries) {
      if (!entry.m_owned) continue;
      const std::string violation =
          FindViolation(entry.m_owned->m_claimed.m_engine.m_state);
      if (!violation.empty()) return violation;
    }
  }
  return "";
}

// How often each task was run to its end, over all workers.
std::map<TaskId, std::uint64_t> FinishesByTask(const TaskWorld& world) {
  std::map<TaskId, std::uint64_t> finishes;
  for (const auto& [id, worker] : world.m_fleet.m_workers) {
    for (const auto& [task, count] : worker.m_model.m_finishes_of) {
      finishes[task] += count;
    }
  }
  return finishes;
}

enum class WorkerFaults { kNone, kSilence, kRestarts };

// A worker that stays silent beyond its lease may have finished what it ran.
// Work that may be repeated is then run again; other work never is.
void CheckFinishes(TaskWorld& world, const JobRequest& request,
                   WorkerFaults worker_faults) {
  const JobId id = DeriveJobId(request.m_member, request.m_key);
  const auto finishes = FinishesByTask(world);
  for (std::uint32_t index = 0; index < request.m_task_count; ++index) {
    const auto found = finishes.find(TaskId{id, index});
    const std::uint64_t count = found == finishes.end() ? 0 : found->second;
    if (request.m_repeat == RepeatPolicy::kNever) CHECK(count <= 1);
    if (worker_faults == WorkerFaults::kNone) CHECK(count == 1);
    if (request.m_repeat == RepeatPolicy::kAllowed) CHECK(count >= 1);
  }
}

void InjectFault(TaskWorld& world, WorkerFaults worker_faults) {
  FakeFleet& fleet = world.m_fleet;
  const auto living = LivingNodes(world);
  const std::uint64_t kind = NextBelow(fleet.m_loop.m_random, 8);
  FakeNode* node =
      living.empty() ? nullptr
                     : living[NextBelow(fleet.m_loop.m_random, living.size())];
  auto worker = fleet.m_workers.begin();
  std::advance(worker,
               NextBelow(fleet.m_loop.m_random, fleet.m_workers.size()));
  switch (kind) {
    case 0:
      if (node == nullptr) return;
      KillNode(*node);
      StartTestNode(world,
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
      worker->second.m_silent_until =
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
      if (living.size() > 1) CutNodes(fleet, *living[0], *living[1]);
      return;
    default:
      if (node == nullptr) return;
      node->m_store_cut_until =
          fleet.m_loop.m_now + DelayBetween(fleet.m_loop,
                                            std::chrono::seconds(5),
                                            std::chrono::seconds(60));
      for (FakeNode* other : living) {
        if (other == node || worker_faults == WorkerFaults::kNone) continue;
        fleet.m_worker_cuts.emplace(other->m_mesh_address, worker->first);
      }
      return;
  }
}

void RunWorld(std::uint64_t seed, WorkerFaults worker_faults) {
  INFO("seed " << seed);
  TaskWorld world(seed);
  FakeFleet& fleet = world.m_fleet;
  for (const char* name : {"n1", "n2", "n3"}) StartTestNode(world, name);
  RunFor(fleet.m_loop, std::chrono::seconds(3));
  for (int number = 0; number < kJobs; ++number) {
    world.m_jobs[number].m_request = MakeJob(number, fleet.m_loop);
  }
  fleet.m_platform.m_lose_answer = 0.05;
  fleet.m_platform.m_apply_late = 0.05;
  fleet.m_platform.m_refuse = 0.03;
  // Three lost messages in a row are a silence beyond the worker's lease.
  const double loss = worker_faults == WorkerFaults::kNone ? 0 : 0.1;
  fleet.m_lose_worker_answer = loss;
  fleet.m_delay_worker_message = loss;
  for (int round = 0; round < 25; ++round) {
    SubmitAll(world);
    RunFor(fleet.m_loop, DelayBetween(fleet.m_loop, std::chrono::seconds(1),
                                      std::chrono::seconds(5)));
    if (round % 2 == 0) InjectFault(world, worker_faults);
    CHECK(FindStateViolation(world).empty());
  }
  // The faults end; everything that was accepted has to come to its end.
  fleet.m_cuts.clear();
  fleet.m_worker_cuts.clear();
  fleet.m_platform.m_lose_answer = 0;
  fleet.m_platform.m_apply_late = 0;
  fleet.m_platform.m_refuse = 0;
  fleet.m_lose_worker_answer = 0;
  fleet.m_delay_worker_message = 0;
  bool has_ended = false;
  for (int round = 0; round < 60 && !has_ended; ++round) {
    SubmitAll(world);
    RunFor(fleet.m_loop, std::chrono::seconds(5));
    has_ended = AllEnded(world);
  }
  CHECK(has_ended);
  CHECK(world.m_violation == "");
  CHECK(FindStateViolation(world) == "");
  for (auto& [number, job] : world.m_jobs) {
    const auto status = FindJob(world, job.m_request);
    REQUIRE(status);
    const Job& ended = status.assume_value().m_job;
    CHECK(ended.m_finished + ended.m_unknown == kTasksPerJob);
    const bool may_be_unknown =
        worker_faults != WorkerFaults::kNone &&
        ended.m_request.m_repeat == RepeatPolicy::kNever;
    if (!may_be_unknown) CHECK(ended.m_unknown == 0);
    CheckFinishes(world, ended.m_request, worker_faults);
  }
}

}  // namespace

TEST_CASE("Accepted tasks run in one place and end once, whatever fails",
          "[invariant]") {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    RunWorld(seed, WorkerFaults::kNone);
  }
}

TEST_CASE("Accepted tasks end also when workers are silent for long",
          "[invariant]") {
  for (std::uint64_t seed = 1001; seed <= 1000 + kSeeds; ++seed) {
    RunWorld(seed, WorkerFaults::kSilence);
  }
}

TEST_CASE("Accepted tasks end also when workers restart", "[invariant]") {
  for (std::uint64_t seed = 2001; seed <= 2000 + kSeeds; ++seed) {
    RunWorld(seed, WorkerFaults::kRestarts);
  }
}

}  // namespace daisyarch
