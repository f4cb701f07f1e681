#include <algorithm>
#include <catch2/catch.hpp>
#include <sstream>

#include "decisions/fleet/occurrences.h"
#include "decisions/fleet/stalled_steps.h"
#include "fakes/fake_site.h"

namespace daisyarch::fleet {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kSeedsInCi = 18;
constexpr std::uint64_t kSeedsWithRelaysInCi = 10;
constexpr int kRelayFaults = 8;
constexpr int kWorkers = 8;
constexpr int kJobs = 36;
constexpr int kServices = 4;
constexpr Duration kSubmissions = seconds(30);
// Every fault has ended 10 s after the submissions.
constexpr Duration kCalmAfter = seconds(10);
const Resources kCapacity{Millicores(4000), Mebibytes(8000), Accelerators(0)};

// The stated times that work may have to wait for once the day is calm: the
// longest lease of a worker, an isolated leader and its claim, and the runs of
// an earlier leader. A start may take 3 s, as the users allow.
constexpr Duration kLongestLease = seconds(10);
constexpr Duration kIsolationAndClaim = seconds(6 + 2);
constexpr Duration kInheritedWait = milliseconds(8500);
constexpr Duration kMaximumStartDelay = seconds(3);
// A paused task is at 100% after seven raises by 15%, each after 600 ms at the
// earliest and at the poll after that, which may wait 1 s.
constexpr Duration kRaiseToFull = 7 * milliseconds(600 + 1000);

/// A day of the site, with the workers whose runs fail.
struct SoakDay {
  explicit SoakDay(std::uint64_t seed) : m_site(seed) {}

