#include <catch2/catch.hpp>

#include "decisions/fleet/fleet_fixture.h"

namespace daisyarch::fleet {

namespace {

const ImageId kShop("shop");
const ImageId kGrinder("grinder");
constexpr std::int64_t kTargetMs = 18;
constexpr std::int64_t kQuietMs = 8;
constexpr std::int64_t kOverTargetMs = 25;
constexpr std::uint8_t kAtWork = 100;
constexpr Duration kReportInterval = std::chrono::milliseconds(700);

/// A serving task and a filler on one worker.
struct Pair {
  FleetFixture m_fixture;
  StartOrder m_serving;
  StartOrder m_filler;
};

StartOrder StartOnly(FleetFixture& fixture, const JobPlan& plan) {
  Submit(fixture, plan);
  const auto starts = TakeOrders<StartOrder>(fixture);
  REQUIRE(starts.size() == 1);
  ApplyStartOutcome(fixture.m_fleet, starts[0], StartOutcome::kStarted,
                    fixture.m_now);
  return starts[0];
}

// `taken`: the headroom that a filler on the whole worker would take.
void MakePair(Pair& pair, bool saves_progress, double taken) {
  AddReadyWorkers(pair.m_fixture, 1, Millicores(10000));
  JobPlan serving = MakePlan("serving", 1, Millicores(4000));
  serving.m_steps.front().m_kind = StepKind::kService;
  serving.m_steps.front().m_image = kShop;
  serving.m_steps.front().m_latency_target =
      std::chrono::milliseconds(kTargetMs);
  pair.m_serving = StartOnly(pair.m_fixture, serving);
  JobPlan best_effort_image = MakePlan("filler", 1, Millicores(2000));
  best_effort_image.m_steps.front().m_processor_use = ProcessorUse::kBestEffort;
  best_effort_image.m_steps.front().m_image = kGrinder;
  best_effort_image.m_steps.front().m_saves_progress = saves_progress;
  pair.m_filler = StartOnly(pair.m_fixture, best_effort_image);
  Interference& known = pair.m_fixture.m_fleet.m_interference;
  known.m_baselines[kShop] = {2.2, 0.01};
  known.m_pairs[{kShop, kGrinder}] = {taken, 0.1};
}

// The worker reports this tail a while later; what it is then ordered.
template <typename Order>
std::vector<Order> OrdersAfter(Pair& pair, std::int64_t tail_ms) {
  Wait(pair.m_fixture, kReportInterval);
  pair.m_fixture.m_fleet.m_orders.clear();
  ActiveRun serving = ActiveRunOf(pair.m_serving);
  serving.m_progress_percent = kAtWork;
  serving.m_load = tail_ms;
  ActiveRun best_effort_image = ActiveRunOf(pair.m_filler);
  best_effort_image.m_load = 1900;
  Report(pair.m_fixture, "w0", {serving, best_effort_image}, {});
  return TakeOrders<Order>(pair.m_fixture);
}

}  // namespace

TEST_CASE("A filler that harms is slowed step by step, and sped up again") {
  Pair pair;
  MakePair(pair, false, 6);
  CHECK(OrdersAfter<ThrottleOrder>(pair, kQuietMs).empty());
  auto orders = OrdersAfter<ThrottleOrder>(pair, kOverTargetMs);
  REQUIRE(orders.size() == 1);
  const int slowed = orders[0].m_percent;
  CHECK(slowed < 100);
  CHECK(slowed >= 60);
  orders = OrdersAfter<ThrottleOrder>(pair, kQuietMs);
  REQUIRE(orders.size() == 1);
  CHECK(orders[0].m_percent > slowed);
}

TEST_CASE("Every filler rests beside a task that stays over its target") {
  Pair pair;
  MakePair(pair, false, 0.1);
  std::vector<ThrottleOrder> orders;
  for (int reading = 0; reading < 4; ++reading) {
    const auto next = OrdersAfter<ThrottleOrder>(pair, kOverTargetMs);
    if (!next.empty()) orders = next;
  }
  REQUIRE(orders.size() == 1);
  CHECK(orders[0].m_percent == 0);
}

TEST_CASE("A slowed filler goes elsewhere if nothing here can bear it") {
  Pair pair;
  SECTION("it keeps its progress") {
    MakePair(pair, true, 30);
    std::size_t stops = 0;
    for (int reading = 0; reading < 6; ++reading) {
      stops += OrdersAfter<StopOrder>(pair, kOverTargetMs).size();
    }
    CHECK(stops == 1);
  }
  SECTION("it would lose its progress") {
    MakePair(pair, false, 30);
    for (int reading = 0; reading < 6; ++reading) {
      CHECK(OrdersAfter<StopOrder>(pair, kOverTargetMs).empty());
    }
  }
}

}  // namespace daisyarch::fleet
