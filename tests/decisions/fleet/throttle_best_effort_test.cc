#include <catch2/catch.hpp>

#include "decisions/fleet/fleet_fixture.h"

namespace daisyarch::fleet {

namespace {

const ImageId kShop("shop");
const ImageId kGrinder("grinder");
constexpr std::int64_t kTargetMs = 18;
constexpr std::int64_t kLowLatencyMs = 8;
constexpr std::int64_t kOverTargetMs = 25;
constexpr std::uint8_t kFullProgress = 100;
constexpr Duration kReportInterval = std::chrono::milliseconds(700);

// A serving task and a best-effort task on one worker.
struct SharedWorker {
  FleetFixture m_fixture;
  StartOrder m_serving;
  StartOrder m_best_effort;
};

StartOrder StartOnly(FleetFixture& fixture, const JobPlan& plan) {
  Submit(fixture, plan);
  const auto starts = TakeOrders<StartOrder>(fixture);
  REQUIRE(starts.size() == 1);
  ApplyStartOutcome(fixture.m_fleet, starts[0], StartOutcome::kStarted,
                    fixture.m_now);
  return starts[0];
}

// `headroom_loss` is what the serving task would lose if the best-effort task
// used the whole worker.
void StartSharedWorker(SharedWorker& shared, bool saves_progress,
                       double headroom_loss) {
  AddReadyWorkers(shared.m_fixture, 1, Millicores(10000));
  JobPlan serving = MakePlan("serving", 1, Millicores(4000));
  serving.m_steps.front().m_kind = StepKind::kService;
  serving.m_steps.front().m_image = kShop;
  serving.m_steps.front().m_latency_target =
      std::chrono::milliseconds(kTargetMs);
  shared.m_serving = StartOnly(shared.m_fixture, serving);
  JobPlan best_effort = MakePlan("filler", 1, Millicores(2000));
  best_effort.m_steps.front().m_processor_use = ProcessorUse::kBestEffort;
  best_effort.m_steps.front().m_image = kGrinder;
  best_effort.m_steps.front().m_saves_progress = saves_progress;
  shared.m_best_effort = StartOnly(shared.m_fixture, best_effort);
  Interference& known = shared.m_fixture.m_fleet.m_interference;
  known.m_baselines[kShop] = {2.2, 0.01};
  known.m_pairs[{kShop, kGrinder}] = {headroom_loss, 0.1};
}

// Lets the worker report this tail latency after the report interval; returns
// the orders that follow.
template <typename Order>
std::vector<Order> OrdersAfterReport(SharedWorker& shared,
                                     std::int64_t tail_latency_ms) {
  Wait(shared.m_fixture, kReportInterval);
  shared.m_fixture.m_fleet.m_orders.clear();
  ActiveRun serving = ActiveRunOf(shared.m_serving);
  serving.m_progress_percent = kFullProgress;
  serving.m_load = tail_latency_ms;
  ActiveRun best_effort = ActiveRunOf(shared.m_best_effort);
  best_effort.m_load = 1900;
  Report(shared.m_fixture, "w0", {serving, best_effort}, {});
  return TakeOrders<Order>(shared.m_fixture);
}

}  // namespace

TEST_CASE(
    "A harmful best-effort task is throttled, and its limit is raised again") {
  SharedWorker shared;
  StartSharedWorker(shared, false, 6);
  CHECK(OrdersAfterReport<ThrottleOrder>(shared, kLowLatencyMs).empty());
  auto orders = OrdersAfterReport<ThrottleOrder>(shared, kOverTargetMs);
  REQUIRE(orders.size() == 1);
  const int throttled = orders[0].m_percent;
  CHECK(throttled < 100);
  CHECK(throttled >= 60);
  orders = OrdersAfterReport<ThrottleOrder>(shared, kLowLatencyMs);
  REQUIRE(orders.size() == 1);
  CHECK(orders[0].m_percent > throttled);
}

TEST_CASE(
    "Best-effort tasks pause while a serving task stays over its target") {
  SharedWorker shared;
  StartSharedWorker(shared, false, 0.1);
  std::vector<ThrottleOrder> orders;
  for (int report = 0; report < 4; ++report) {
    const auto next = OrdersAfterReport<ThrottleOrder>(shared, kOverTargetMs);
    if (!next.empty()) orders = next;
  }
  REQUIRE(orders.size() == 1);
  CHECK(orders[0].m_percent == 0);
}

TEST_CASE(
    "A throttled task moves if it would harm the serving tasks even alone") {
  SharedWorker shared;
  SECTION("it saves its progress") {
    StartSharedWorker(shared, true, 30);
    std::size_t stops = 0;
    for (int report = 0; report < 6; ++report) {
      stops += OrdersAfterReport<StopOrder>(shared, kOverTargetMs).size();
    }
    CHECK(stops == 1);
  }
  SECTION("it would lose its progress") {
    StartSharedWorker(shared, false, 30);
    for (int report = 0; report < 6; ++report) {
      CHECK(OrdersAfterReport<StopOrder>(shared, kOverTargetMs).empty());
    }
  }
}

}  // namespace daisyarch::fleet
