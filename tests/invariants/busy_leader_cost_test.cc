#include <algorithm>
#include <catch2/catch.hpp>
#include <optional>

#include "fakes/fake_site.h"

namespace daisyarch::fleet {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

// An urgent queue aims at 300 ms over its jobs' critical paths. With two steps,
// half of that may pass from the end of the first to the start of the second.
constexpr Duration kTarget = milliseconds(300);
constexpr Duration kMaximumStepDelay = kTarget / 2;
constexpr std::size_t kPunctualPercent = 95;
constexpr Duration kMaximumRepetition = seconds(1);

// With one run at a time, each end takes a report of its own, as on a large
// site. The jobs take 0.8 of the leader's time and a third of the workers.
constexpr int kWorkers = 600;
constexpr int kNodes = 6;
constexpr double kProcessorShare = 0.5;
constexpr int kJobs = 1600;
constexpr Duration kJobInterval = microseconds(1250);
constexpr Duration kShortestRun = milliseconds(60);
constexpr Duration kLongestRun = milliseconds(240);
constexpr Duration kCompletion = seconds(20);
const Resources kCapacity{Millicores(1000), Mebibytes(8000), Accelerators(0)};
const Resources kDemand{Millicores(1000), Mebibytes(500), Accelerators(0)};

// Of a node with half a core.
LoopCosts HalfCoreCosts() {
  LoopCosts costs;
  costs.m_turn = microseconds(5);
  costs.m_tick = microseconds(200);
  costs.m_order = microseconds(90);
  costs.m_placed_run = microseconds(60);
  costs.m_answer = microseconds(75);
  costs.m_report = microseconds(90);
  costs.m_listed_end = microseconds(10);
  costs.m_store_call = microseconds(50);
  costs.m_message = microseconds(90);
  costs.m_relayed_order = microseconds(10);
  costs.m_relayed_outcome = microseconds(25);
  return costs;
}

/// When the first step of a job ended and the second one started.
struct StepTimes {
  std::optional<TimePoint> m_ended_at;
  std::optional<TimePoint> m_next_started_at;
};

/// What the leader was told and did, as seen from outside.
struct Observation {
  std::map<JobKey, StepTimes> m_steps;
  /// When each end was first reported to a leader.
  std::map<std::pair<WorkerId, OutcomeNumber>, TimePoint> m_reported_at;
  Duration m_longest_repetition{};
  std::uint64_t m_reports = 0;
  std::uint64_t m_repeated_reports = 0;
};

JobPlan MakeUrgentJob(int number) {
  JobPlan plan;
  plan.m_key = JobKey("urgent-" + std::to_string(number));
  plan.m_queue = MakeTestRoutes().m_routes.front().m_queue;
  plan.m_queue.m_target = kTarget;
  plan.m_payload = "work";
  StepPlan step;
  step.m_demand = kDemand;
  step.m_estimate = (kShortestRun + kLongestRun) / 2;
  plan.m_steps.push_back(step);
  step.m_after = {0};
  plan.m_steps.push_back(step);
  return plan;
}

void ObserveSteps(FakeSite& site, FleetWorkerModel& worker,
                  Observation& observation) {
  worker.m_plan_run = [&site](const TaskReference&, RunNumber) {
    ModelRun run;
    run.m_ends_at = site.m_loop.m_now +
                    DelayBetween(site.m_loop, kShortestRun, kLongestRun);
    return run;
  };
  worker.m_on_end = [&site, &observation,
                     on_end = worker.m_on_end](const EndedRun& ended) {
    on_end(ended);
    if (ended.m_task.m_step != 0 || ended.m_outcome != RunOutcome::kDone)
      return;
    observation.m_steps[ended.m_task.m_job].m_ended_at = site.m_loop.m_now;
  };
  worker.m_on_start = [&site, &observation, on_start = worker.m_on_start](
                          const TaskReference& task, RunNumber run) {
    on_start(task, run);
    StepTimes& times = observation.m_steps[task.m_job];
    if (task.m_step == 1 && !times.m_next_started_at)
      times.m_next_started_at = site.m_loop.m_now;
  };
}

void RecordReport(const WorkerId& worker, const WorkerReport& report,
                  TimePoint now, Observation& observation) {
  ++observation.m_reports;
  bool has_new_end = report.m_ended.empty();
  for (const EndedRun& ended : report.m_ended) {
    const auto [entry, is_new] = observation.m_reported_at.emplace(
        std::make_pair(worker, ended.m_number), now);
    has_new_end = has_new_end || is_new;
    observation.m_longest_repetition =
        std::max(observation.m_longest_repetition, now - entry->second);
  }
  if (!has_new_end) ++observation.m_repeated_reports;
}

void ObserveReports(FakeSite& site, FakeSiteNode& node,
                    Observation& observation) {
  auto& poll = node.m_node->m_runtime.m_order_sender.m_poll;
  poll = [&site, &observation, send = poll](
             const std::string& address, const PollOrder& order,
             const std::function<void(Result<WorkerReport>)>& on_answer) {
    send(address, order,
         [&site, &observation, worker = order.m_worker,
          on_answer](Result<WorkerReport> result) {
           if (result) {
             RecordReport(worker, result.assume_value(), site.m_loop.m_now,
                          observation);
           }
           on_answer(std::move(result));
         });
  };
}

void BuildSite(FakeSite& site, Observation& observation) {
  site.m_routes = MakeTestRoutes();
  site.m_routes.m_routes.front().m_queue.m_target = kTarget;
  for (int number = 0; number < kWorkers; ++number) {
    AddSiteWorker(site, "w" + std::to_string(number), kCapacity);
  }
  for (auto& entry : site.m_workers)
    ObserveSteps(site, *entry.second, observation);
  site.m_has_relays = true;
  site.m_relay_limits = RelayLimits();
  for (int number = 0; number < kNodes; ++number) {
    FakeSiteNode& node = AddSiteNode(site, "n" + std::to_string(number));
    node.m_node->m_runtime.m_settings.m_processor_share = kProcessorShare;
  }
  for (const auto& node : site.m_nodes)
    ObserveReports(site, *node, observation);
  RunFor(site.m_loop, seconds(12));
}

// Submits the jobs one after the other to nodes that do not lead.
void SubmitJobs(FakeSite& site) {
  for (int number = 0; number < kJobs; ++number) {
    RunAfter(site.m_loop, kJobInterval * number, [&site, number] {
      const FakeSiteNode* leader = FindLeader(site);
      FakeSiteNode& first = *site.m_nodes[0];
      SubmitToSite(site, leader == &first ? *site.m_nodes[1] : first,
                   MakeUrgentJob(number));
    });
  }
}

// Returns the delay that the given percentage of the second steps keeps; the
// maximum if more of them than the others have not started.
Duration StepDelayOf(const Observation& observation, std::size_t percent) {
  constexpr std::size_t kPercent = 100;
  std::vector<Duration> delays(kJobs, Duration::max());
  std::size_t next = 0;
  for (const auto& entry : observation.m_steps) {
    const StepTimes& times = entry.second;
    if (!times.m_ended_at || !times.m_next_started_at) continue;
    delays[next++] = *times.m_next_started_at - *times.m_ended_at;
  }
  std::sort(delays.begin(), delays.end());
  return delays[(kJobs * percent + kPercent - 1) / kPercent - 1];
}

void CheckUrgentSteps(double factor) {
  FakeSite site(1);
  Observation observation;
  BuildSite(site, observation);
  for (const auto& node : site.m_nodes) {
    node->m_loop.m_costs = Scale(HalfCoreCosts(), factor);
  }
  FakeSiteNode* leader = FindLeader(site);
  REQUIRE(leader != nullptr);
  SubmitJobs(site);
  const Duration traffic = kJobInterval * kJobs;
  RunFor(site.m_loop, traffic);
  const double share = static_cast<double>(leader->m_loop.m_busy_time.count()) /
                       static_cast<double>(traffic.count());
  RunUntilTrue(site.m_loop, kCompletion, [&observation] {
    return StepDelayOf(observation, 100) < Duration::max();
  });
  INFO("factor " << factor << ", share of the leader's time " << share
                 << ", reports " << observation.m_reports << ", repeated "
                 << observation.m_repeated_reports << ", starts "
                 << site.m_starts << ", delay of steps in ms: half within "
                 << ToMilliseconds(StepDelayOf(observation, 50))
                 << ", 95 of 100 within "
                 << ToMilliseconds(StepDelayOf(observation, kPunctualPercent)));
  CHECK(ToMilliseconds(StepDelayOf(observation, kPunctualPercent)) <=
        ToMilliseconds(kMaximumStepDelay));
  CHECK(ToMilliseconds(observation.m_longest_repetition) <=
        ToMilliseconds(kMaximumRepetition));
  CHECK(site.m_violation == "");
  CHECK(site.m_repeated_task == "");
}

}  // namespace

// Each guards against urgent steps that start late although workers are free:
// the leader's loop is busy with polls, limits and ends that it knows already.
TEST_CASE("Urgent steps start in time on a leader of half a core") {
  CheckUrgentSteps(1.0);
}

TEST_CASE(
    "Urgent steps start in time on a leader that takes 1.4 times longer") {
  CheckUrgentSteps(1.4);
}

TEST_CASE("Urgent steps start in time on a leader that takes twice as long") {
  CheckUrgentSteps(2.0);
}

}  // namespace daisyarch::fleet
