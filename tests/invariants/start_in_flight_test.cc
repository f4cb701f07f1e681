#include <catch2/catch.hpp>

#include "fakes/fake_site.h"
#include "fleet/leader.h"

namespace daisyarch::fleet {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const Resources kCapacity{Millicores(4000), Mebibytes(8000), Accelerators(0)};
const JobKey kFiller("job-0");
const JobKey kVictim("job-1");
constexpr Duration kFillerTime = milliseconds(1500);
constexpr Duration kOrderTimeout = milliseconds(700);
// Two changes of leaders and the report of the worker.
constexpr Duration kUntilTakenOver = seconds(8);
constexpr Duration kCut = milliseconds(5500);

/// How a leader ends whose start is in flight.
enum class LeaderEnd { kStopped, kKilled, kKilledTwice, kFrozen };

/// A start that its worker leaves unanswered.
struct StartInFlight {
  std::optional<StartOrder> m_order;
};

// Each task takes a whole worker, so that the victim's start goes to the one
// that the filler has left.
JobPlan MakePlan(int number, StepKind kind) {
  JobPlan plan = MakeTestJob(number, 1);
  plan.m_steps.resize(1);
  plan.m_steps.front().m_kind = kind;
  plan.m_steps.front().m_demand = kCapacity;
  return plan;
}

void AddWorkers(FakeSite& site) {
  for (const char* name : {"w0", "w1"}) AddSiteWorker(site, name, kCapacity);
  for (auto& entry : site.m_workers) {
    entry.second->m_plan_run = [&site](const TaskReference& task, RunNumber) {
      ModelRun run;
      run.m_ends_at = site.m_loop.m_now +
                      (task.m_job == kFiller ? kFillerTime
                                             : Duration(std::chrono::hours(1)));
      return run;
    };
  }
}

// Holds the first start of the victim back, from whichever node it comes.
void HoldFirstStart(FakeSite& site, StartInFlight& flight) {
  for (const auto& node : site.m_nodes) {
    OrderSender& orders = node->m_node->m_runtime.m_order_sender;
    orders.m_start = [&site, &flight, node = node.get(), send = orders.m_start](
                         const std::string& address, const StartOrder& order,
                         const std::function<void(StartAnswer)>& on_answer) {
      if (flight.m_order || order.m_task.m_job != kVictim) {
        return send(address, order, on_answer);
      }
      flight.m_order = order;
      RunAfter(site.m_loop, kOrderTimeout, [node, on_answer] {
        if (node->m_is_alive) on_answer(StartAnswer());
      });
    };
  }
}

void EndLeader(FakeSite& site, FakeSiteNode& leader, LeaderEnd end) {
  switch (end) {
    case LeaderEnd::kStopped:
      return StopFleetNode(*leader.m_node);
    case LeaderEnd::kKilled:
      return KillSiteNode(site, leader);
    case LeaderEnd::kKilledTwice:
      KillSiteNode(site, leader);
      REQUIRE(RunUntilTrue(site.m_loop, seconds(7),
                           [&site] { return FindLeader(site) != nullptr; }));
      return KillSiteNode(site, *FindLeader(site));
    case LeaderEnd::kFrozen:
      return SlowSiteNode(site, leader, seconds(3), seconds(3));
  }
}

// The worker's next process begins behind a cut, and carries the order out
// before any leader reaches it.
void CarryOutBehindCut(FakeSite& site, const StartOrder& order) {
  FleetWorkerModel& worker = *site.m_workers.at(order.m_worker);
  for (const auto& node : site.m_nodes) {
    node->m_unreachable_workers.insert(order.m_worker);
  }
  Crash(worker, site.m_loop.m_now);
  RunFor(site.m_loop, milliseconds(500));
  Restart(worker, site.m_loop.m_now);
  RunFor(site.m_loop, milliseconds(1500));
  CHECK(Receive(worker, order, site.m_loop.m_now) == StartOutcome::kStarted);
  RunFor(site.m_loop, kCut - milliseconds(2000));
  for (const auto& node : site.m_nodes) {
    node->m_unreachable_workers.erase(order.m_worker);
  }
}

bool IsVictimRunning(const FakeSite& site) {
  const TaskReference task{kVictim};
  return std::any_of(site.m_workers.begin(), site.m_workers.end(),
                     [&task](const auto& entry) {
                       return entry.second->m_running.count(task) > 0;
                     });
}

}  // namespace

