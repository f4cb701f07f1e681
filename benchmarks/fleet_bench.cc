#include "fleet_bench.h"

#include <ctime>
#include <string>
#include <utility>

#include "base/random.h"
#include "decisions/fleet/fleet.h"
#include "decisions/fleet/occurrences.h"
#include "decisions/fleet/roster.h"

namespace daisyarch {

namespace {

using namespace fleet;  // NOLINT(google-build-using-namespace)

constexpr int kWorkers = 490;
constexpr int kServingImages = 20;
constexpr int kBestEffortImages = 40;
constexpr int kEndsPerPass = 5;
/// Workers that report between two passes.
constexpr int kReportsPerPass = 25;
constexpr std::uint32_t kWaitingTasks = 4000;
constexpr Duration kPassInterval = std::chrono::milliseconds(60);

double ProcessorMilliseconds() {
  return static_cast<double>(std::clock()) * 1000 / CLOCKS_PER_SEC;
}

ImageId ServingImageOf(std::uint64_t number) {
  return ImageId("registry/serving-" + std::to_string(number));
}

ImageId BestEffortImageOf(std::uint64_t number) {
  return ImageId("registry/batch-" + std::to_string(number));
}

/// What a fleet runs.
struct FleetLoad {
  std::string m_name;
  int m_serving_jobs = 0;                ///< Each has four tasks.
  std::uint64_t m_reserved_percent = 0;  ///< Of the batch jobs.
  double m_headroom = 0;                 ///< Of serving images that run alone.
};

/// A fleet whose workers' answers the benchmark supplies.
struct BusyFleet {
  BusyFleet(FleetLoad load, const FleetStateMachines& machines)
      : m_load(std::move(load)) {
    m_fleet.m_state_machines = &machines;
    m_fleet.m_term = Term(2);
    m_fleet.m_limits.m_maximum_listing_age = std::chrono::hours(1);
    // A pass tries all waiting tasks.
    m_fleet.m_limits.m_starts_per_pass = kWaitingTasks;
  }

