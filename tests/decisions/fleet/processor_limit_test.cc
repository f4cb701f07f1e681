#include <catch2/catch.hpp>

#include "decisions/fleet/fleet_fixture.h"

namespace daisyarch::fleet {

namespace {

constexpr Duration kReportInterval = std::chrono::milliseconds(700);
const RunNumber kRunOfEarlierLeader{7};
constexpr int kReports = 15;

JobPlan MakeBestEffortPlan(const std::string& key) {
  JobPlan plan = MakePlan(key, 1, Millicores(2000));
  plan.m_steps.front().m_processor_use = ProcessorUse::kBestEffort;
  plan.m_steps.front().m_image = ImageId("grinder");
  return plan;
}

// Starts a best-effort task on the only worker.
StartOrder StartFiller(FleetFixture& fixture) {
  AddReadyWorkers(fixture, 1, Millicores(10000));
  Submit(fixture, MakeBestEffortPlan("filler"));
  const auto starts = TakeOrders<StartOrder>(fixture);
  REQUIRE(starts.size() == 1);
  ApplyStartOutcome(fixture.m_fleet, starts[0], StartOutcome::kStarted,
                    fixture.m_now);
  return starts[0];
}

// Lets the worker report the run at this processor use, and returns the orders
// that follow.
std::vector<ThrottleOrder> OrdersAfterReport(FleetFixture& fixture,
                                             ActiveRun run, std::int64_t load) {
  Wait(fixture, kReportInterval);
  fixture.m_fleet.m_orders.clear();
  run.m_load = load;
  Report(fixture, "w0", {run}, {});
  return TakeOrders<ThrottleOrder>(fixture);
}

}  // namespace

// Guards against accepted work that never ends: the limit of a task that an
// earlier leader had paused was taken as 100% and never raised.
TEST_CASE("A task that an earlier leader has paused works again") {
  FleetFixture fixture;
  AddReadyWorkers(fixture, 1, Millicores(10000));
  AddJob(fixture.m_fleet, MakeBestEffortPlan("filler"), {}, fixture.m_now);
  ActiveRun paused;
  paused.m_task.m_job = JobKey("filler");
  paused.m_run = kRunOfEarlierLeader;
  int limit = 0;
  for (int report = 0; report < kReports && limit < 100; ++report) {
    for (const auto& order : OrdersAfterReport(fixture, paused, 0)) {
      CHECK(order.m_run == kRunOfEarlierLeader);
      ConfirmLimit(fixture.m_fleet, order);
      limit = order.m_percent;
    }
  }
  CHECK(limit == 100);
}

// Guards against accepted work that never ends: a limit whose order had failed
// was taken as applied and not sent again.
TEST_CASE("A limit whose order has failed is sent again") {
  FleetFixture fixture;
  const StartOrder start = StartFiller(fixture);
  TaskOf(fixture, start.m_task).m_processor_limit_percent = 0;
  const ActiveRun run = ActiveRunOf(start);
  ThrottleOrder last;
  int failed = 0;
  // The worker refuses every order until the leader believes in no limit.
  for (int report = 0; report < kReports; ++report) {
    for (const auto& order : OrdersAfterReport(fixture, run, 0)) {
      last = order;
      ++failed;
    }
  }
  REQUIRE(failed > 0);
  CHECK(last.m_percent == 100);
  const auto repeated = OrdersAfterReport(fixture, run, 0);
  REQUIRE(repeated.size() == 1);
  CHECK(repeated[0].m_percent == 100);
  ConfirmLimit(fixture.m_fleet, repeated[0]);
  CHECK(OrdersAfterReport(fixture, run, 1900).empty());
}

TEST_CASE("An order of unknown outcome makes its task's limit unknown") {
  FleetFixture fixture;
  const StartOrder start = StartFiller(fixture);
  const ActiveRun run = ActiveRunOf(start);
  REQUIRE(OrdersAfterReport(fixture, run, 1900).empty());
  ThrottleOrder late;
  late.m_worker = start.m_worker;
  late.m_task = start.m_task;
  late.m_run = start.m_run;
  ForgetLimit(fixture.m_fleet, late);
  CHECK(OrdersAfterReport(fixture, run, 1900).size() == 1);
}

TEST_CASE("The answer to an order for another limit confirms nothing") {
  FleetFixture fixture;
  const StartOrder start = StartFiller(fixture);
  TaskOf(fixture, start.m_task).m_processor_limit_percent = 0;
  const ActiveRun run = ActiveRunOf(start);
  auto sent = OrdersAfterReport(fixture, run, 0);
  REQUIRE(sent.size() == 1);
  sent[0].m_percent = 0;
  ConfirmLimit(fixture.m_fleet, sent[0]);
  CHECK(OrdersAfterReport(fixture, run, 0).size() == 1);
}

}  // namespace daisyarch::fleet