// Guards against a second run of a task beside the one that an order of an
// earlier leader begins late: the leader ended before the order had an answer
// or had timed out, and the worker had answered the next leader.
TEST_CASE("No task whose start is in flight moves when its leader ends") {
  const LeaderEnd end = GENERATE(LeaderEnd::kStopped, LeaderEnd::kKilled,
                                 LeaderEnd::kKilledTwice, LeaderEnd::kFrozen);
  const StepKind kind = GENERATE(StepKind::kFinite, StepKind::kService);
  INFO("end " << static_cast<int>(end) << ", kind " << static_cast<int>(kind));
  FakeSite site(1);
  site.m_routes = MakeTestRoutes();
  AddWorkers(site);
  for (const char* name : {"n0", "n1", "n2", "n3"}) AddSiteNode(site, name);
  StartInFlight flight;
  HoldFirstStart(site, flight);
  RunFor(site.m_loop, seconds(12));
  SubmitToSite(site, *site.m_nodes.back(), MakePlan(0, StepKind::kFinite));
  RunFor(site.m_loop, milliseconds(200));
  SubmitToSite(site, *site.m_nodes.back(), MakePlan(1, kind));
  REQUIRE(RunUntilTrue(site.m_loop, seconds(1),
                       [&flight] { return flight.m_order.has_value(); }));
  const TimePoint sent_at = site.m_loop.m_now;
  EndLeader(site, *FindLeader(site), end);
  CHECK(RunUntilTrue(site.m_loop, kUntilTakenOver,
                     [&site] { return IsVictimRunning(site); }));
  INFO("running " << ToMilliseconds(site.m_loop.m_now - sent_at)
                  << " ms after the start was sent");
  CarryOutBehindCut(site, *flight.m_order);
  RunFor(site.m_loop, seconds(20));
  CHECK(site.m_violation == "");
  CHECK(IsVictimRunning(site));
}

// Guards against a start that leaves although no later leader could know of it.
TEST_CASE("No start leaves before the store names it") {
  FakeSite site(1);
  site.m_routes = MakeTestRoutes();
  for (const char* name : {"w0", "w1"}) {
    AddSiteWorker(site, name, kCapacity);
    site.m_workers.at(WorkerId(name))->m_plan_run =
        [&site](const TaskReference&, RunNumber) {
          ModelRun run;
          run.m_ends_at = site.m_loop.m_now + milliseconds(400);
          return run;
        };
  }
  for (const char* name : {"n0", "n1", "n2"}) AddSiteNode(site, name);
  RunFor(site.m_loop, seconds(12));
  SubmitToSite(site, *site.m_nodes.back(), MakeTestJob(0, 2));
  REQUIRE(RunUntilTrue(site.m_loop, seconds(1),
                       [&site] { return site.m_starts == 2; }));
  // The first step ends meanwhile. The claim holds for 1.5 s at least.
  site.m_faults.m_is_store_unresponsive = true;
  site.m_faults.m_store_down_until = site.m_loop.m_now + milliseconds(1600);
  RunFor(site.m_loop, milliseconds(1590));
  CHECK(site.m_starts == 2);
  CHECK(RunUntilTrue(site.m_loop, seconds(20),
                     [&site] { return FindUnfinishedJob(site).empty(); }));
  CHECK(site.m_violation == "");
}

}  // namespace daisyarch::fleet
