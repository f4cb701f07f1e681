#include "near_place_bench.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <string>
#include <utility>

#include "base/random.h"
#include "decisions/fleet/fleet.h"
#include "decisions/fleet/near_place.h"
#include "decisions/fleet/occurrences.h"
#include "decisions/fleet/roster.h"

namespace daisyarch {

namespace {

using namespace fleet;  // NOLINT(google-build-using-namespace)

constexpr int kRacks = 12;
constexpr int kWorkersPerRack = 8;
constexpr std::int64_t kWorkerProcessors = 16000;
constexpr std::int64_t kTaskProcessors = 1900;
constexpr std::uint32_t kTasksPerStep = 10;
constexpr Duration kStepLength = std::chrono::milliseconds(10);
constexpr Duration kTaskTime = std::chrono::milliseconds(800);
constexpr Duration kFixedWait = std::chrono::milliseconds(250);

/// How long tasks wait for a place near their data.
enum class WaitPolicy { kNever, kAlways, kFixed, kDecided };

/// What the jobs are like.
struct NearLoad {
  std::string m_name;
  double m_use = 0.5;         ///< Of all processors, if all tasks ran near.
  double m_hot_share = 0;     ///< Of the jobs, with data on one rack.
  double m_slowdown = 1.5;    ///< Elsewhere.
  double m_wrong_factor = 1;  ///< Estimates are off by it, either way.
};

/// A fleet whose runs end by a seeded clock.
struct RackFleet {
  RackFleet(NearLoad load, WaitPolicy policy,
            const FleetStateMachines& machines, std::uint64_t seed)
      : m_load(std::move(load)),
        m_policy(policy),
        m_job_random{seed},
        m_run_random{seed + 1000} {
    m_fleet.m_state_machines = &machines;
    m_fleet.m_term = Term(2);
    m_fleet.m_limits.m_maximum_listing_age = std::chrono::hours(1);
    m_fleet.m_limits.m_starts_per_pass = 1000;
    m_fleet.m_limits.m_remote_slowdown =
        policy == WaitPolicy::kNever ? 1.0 : m_load.m_slowdown;
  }

  NearLoad m_load;
  WaitPolicy m_policy;
  Random m_job_random;
  Random m_run_random;
  Fleet m_fleet;
  TimePoint m_now{std::chrono::seconds(100)};
  std::multimap<TimePoint, TaskReference> m_ends;
  int m_last_job = 0;
  double m_next_job_at = 0;                 ///< In seconds since the start.
  std::map<JobKey, double> m_true_factors;  ///< Run time to kTaskTime.
  std::vector<double> m_seconds;  ///< From acceptance to the end, of each job.
};

std::string RackName(std::uint64_t rack) {
  return "rack-" + std::to_string(rack);
}

void AddWorkers(RackFleet& racks) {
  std::vector<ListedWorker> listing;
  for (int number = 0; number < kRacks * kWorkersPerRack; ++number) {
    ListedWorker worker;
    worker.m_worker = WorkerId("worker-" + std::to_string(1000 + number));
    worker.m_incarnation = Incarnation(1);
    worker.m_pool = PoolId("pool");
    worker.m_capacity = Resources{Millicores(kWorkerProcessors),
                                  Mebibytes(64000), Accelerators()};
    worker.m_labels = {RackName(static_cast<std::uint64_t>(number % kRacks))};
    listing.push_back(worker);
  }
  ApplyListing(racks.m_fleet, listing, racks.m_now, racks.m_now);
  TickFleet(racks.m_fleet, racks.m_now, 0);
  for (const ListedWorker& listed : listing) {
    const Worker& worker = *FindWorker(racks.m_fleet, listed.m_worker);
    WorkerReport report;
    report.m_incarnation = listed.m_incarnation;
    ApplyReport(racks.m_fleet, listed.m_worker, worker.m_poll_number,
                worker.m_token, report, racks.m_now);
  }
  ApplyRosterStored(racks.m_fleet, MissingFromRoster(racks.m_fleet));
  racks.m_fleet.m_orders.clear();
}

Duration Times(Duration duration, double factor) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, Duration::period>(
          static_cast<double>(duration.count()) * factor));
}

