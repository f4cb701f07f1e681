#include <algorithm>
#include <catch2/catch.hpp>

#include "fakes/fake_site.h"

namespace daisyarch::fleet {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kSeeds = 30;
constexpr std::uint64_t kCalmSeeds = 10;
constexpr int kWorkers = 6;
constexpr int kJobs = 30;
constexpr Duration kChanges = seconds(40);
// Covers the submissions, the longest time that a leader cannot reach the
// store, and the expiry of every lease after it.
constexpr Duration kMaximumCompletionTime = seconds(120);
const Resources kCapacity{Millicores(4000), Mebibytes(8000), Accelerators(1)};

/// A day on which workers shrink and grow.
struct CapacityDay {
  explicit CapacityDay(std::uint64_t seed) : m_site(seed) {}

  FakeSite m_site;
  std::set<RunOutcome> m_outcomes;  ///< Of the runs that have ended.
  bool m_has_grown_again = false;
  /// When the members of each gang end together.
  std::map<std::pair<JobKey, RunNumber>, TimePoint> m_gang_ends;
};

// Reserved, best-effort, accelerator and gang jobs, and jobs that spread. A
// gang needs a day without faults, since the model ends its members together
// only if none is lost.
JobPlan MakeJob(int number, bool has_gangs) {
  JobPlan plan =
      MakeTestJob(number, 2 + static_cast<std::uint32_t>(number % 7));
  StepPlan& first = plan.m_steps.front();
  switch (number % 5) {
    case 0:
      first.m_processor_use = ProcessorUse::kBestEffort;
      first.m_demand =
          Resources{Millicores(1500), Mebibytes(2000), Accelerators(0)};
      first.m_image = ImageId("best-effort");
      break;
    case 1:
      first.m_demand =
          Resources{Millicores(500), Mebibytes(200), Accelerators(1)};
      break;
    case 2:
      first.m_is_gang = has_gangs;
      first.m_task_count = 4;
      break;
    case 3:
      first.m_maximum_per_worker = 2;
      first.m_demand.m_memory = Mebibytes(3000);
      break;
    default:
      break;
  }
  return plan;
}

ModelRun PlanRun(CapacityDay& day, const TaskReference& task,
                 RunNumber number) {
  FakeSite& site = day.m_site;
  ModelRun run;
  run.m_ends_at = site.m_loop.m_now +
                  DelayBetween(site.m_loop, milliseconds(300), seconds(5));
  if (site.m_submitted.at(task.m_job).m_steps.at(task.m_step).m_is_gang) {
    const std::pair<JobKey, RunNumber> gang(task.m_job, number);
    run.m_ends_at = day.m_gang_ends.emplace(gang, run.m_ends_at).first->second;
  }
  return run;
}

void BuildSite(CapacityDay& day) {
  FakeSite& site = day.m_site;
  site.m_routes = MakeTestRoutes();
  for (int number = 0; number < kWorkers; ++number) {
    const std::string name = "w" + std::to_string(number);
    AddSiteWorker(site, name, kCapacity);
    FleetWorkerModel& worker = *site.m_workers.at(WorkerId(name));
    worker.m_plan_run = [&day](const TaskReference& task, RunNumber run) {
      return PlanRun(day, task, run);
    };
    worker.m_on_end = [&day, record = worker.m_on_end](const EndedRun& ended) {
      day.m_outcomes.insert(ended.m_outcome);
      record(ended);
    };
  }
  for (int number = 0; number < 3; ++number) {
    AddSiteNode(site, "n" + std::to_string(number));
  }
}

void SubmitJobs(FakeSite& site, bool has_gangs) {
  for (int number = 0; number < kJobs; ++number) {
    const Duration at = DelayBetween(site.m_loop, seconds(1), kChanges);
    RunAfter(site.m_loop, at, [&site, number, has_gangs] {
      SubmitToSite(site, *site.m_nodes[number % site.m_nodes.size()],
                   MakeJob(number, has_gangs));
    });
  }
}

FleetWorkerModel& PickWorker(FakeSite& site) {
  const Duration index =
      DelayBetween(site.m_loop, Duration(0), Duration(kWorkers - 1));
  return *std::next(site.m_workers.begin(), index.count())->second;
}

// Returns the whole capacity, none, or part of each resource.
Resources DrawCapacity(FakeLoop& loop) {
  if (Chance(loop, 0.3)) return kCapacity;
  if (Chance(loop, 0.2)) return Resources();
  const auto part = [&loop](std::int64_t whole) {
    return DelayBetween(loop, Duration(0), Duration(whole)).count();
  };
  return Resources{Millicores(part(kCapacity.m_processors.value())),
                   Mebibytes(part(kCapacity.m_memory.value())),
                   Accelerators(part(kCapacity.m_accelerators.value()))};
}

// Changes the capacity of one worker after another until the changes end, when
// all have their whole capacity.
void ScheduleCapacityChanges(CapacityDay& day) {
  FakeSite& site = day.m_site;
  RunAfter(site.m_loop,
           DelayBetween(site.m_loop, milliseconds(100), seconds(2)),
           [&day, &site] {
             if (day.m_has_grown_again) return;
             SetCapacity(PickWorker(site), DrawCapacity(site.m_loop),
                         site.m_loop.m_now);
             ScheduleCapacityChanges(day);
           });
}

void GrowAll(CapacityDay& day) {
  day.m_has_grown_again = true;
  for (auto& entry : day.m_site.m_workers) {
    SetCapacity(*entry.second, kCapacity, day.m_site.m_loop.m_now);
  }
}

template <typename Fault>
void ScheduleFault(FakeSite& site, const Fault& fault) {
  RunAfter(site.m_loop, DelayBetween(site.m_loop, seconds(2), kChanges), fault);
}

void KillLeader(FakeSite& site) {
  FakeSiteNode* leader = FindLeader(site);
  if (leader == nullptr) return;
  const std::string name = leader->m_name;
  KillSiteNode(site, *leader);
  RunAfter(site.m_loop, seconds(1), [&site, name] { AddSiteNode(site, name); });
}

void DisconnectWorkerFromLeader(FakeSite& site) {
  FakeSiteNode* leader = FindLeader(site);
  if (leader == nullptr) return;
  leader->m_unreachable_workers.insert(PickWorker(site).m_listing.m_worker);
  RunAfter(site.m_loop, seconds(6),
           [leader] { leader->m_unreachable_workers.clear(); });
}

// The new process may have another capacity.
void RestartWorker(CapacityDay& day) {
  FakeSite& site = day.m_site;
  FleetWorkerModel& worker = PickWorker(site);
  if (!worker.m_is_up) return;
  Crash(worker, site.m_loop.m_now);
  const Duration down =
      DelayBetween(site.m_loop, milliseconds(200), seconds(3));
  RunAfter(site.m_loop, down, [&day, &site, &worker] {
    SetCapacity(worker,
                day.m_has_grown_again ? kCapacity : DrawCapacity(site.m_loop),
                site.m_loop.m_now);
    Restart(worker, site.m_loop.m_now);
  });
}

void PlanFaults(CapacityDay& day, std::uint64_t seed) {
  FakeSite& site = day.m_site;
  if (seed % 2 == 0) {
    site.m_faults.m_answer_loss_probability = 0.03;
    site.m_faults.m_late_effect_probability = 0.02;
  }
  if (seed % 3 == 0) {
    site.m_faults.m_late_order_probability = 0.03;
    site.m_faults.m_order_answer_loss_probability = 0.03;
  }
  for (int times = 0; times < 2; ++times) {
    ScheduleFault(site, [&site] { KillLeader(site); });
    ScheduleFault(site, [&site] { DisconnectWorkerFromLeader(site); });
    ScheduleFault(site, [&site] {
      site.m_faults.m_store_down_until = site.m_loop.m_now + seconds(5);
    });
  }
  if (seed % 4 == 0) return;
  for (int times = 0; times < 6; ++times) {
    ScheduleFault(site, [&day] { RestartWorker(day); });
  }
}

bool AllJobsEnd(FakeSite& site) {
  return RunUntilTrue(site.m_loop, kMaximumCompletionTime, [&site] {
    return FindUnfinishedJob(site).empty() || !site.m_violation.empty();
  });
}

}  // namespace