  FakeSite m_site;
  std::set<WorkerId> m_failing;
};

bool IsService(const JobPlan& plan) {
  return plan.m_steps.front().m_kind == StepKind::kService;
}

JobPlan MakeJob(int number, const std::string& kind, std::uint32_t tasks,
                Duration estimate) {
  JobPlan plan = MakeTestJob(number, tasks);
  plan.m_key = JobKey(kind + "-" + std::to_string(number));
  plan.m_steps.resize(1);
  plan.m_steps.front().m_estimate = estimate;
  return plan;
}

JobPlan MakeService(int number) {
  JobPlan plan = MakeJob(number, "service", 3, seconds(1));
  StepPlan& step = plan.m_steps.front();
  step.m_kind = StepKind::kService;
  step.m_latency_target = milliseconds(100);
  step.m_image = ImageId("service-" + std::to_string(number % 2));
  return plan;
}

JobPlan MakeBestEffortJob(int number) {
  JobPlan plan =
      MakeJob(number, "best-effort", static_cast<std::uint32_t>(2 + number % 4),
              seconds(1 + number % 4));
  StepPlan& step = plan.m_steps.front();
  step.m_processor_use = ProcessorUse::kBestEffort;
  step.m_demand.m_processors = Millicores(1500);
  step.m_saves_progress = number % 3 == 0;
  step.m_image = ImageId("best-effort-" + std::to_string(number % 3));
  return plan;
}

JobPlan MakeChain(int number) {
  JobPlan plan = MakeJob(number, "chain", 4, milliseconds(1200));
  for (std::uint32_t step = 1; step < 3; ++step) {
    plan.m_steps.push_back(plan.m_steps.front());
    plan.m_steps.back().m_after = {step - 1};
  }
  return plan;
}

JobPlan MakeSoakJob(int number) {
  constexpr std::uint32_t kTasksOfWideJob = 48;  // The site has 32 cores.
  if (number < kServices) return MakeService(number);
  switch (number % 6) {
    case 0:
      return MakeChain(number);
    case 1:
      return MakeJob(number, "wide", kTasksOfWideJob, milliseconds(800));
    case 2:
      return MakeJob(number, "reserved", 5, milliseconds(1500));
    default:
      return MakeBestEffortJob(number);
  }
}

// Runs of finite tasks take up to the estimate; those of a failing worker fail
// at once.
ModelRun PlanRun(SoakDay& day, const WorkerId& worker,
                 const TaskReference& task) {
  FakeSite& site = day.m_site;
  const StepPlan& step =
      site.m_submitted.at(task.m_job).m_steps.at(task.m_step);
  ModelRun run;
  run.m_saves_progress = step.m_saves_progress;
  run.m_ends_at =
      site.m_loop.m_now +
      DelayBetween(site.m_loop, step.m_estimate / 4, step.m_estimate);
  if (step.m_kind == StepKind::kService) {
    run.m_ends_at = site.m_loop.m_now + std::chrono::hours(24);
  }
  if (day.m_failing.count(worker) > 0 && Chance(site.m_loop, 0.5)) {
    run.m_ends_at = site.m_loop.m_now + milliseconds(20);
    run.m_outcome = RunOutcome::kFailed;
    run.m_saves_progress = false;
  }
  return run;
}

void BuildSite(SoakDay& day, bool has_relays) {
  FakeSite& site = day.m_site;
  site.m_has_relays = has_relays;
  site.m_routes = MakeTestRoutes();
  for (int number = 0; number < kWorkers; ++number) {
    const std::string name = "w" + std::to_string(number);
    AddSiteWorker(site, name, kCapacity);
    site.m_workers.at(WorkerId(name))->m_plan_run =
        [&day, id = WorkerId(name)](const TaskReference& task, RunNumber) {
          return PlanRun(day, id, task);
        };
  }
  const int nodes = has_relays ? 4 : 3;
  for (int number = 0; number < nodes; ++number) {
    AddSiteNode(site, "n" + std::to_string(number));
  }
}

void SubmitJobs(FakeSite& site) {
  for (int number = 0; number < kJobs; ++number) {
    const Duration latest = number < kServices ? seconds(3) : kSubmissions;
    const Duration at = DelayBetween(site.m_loop, seconds(1), latest);
    JobPlan plan = MakeSoakJob(number);
    plan.m_accepted_unix_ms =
        ToMilliseconds((site.m_loop.m_now + at).time_since_epoch());
    RunAfter(site.m_loop, at, [&site, number, plan] {
      SubmitToSite(site, *site.m_nodes[number % 3], plan);
    });
    if (!Chance(site.m_loop, 0.2)) continue;
    const Duration later =
        DelayBetween(site.m_loop, milliseconds(50), seconds(6));
    RunAfter(site.m_loop, at + later,
             [&site, plan] { CancelAtSite(site, plan.m_key); });
  }
}

FleetWorkerModel& PickWorker(FakeSite& site) {
  const Duration index =
      DelayBetween(site.m_loop, Duration(0), Duration(kWorkers - 1));
  return *std::next(site.m_workers.begin(), index.count())->second;
}

// Kills the node, if there is one, and starts it again.
void KillNode(FakeSite& site, FakeSiteNode* node) {
  if (node == nullptr || !node->m_is_alive) return;
  KillSiteNode(site, *node);
  RunAfter(site.m_loop, seconds(1),
           [&site, name = node->m_name] { AddSiteNode(site, name); });
}

// Calls `act` with the worker of a paused task, as soon as there is one.
void OncePaused(FakeSite& site,
                const std::function<void(FleetWorkerModel&)>& act) {
  for (const auto& entry : site.m_workers) {
    for (const auto& [task, run] : entry.second->m_running) {
      if (run.m_limit_percent == 0) return act(*entry.second);
    }
  }
  RunAfter(site.m_loop, milliseconds(50),
           [&site, act] { OncePaused(site, act); });
}

void SlowLeader(FakeSite& site) {
  FakeSiteNode* leader = FindLeader(site);
  if (leader == nullptr) return;
  const Duration delay =
      DelayBetween(site.m_loop, milliseconds(100), milliseconds(900));
  SlowSiteNode(site, *leader, delay,
               DelayBetween(site.m_loop, seconds(2), seconds(8)));
}

// With a probability of 70%, injects a fault at a random time from 4 s to the
// end of the submissions, with a random duration.
void ScheduleFault(SoakDay& day, const std::function<void(Duration)>& fault) {
  FakeLoop& loop = day.m_site.m_loop;
  const Duration at = DelayBetween(loop, seconds(4), kSubmissions);
  const Duration duration = DelayBetween(loop, seconds(3), seconds(9));
  if (!Chance(loop, 0.7)) return;
  RunAfter(loop, at, [fault, duration] { fault(duration); });
}

void PlanWorkerFaults(SoakDay& day) {
  FakeSite& site = day.m_site;
  ScheduleFault(day, [&site](Duration duration) {
    PickWorker(site).m_unhealthy_until = site.m_loop.m_now + duration;
  });
  ScheduleFault(day, [&site](Duration duration) {
    OncePaused(site, [&site, duration](FleetWorkerModel& worker) {
      worker.m_unhealthy_until = site.m_loop.m_now + duration;
    });
  });
  ScheduleFault(day, [&day, &site](Duration duration) {
    const WorkerId id = PickWorker(site).m_listing.m_worker;
    day.m_failing.insert(id);
    RunAfter(site.m_loop, duration, [&day, id] { day.m_failing.erase(id); });
  });
  ScheduleFault(day, [&site](Duration duration) {
    site.m_faults.m_interference_until = std::max(
        site.m_faults.m_interference_until, site.m_loop.m_now + duration);
  });
}

void PlanFaults(SoakDay& day, std::uint64_t seed) {
  FakeSite& site = day.m_site;
  if (seed % 2 == 0) {
    site.m_faults.m_answer_loss_probability = 0.03;
    site.m_faults.m_late_effect_probability = 0.02;
  }
  if (seed % 3 == 0) {
    site.m_faults.m_late_order_probability = 0.03;
    site.m_faults.m_order_answer_loss_probability = 0.03;
  }
  for (int times = 0; times < 2; ++times) PlanWorkerFaults(day);
  ScheduleFault(day, [&site](Duration) { SlowLeader(site); });
  ScheduleFault(day, [&site](Duration) {
    OncePaused(site, [&site](auto&) { KillNode(site, FindLeader(site)); });
  });
  ScheduleFault(day, [&site](Duration) {
    site.m_faults.m_is_store_unresponsive = Chance(site.m_loop, 0.5);
    site.m_faults.m_store_down_until = site.m_loop.m_now + seconds(5);
  });
  if (!Chance(site.m_loop, 0.5)) return;
  // Tasks are paused when all nodes are killed at the end of the submissions.
  RunAfter(site.m_loop, kSubmissions - seconds(4), [&site] {
    site.m_faults.m_interference_until = site.m_loop.m_now + seconds(5);
  });
  RunAfter(site.m_loop, kSubmissions, [&site] {
    for (const auto& node : site.m_nodes) KillNode(site, node.get());
  });
}

std::size_t CountRuns(const FakeSite& site, const JobKey& key) {
  std::size_t count = 0;
  for (const auto& [id, worker] : site.m_workers) {
    for (const auto& entry : worker->m_running) {
      if (entry.first.m_job == key) ++count;
    }
  }
  return count;
}

// A cancelled job has ended and runs nothing; a service runs all its tasks; any
// other job is done or has failed.
bool IsAsWanted(const FakeSite& site, const JobPlan& plan) {
  const JobState state = ReadStoredState(site, plan.m_key);
  const std::size_t runs = CountRuns(site, plan.m_key);
  const bool has_finished =
      state == JobState::kCompleted || state == JobState::kFailed;
  const bool is_cancelled =
      state == JobState::kCancelled && site.m_cancelled.count(plan.m_key) > 0;
  if (is_cancelled || site.m_cancelled_at.count(plan.m_key) > 0) {
    return runs == 0 && (is_cancelled || has_finished);
  }
  if (IsService(plan)) return runs == plan.m_steps.front().m_task_count;
  return has_finished;
}

// Returns how long the work that is left takes on a site without faults.
// Reserved tasks take a core each, so no free core is idle while one of them
// waits, except for the starts along the longest chain. After them, each
// best-effort job runs one task at a time at least, since the services leave
// 60% free.
Duration WorkTime(const FakeSite& site) {
  constexpr int kCoresOfServices = kServices * 3;
  constexpr int kFreeCores = kWorkers * 4 - kCoresOfServices;
  Duration reserved{};
  Duration longest_chain{};
  Duration best_effort{};
  for (const auto& [key, plan] : site.m_submitted) {
    if (IsService(plan) || IsAsWanted(site, plan)) continue;
    Duration chain{};
    for (const StepPlan& step : plan.m_steps) {
      const Duration all = step.m_task_count * step.m_estimate;
      if (step.m_processor_use == ProcessorUse::kBestEffort) {
        best_effort =
            std::max(best_effort, all + step.m_task_count * kMaximumStartDelay);
      } else {
        reserved += all;
        chain += step.m_estimate + kMaximumStartDelay;
      }
    }
    longest_chain = std::max(longest_chain, chain);
  }
  return reserved / kFreeCores + longest_chain + best_effort;
}

std::vector<const JobPlan*> FindUnwanted(const FakeSite& site) {
  std::vector<const JobPlan*> unwanted;
  for (const JobKey& key : site.m_accepted) {
    const JobPlan& plan = site.m_submitted.at(key);
    if (!IsAsWanted(site, plan)) unwanted.push_back(&plan);
  }
  return unwanted;
}

void DescribeJob(FakeSite& site, Fleet& fleet, const JobKey& key,
                 std::ostream& out) {
  const Job* job = FindJob(fleet, key);
  out << "\n" << key.value() << (job == nullptr ? " is unknown" : "");
  if (job == nullptr) return;
  VisitStepRuns(*job, [&](std::size_t, const StepRun& step_run) {
    out << "\n  step:";
    step_run.m_tasks.VisitAllocated([&](std::size_t, const Task& task) {
      out << " " << int{static_cast<std::uint8_t>(task.m_state)} << "@"
          << task.m_worker.value() << "/" << int{task.m_processor_limit_percent}
          << "%";
    });
  });
  for (const auto& [id, worker] : site.m_workers) {
    for (const auto& [task, run] : worker->m_running) {
      if (task.m_job != key) continue;
      out << "\n  " << id.value() << " runs " << task.m_step << "."
          << task.m_index << " at " << int{run.m_limit_percent} << "%";
    }
  }
}

// Describes the leader's and the workers' views of what is not as wanted.
std::string Describe(FakeSite& site) {
  std::ostringstream out;
  FakeSiteNode* leader = FindLeader(site);
  out << site.m_violation << (leader == nullptr ? " no leader" : "");
  if (leader == nullptr) return out.str();
  Fleet& fleet = leader->m_node->m_leader->m_fleet;
  for (const JobPlan* plan : FindUnwanted(site)) {
    DescribeJob(site, fleet, plan->m_key, out);
  }
  for (const StalledStep& step :
       FindStalledSteps(fleet, Duration{}, 10, site.m_loop.m_now)) {
    out << "\nstalled: " << step.m_job.value() << " " << NameOf(step.m_cause);
  }
  return out.str();
}

void CalmDown(SoakDay& day) {
  day.m_failing.clear();
  day.m_site.m_faults = SiteFaults();
  for (auto& entry : day.m_site.m_workers) {
    entry.second->m_unhealthy_until = TimePoint();
  }
}

void PlanRelayFaults(SoakDay& day, std::uint64_t seed) {
  FakeSite& site = day.m_site;
  if (seed % 2 == 0) site.m_faults.m_relay_answer_loss_probability = 0.003;
  for (int fault = 0; fault < kRelayFaults; ++fault) {
    ScheduleFault(day, [&site](Duration) { DisturbRelay(site); });
  }
}

void PlaySeed(std::uint64_t seed, bool has_relays) {
  INFO("seed " << seed);
  SoakDay day(seed);
  FakeSite& site = day.m_site;
  BuildSite(day, has_relays);
  SubmitJobs(site);
  PlanFaults(day, seed);
  if (has_relays) PlanRelayFaults(day, seed);
  RunFor(site.m_loop, kSubmissions + kCalmAfter);
  CalmDown(day);
  const Duration bound = kLongestLease + kIsolationAndClaim + kInheritedWait +
                         kMaximumStartDelay + kRaiseToFull + WorkTime(site);
  const bool has_ended = RunUntilTrue(
      site.m_loop, bound, [&site] { return FindUnwanted(site).empty(); });
  INFO(ToMilliseconds(bound) << " ms after calm:" << Describe(site));
  INFO(site.m_repeated_task);
  CHECK(site.m_violation.empty());
  CHECK(site.m_repeated_task.empty());
  CHECK(has_ended);
  CHECK(site.m_accepted.size() > std::size_t{kJobs / 2});
  CHECK((site.m_relayed_orders > 0) == has_relays);
}

}  // namespace

// By hand: DAISYARCH_SOAK_SEEDS=50 failure_tests -# "[#site_soak_test]"
TEST_CASE("Accepted work ends soon after a day of faults has calmed") {
  const std::uint64_t first = FirstSeed();
  const std::uint64_t count = SeedCount(kSeedsInCi);
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    PlaySeed(seed, false);
  }
}

// Relays are killed, slowed and cut off besides, one after the other and at the
// same time, and lose answers on every second day.
TEST_CASE("Accepted work ends soon after a day of relays' faults has calmed") {
  const std::uint64_t first = FirstSeed();
  const std::uint64_t count = SeedCount(kSeedsWithRelaysInCi);
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    PlaySeed(seed, true);
  }
}

}  // namespace daisyarch::fleet