void SubmitJob(RackFleet& racks) {
  Random& random = racks.m_job_random;
  JobPlan plan;
  plan.m_key = JobKey("job-" + std::to_string(++racks.m_last_job));
  plan.m_queue.m_id = QueueId("queue");
  plan.m_queue.m_pool = PoolId("pool");
  plan.m_queue.m_maximum_attempts = 3;
  plan.m_queue.m_stretch = 1.5;
  plan.m_queue.m_target = std::chrono::milliseconds(500);
  StepPlan step;
  step.m_task_count = kTasksPerStep;
  step.m_demand =
      Resources{Millicores(kTaskProcessors), Mebibytes(500), Accelerators()};
  const double true_factor = 0.5 + NextUnit(random);
  double estimate_factor = true_factor * (0.1 + 1.8 * NextUnit(random));
  const bool is_short = NextBelow(random, 2) == 0;
  if (racks.m_load.m_wrong_factor > 1) {
    estimate_factor = is_short ? true_factor / racks.m_load.m_wrong_factor
                               : true_factor * racks.m_load.m_wrong_factor;
  }
  racks.m_true_factors[plan.m_key] = true_factor;
  step.m_estimate = Times(kTaskTime, estimate_factor);
  const bool is_hot = NextUnit(random) < racks.m_load.m_hot_share;
  const std::uint64_t rack = NextBelow(random, kRacks);
  step.m_data_rack = RackName(is_hot ? 0 : rack);
  plan.m_steps = {step};
  if (NextUnit(random) < 0.6) {
    step.m_after = {0};
    plan.m_steps.push_back(step);
  }
  AddJob(racks.m_fleet, plan, {}, racks.m_now);
}

void SubmitDueJobs(RackFleet& racks, double seconds, double until) {
  const double seconds_per_job =
      1.6 * kTasksPerStep * (kTaskProcessors / 1000.0) * 0.8 /
      (kRacks * kWorkersPerRack * (kWorkerProcessors / 1000.0) *
       racks.m_load.m_use);
  while (racks.m_next_job_at <= std::min(seconds, until)) {
    SubmitJob(racks);
    racks.m_next_job_at -=
        std::log(1 - NextUnit(racks.m_job_random)) * seconds_per_job;
  }
}

// Begins the waits of the policies that the product does not have.
void BeginFixedWaits(RackFleet& racks) {
  const TimePoint end = racks.m_policy == WaitPolicy::kAlways
                            ? TimePoint::max()
                            : racks.m_now + kFixedWait;
  NearWaits& waits = racks.m_fleet.m_near_waits;
  for (auto& [name, job] : racks.m_fleet.m_jobs) {
    const JobKey key(name);
    VisitStepRuns(*job, [&, &job = *job](std::size_t index, StepRun& run) {
      if (!run.m_is_released || run.m_has_decided_near_waits) return;
      run.m_has_decided_near_waits = true;
      NearWait wait;
      wait.m_rack = {PoolId("pool"), job.m_plan.m_steps[index].m_data_rack};
      wait.m_begun_at = racks.m_now;
      wait.m_ends.assign(run.m_waiting, end);
      waits.m_tasks_by_rack[wait.m_rack] += run.m_waiting;
      waits.m_timers.insert({end, {key, index}});
      waits.m_by_step_run[{key, index}] = wait;
    });
  }
}

void EndRuns(RackFleet& racks) {
  while (!racks.m_ends.empty() && racks.m_ends.begin()->first <= racks.m_now) {
    const TaskReference reference = racks.m_ends.begin()->second;
    racks.m_ends.erase(racks.m_ends.begin());
    Job* job = FindJob(racks.m_fleet, reference.m_job);
    StepTask(racks.m_fleet, *job, reference, RunEvent::kCompleted);
    if (!HasEnded(*job)) continue;
    const std::chrono::duration<double> took = racks.m_now - job->m_accepted_at;
    racks.m_seconds.push_back(took.count());
    racks.m_true_factors.erase(reference.m_job);
    RemoveJob(racks.m_fleet, reference.m_job);
  }
}