TEST_CASE("Workers that shrink under faults get no tasks over their capacity") {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    INFO("seed " << seed);
    CapacityDay day(seed);
    FakeSite& site = day.m_site;
    BuildSite(day);
    SubmitJobs(site, false);
    PlanFaults(day, seed);
    ScheduleCapacityChanges(day);
    RunFor(site.m_loop, kChanges);
    site.m_faults = SiteFaults();
    GrowAll(day);
    const bool has_ended = AllJobsEnd(site);
    INFO(site.m_violation << FindUnfinishedJob(site));
    CHECK(site.m_violation.empty());
    CHECK(has_ended);
    CHECK(site.m_accepted.size() == kJobs);
  }
}

TEST_CASE("No run is stopped because its worker shrinks") {
  for (std::uint64_t seed = 1; seed <= kCalmSeeds; ++seed) {
    INFO("seed " << seed);
    CapacityDay day(seed);
    FakeSite& site = day.m_site;
    BuildSite(day);
    SubmitJobs(site, true);
    ScheduleCapacityChanges(day);
    RunFor(site.m_loop, kChanges);
    GrowAll(day);
    const bool has_ended = AllJobsEnd(site);
    INFO(site.m_violation << FindUnfinishedJob(site));
    CHECK(site.m_violation.empty());
    CHECK(has_ended);
    CHECK(day.m_outcomes == std::set<RunOutcome>{RunOutcome::kDone});
  }
}

}  // namespace daisyarch::fleet