  FleetLoad m_load;
  Fleet m_fleet;
  Random m_random{17};
  TimePoint m_now{std::chrono::seconds(100)};
  int m_last_job = 0;
};

void AddWorkers(BusyFleet& busy) {
  std::vector<ListedWorker> listing;
  for (int number = 0; number < kWorkers; ++number) {
    ListedWorker worker;
    worker.m_worker = WorkerId("worker-" + std::to_string(1000 + number));
    worker.m_incarnation = Incarnation(1);
    worker.m_pool = PoolId("pool");
    worker.m_capacity = Resources{Millicores(32000 + 16000 * (number % 3)),
                                  Mebibytes(128000), Accelerators()};
    worker.m_labels = {"rack-" + std::to_string(number % 12)};
    listing.push_back(worker);
  }
  ApplyListing(busy.m_fleet, listing, busy.m_now, busy.m_now);
  TickFleet(busy.m_fleet, busy.m_now, 0);
  for (const ListedWorker& listed : listing) {
    const Worker& worker = *FindWorker(busy.m_fleet, listed.m_worker);
    WorkerReport report;
    report.m_incarnation = listed.m_incarnation;
    ApplyReport(busy.m_fleet, listed.m_worker, worker.m_poll_number,
                worker.m_token, report, busy.m_now);
  }
  ApplyRosterStored(busy.m_fleet, MissingFromRoster(busy.m_fleet));
}

// Two thirds of the pairs of images are known.
void LearnEffects(BusyFleet& busy) {
  Interference& known = busy.m_fleet.m_interference;
  for (int serving = 0; serving < kServingImages; ++serving) {
    known.m_baselines[ServingImageOf(serving)] = {busy.m_load.m_headroom, 0.1};
    for (int other = 0; other < kBestEffortImages; ++other) {
      known.m_best_effort_images.insert(BestEffortImageOf(other));
      if (NextBelow(busy.m_random, 3) == 0) continue;
      known.m_pairs[{ServingImageOf(serving), BestEffortImageOf(other)}] = {
          10 * NextUnit(busy.m_random), 1.0};
      ++known.m_incompatible_counts[ServingImageOf(serving)];
    }
  }
}

StepPlan& AddJobPlan(BusyFleet& busy, JobPlan& plan, std::uint32_t tasks,
                     std::uint64_t processors) {
  plan.m_key = JobKey("job-" + std::to_string(++busy.m_last_job));
  plan.m_queue.m_id = QueueId("queue");
  plan.m_queue.m_pool = PoolId("pool");
  plan.m_queue.m_maximum_attempts = 3;
  StepPlan step;
  step.m_task_count = tasks;
  step.m_demand = Resources{Millicores(static_cast<std::int64_t>(processors)),
                            Mebibytes(static_cast<std::int64_t>(
                                500 + NextBelow(busy.m_random, 8000))),
                            Accelerators()};
  step.m_estimate = std::chrono::seconds(5);
  plan.m_steps = {step};
  return plan.m_steps.front();
}

void AddServingJob(BusyFleet& busy) {
  JobPlan plan;
  StepPlan& step = AddJobPlan(busy, plan, 4, 3000);
  step.m_kind = StepKind::kService;
  step.m_image = ServingImageOf(NextBelow(busy.m_random, kServingImages));
  step.m_latency_target = std::chrono::milliseconds(20);
  AddJob(busy.m_fleet, plan, {}, busy.m_now);
}

std::uint32_t AddBatchJob(BusyFleet& busy) {
  const auto tasks =
      static_cast<std::uint32_t>(1 + NextBelow(busy.m_random, 24));
  JobPlan plan;
  StepPlan& step =
      AddJobPlan(busy, plan, tasks, 2000 + 500 * NextBelow(busy.m_random, 20));
  step.m_data_rack = "rack-" + std::to_string(NextBelow(busy.m_random, 12));
  step.m_image = BestEffortImageOf(NextBelow(busy.m_random, kBestEffortImages));
  if (NextBelow(busy.m_random, 100) >= busy.m_load.m_reserved_percent) {
    step.m_processor_use = ProcessorUse::kBestEffort;
  }
  if (NextBelow(busy.m_random, 8) == 0) step.m_maximum_per_worker = 2;
  AddJob(busy.m_fleet, plan, {}, busy.m_now);
  return tasks;
}

std::uint32_t CountWaiting(const BusyFleet& busy) {
  std::uint32_t waiting = 0;
  for (const auto& [key, job] : busy.m_fleet.m_jobs) {
    waiting += StepRunAt(*job, 0).m_waiting;
  }
  return waiting;
}

void Fill(BusyFleet& busy) {
  AddWorkers(busy);
  LearnEffects(busy);
  for (int job = 0; job < busy.m_load.m_serving_jobs; ++job)
    AddServingJob(busy);
  while (CountWaiting(busy) < kWaitingTasks) {
    std::uint32_t added = 0;
    while (added < kWaitingTasks / 4) added += AddBatchJob(busy);
    busy.m_now += kPassInterval;
    RefreshRanks(busy.m_fleet, busy.m_now);
    PlaceRuns(busy.m_fleet, busy.m_now);
  }
}

void EndRandomTasks(BusyFleet& busy) {
  for (int ended = 0; ended < kEndsPerPass;) {
    auto entry = busy.m_fleet.m_workers.begin();
    std::advance(entry, NextBelow(busy.m_random, kWorkers));
    const Worker& worker = entry->second;
    if (worker.m_runs.empty()) continue;
    const TaskReference reference = *worker.m_runs.rbegin();
    Job* job = FindJob(busy.m_fleet, reference.m_job);
    ++ended;
    StepTask(busy.m_fleet, *job, reference, RunEvent::kStarted);
    StepTask(busy.m_fleet, *job, reference, RunEvent::kCompleted);
  }
  for (int report = 0; report < kReportsPerPass; ++report) {
    auto entry = busy.m_fleet.m_workers.begin();
    std::advance(entry, NextBelow(busy.m_random, kWorkers));
    entry->second.m_headrooms.clear();
  }
}

void BenchPlacementPass(BenchTable& table, const FleetLoad& load,
                        const FleetStateMachines& machines) {
  const int passes = table.m_is_short ? 50 : 400;
  BusyFleet busy(load, machines);
  Fill(busy);
  double milliseconds = 0;
  std::size_t starts = 0;
  for (int pass = 0; pass < passes; ++pass) {
    busy.m_fleet.m_orders.clear();
    busy.m_fleet.m_events.clear();
    EndRandomTasks(busy);
    while (CountWaiting(busy) < kWaitingTasks) AddBatchJob(busy);
    busy.m_now += kPassInterval;
    const double begin = ProcessorMilliseconds();
    PlaceRuns(busy.m_fleet, busy.m_now);
    milliseconds += ProcessorMilliseconds() - begin;
    starts += busy.m_fleet.m_orders.size();
  }
  AddFigure(table, "fleet",
            "processor time of a placement pass, " + load.m_name,
            milliseconds / passes, "ms");
  AddFigure(table, "fleet", "task starts in a pass, " + load.m_name,
            static_cast<double>(starts) / passes, "tasks");
}

}  // namespace

void BenchFleet(BenchTable& table) {
  const auto machines = LoadFleetStateMachines(DAISYARCH_CHARTS);
  BenchPlacementPass(table, {"full workers", kWorkers / 2, 50, 3.0},
                     machines.assume_value());
  BenchPlacementPass(table, {"sensitive neighbours", kWorkers, 15, 2.0},
                     machines.assume_value());
}

}  // namespace daisyarch