void BeginRuns(RackFleet& racks) {
  for (const Order& order : racks.m_fleet.m_orders) {
    const auto* start = std::get_if<StartOrder>(&order);
    if (start == nullptr) continue;
    Job* job = FindJob(racks.m_fleet, start->m_task.m_job);
    StepTask(racks.m_fleet, *job, start->m_task, RunEvent::kStarted);
    const auto& labels =
        FindWorker(racks.m_fleet, start->m_worker)->m_listing.m_labels;
    const bool is_near =
        labels.front() == job->m_plan.m_steps[start->m_task.m_step].m_data_rack;
    const double factor = racks.m_true_factors.at(start->m_task.m_job) *
                          (0.9 + 0.2 * NextUnit(racks.m_run_random)) *
                          (is_near ? 1.0 : racks.m_load.m_slowdown);
    racks.m_ends.emplace(racks.m_now + Times(kTaskTime, factor), start->m_task);
  }
  racks.m_fleet.m_orders.clear();
  racks.m_fleet.m_events.clear();
}

/// Returns the time to the end of each job, in seconds.
std::vector<double> RunJobs(const NearLoad& load, WaitPolicy policy,
                            const FleetStateMachines& machines,
                            std::uint64_t seed, double length) {
  RackFleet racks(load, policy, machines, seed);
  AddWorkers(racks);
  const TimePoint began_at = racks.m_now;
  // All jobs end, also those that have waited longest.
  while (racks.m_next_job_at <= length || !racks.m_fleet.m_jobs.empty()) {
    racks.m_now += kStepLength;
    const std::chrono::duration<double> passed = racks.m_now - began_at;
    EndRuns(racks);
    SubmitDueJobs(racks, passed.count(), length);
    if (policy == WaitPolicy::kAlways || policy == WaitPolicy::kFixed) {
      BeginFixedWaits(racks);
    }
    EndNearWaits(racks.m_fleet, racks.m_now);
    RefreshRanks(racks.m_fleet, racks.m_now);
    PlaceRuns(racks.m_fleet, racks.m_now);
    BeginRuns(racks);
  }
  return racks.m_seconds;
}

double Mean(const std::vector<double>& samples) {
  double sum = 0;
  for (const double sample : samples) sum += sample;
  return samples.empty() ? 0 : sum / static_cast<double>(samples.size());
}

void BenchLoad(BenchTable& table, const NearLoad& load,
               const FleetStateMachines& machines) {
  // The same jobs arrive under each policy, but the runs differ by chance.
  constexpr double kNoise = 1.02;
  const std::uint64_t seeds = table.m_is_short ? 1 : 3;
  const double length = table.m_is_short ? 8 : 40;
  std::map<WaitPolicy, std::vector<double>> seconds;
  for (const WaitPolicy policy : {WaitPolicy::kNever, WaitPolicy::kAlways,
                                  WaitPolicy::kFixed, WaitPolicy::kDecided}) {
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
      const auto run = RunJobs(load, policy, machines, seed, length);
      auto& all = seconds[policy];
      all.insert(all.end(), run.begin(), run.end());
    }
  }
  const auto add = [&](const std::string& name, WaitPolicy policy) {
    AddFigure(table, "near", "mean time of a job, " + load.m_name + ", " + name,
              Mean(seconds[policy]), "s");
  };
  add("no wait", WaitPolicy::kNever);
  add("wait until near", WaitPolicy::kAlways);
  add("wait 250 ms", WaitPolicy::kFixed);
  add("wait that pays", WaitPolicy::kDecided);
  const double never = Mean(seconds[WaitPolicy::kNever]);
  AddBoundedFigure(table, "near", "wait that pays to no wait, " + load.m_name,
                   Mean(seconds[WaitPolicy::kDecided]) / never, "ratio",
                   BoundKind::kAtMost, kNoise);
  AddFigure(table, "near", "the same, of the slowest 5%, " + load.m_name,
            Quantile(seconds[WaitPolicy::kDecided], 0.95) /
                Quantile(seconds[WaitPolicy::kNever], 0.95),
            "ratio");
}

}  // namespace

void BenchNearPlaces(BenchTable& table) {
  const auto machines = LoadFleetStateMachines(DAISYARCH_CHARTS);
  for (const NearLoad& load :
       {NearLoad{"calm", 0.3}, NearLoad{"busy", 0.75},
        NearLoad{"hot rack", 0.4, 0.6},
        NearLoad{"hot rack, twice as slow", 0.4, 0.6, 2.0},
        NearLoad{"busy, estimates 10 times off", 0.75, 0, 1.5, 10},
        NearLoad{"hot rack, estimates 10 times off", 0.4, 0.6, 1.5, 10}}) {
    BenchLoad(table, load, machines.assume_value());
  }
}

}  // namespace daisyarch
