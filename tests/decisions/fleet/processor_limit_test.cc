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
TEST_CASE("A task that an earlier leader has paused works again",
          "[!shouldfail]") {
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
      limit = order.m_percent;
    }
  }
  CHECK(limit == 100);
}

}  // namespace daisyarch::fleet
