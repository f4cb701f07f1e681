#include "decisions/fleet/plain_placement.h"

#include <catch2/catch.hpp>

#include "base/random.h"
#include "decisions/fleet/fleet_fixture.h"

namespace daisyarch::fleet {

namespace {

constexpr std::uint64_t kSeeds = 120;
constexpr int kPasses = 4;
constexpr int kJobsPerPass = 16;
constexpr Duration kPassInterval = std::chrono::milliseconds(60);

ImageId ImageOf(const std::string& kind, Random& random, std::uint64_t count) {
  return ImageId(kind + std::to_string(NextBelow(random, count)));
}

ImageId ServingImageOf(Random& random) { return ImageOf("shop", random, 4); }
ImageId BestEffortImageOf(Random& random) {
  return ImageOf("grinder", random, 3);
}

bool IsOneOf(Random& random, std::uint64_t count) {
  return NextBelow(random, count) == 0;
}

void AddWorkers(FleetFixture& fixture, Random& random) {
  fixture.m_fleet.m_limits.m_starts_per_pass = IsOneOf(random, 4) ? 20 : 1000;
  // The plain placement knows no waits for a place near the data.
  fixture.m_fleet.m_limits.m_remote_slowdown = 1.0;
  Queue spare;
  spare.m_id = QueueId("spare");
  spare.m_pool = PoolId("spare");
  spare.m_stretch = 2.0;
  fixture.m_fleet.m_queues.emplace(spare.m_id, spare);
  AddReadyWorkers(fixture, static_cast<int>(12 + NextBelow(random, 30)),
                  Millicores(10000));
  for (auto& [id, worker] : fixture.m_fleet.m_workers) {
    ListedWorker& listing = worker.m_listing;
    // Few sizes and racks, so that many workers are equally good.
    if (IsOneOf(random, 4)) {
      listing.m_capacity.m_processors = Millicores(16000);
    }
    listing.m_labels = {"rack" + std::to_string(NextBelow(random, 3))};
    if (IsOneOf(random, 3)) listing.m_labels.emplace_back("fast");
    if (IsOneOf(random, 8)) listing.m_pool = PoolId("spare");
    if (IsOneOf(random, 12)) listing.m_is_leaving = true;
    if (IsOneOf(random, 12)) worker.m_unknown_runs = 1;
    UpdateWorkerIndex(fixture.m_fleet, worker);
  }
}

void LearnEffects(FleetFixture& fixture, Random& random) {
  Interference& known = fixture.m_fleet.m_interference;
  for (int count = 0; count < 6; ++count) {
    const ImageId serving =
        IsOneOf(random, 3) ? BestEffortImageOf(random) : ServingImageOf(random);
    const ImageId best_effort = BestEffortImageOf(random);
    known.m_best_effort_images.insert(best_effort);
    known.m_baselines[serving] = {1 + 3 * NextUnit(random), 0.1};
    known.m_incompatible_counts[serving] =
        static_cast<std::uint32_t>(NextBelow(random, 3));
    known.m_pairs[{serving, best_effort}] = {8 * NextUnit(random),
                                             20 * NextUnit(random)};
  }
}

StepPlan RandomStep(Random& random) {
  StepPlan step;
  step.m_task_count = static_cast<std::uint32_t>(1 + NextBelow(random, 9));
  step.m_demand = Resources{
      Millicores(static_cast<std::int64_t>(500 + 500 * NextBelow(random, 8))),
      Mebibytes(static_cast<std::int64_t>(1000 + NextBelow(random, 12000))),
      Accelerators(0)};
  step.m_estimate = std::chrono::seconds(1);
  switch (NextBelow(random, 5)) {
    case 0:
      step.m_kind = StepKind::kService;
      step.m_image = ServingImageOf(random);
      step.m_latency_target = std::chrono::milliseconds(18);
      break;
    case 1:
      break;
    default:
      step.m_processor_use = ProcessorUse::kBestEffort;
      step.m_image = BestEffortImageOf(random);
      // A best-effort task may have a latency target as well.
      if (IsOneOf(random, 3)) {
        step.m_latency_target = std::chrono::milliseconds(18);
      }
  }
  if (IsOneOf(random, 4)) step.m_maximum_per_worker = 2;
  if (IsOneOf(random, 5)) step.m_required_label = "fast";
  if (IsOneOf(random, 3)) {
    step.m_data_rack = "rack" + std::to_string(NextBelow(random, 3));
  }
  return step;
}

void AddJobs(FleetFixture& fixture, Random& random, int pass) {
  for (int number = 0; number < kJobsPerPass; ++number) {
    JobPlan plan;
    plan.m_key = JobKey("job" + std::to_string(pass * 100 + number));
    plan.m_queue.m_id = QueueId(IsOneOf(random, 8) ? "spare" : "batch");
    plan.m_steps = {RandomStep(random)};
    if (IsOneOf(random, 3)) plan.m_steps.push_back(RandomStep(random));
    AddJob(fixture.m_fleet, plan, {}, fixture.m_now);
  }
  RefreshRanks(fixture.m_fleet, fixture.m_now);
}

void EndTasks(FleetFixture& fixture, Random& random) {
  for (auto& [id, worker] : fixture.m_fleet.m_workers) {
    if (!IsOneOf(random, 3) || worker.m_runs.empty()) continue;
    const TaskReference reference = *worker.m_runs.begin();
    Job& job = *FindJob(fixture.m_fleet, reference.m_job);
    StepTask(fixture.m_fleet, job, reference, RunEvent::kStarted);
    StepTask(fixture.m_fleet, job, reference, RunEvent::kCompleted);
  }
}

// Advances a fleet to its next pass; equal seeds give equal fleets.
void Prepare(FleetFixture& fixture, Random& random, int pass) {
  if (pass == 0) AddWorkers(fixture, random);
  fixture.m_now += kPassInterval;
  EndTasks(fixture, random);
  LearnEffects(fixture, random);
  AddJobs(fixture, random, pass);
}

std::map<std::string, std::string> WorkersOfTasks(const Fleet& fleet) {
  std::map<std::string, std::string> workers;
  for (const auto& [id, worker] : fleet.m_workers) {
    for (const TaskReference& run : worker.m_runs) {
      workers[run.m_job.value() + "." + std::to_string(run.m_step) + "." +
              std::to_string(run.m_index)] = id.value();
    }
  }
  return workers;
}

}  // namespace

TEST_CASE("Placement equals choosing one task at a time among all workers") {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    FleetFixture fast;
    FleetFixture plain;
    Random fast_random{seed};
    Random plain_random{seed};
    for (int pass = 0; pass < kPasses; ++pass) {
      INFO("seed " << seed << ", pass " << pass);
      Prepare(fast, fast_random, pass);
      Prepare(plain, plain_random, pass);
      PlaceRuns(fast.m_fleet, fast.m_now);
      PlaceRunsPlainly(plain.m_fleet, plain.m_now);
      const auto workers = WorkersOfTasks(fast.m_fleet);
      REQUIRE(!workers.empty());
      REQUIRE(workers == WorkersOfTasks(plain.m_fleet));
      REQUIRE(InRankOrder(fast.m_fleet.m_waiting_reserved) ==
              InRankOrder(plain.m_fleet.m_waiting_reserved));
      REQUIRE(InRankOrder(fast.m_fleet.m_waiting_best_effort) ==
              InRankOrder(plain.m_fleet.m_waiting_best_effort));
    }
  }
}

}  // namespace daisyarch::fleet
