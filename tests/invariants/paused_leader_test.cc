#include <catch2/catch.hpp>

#include "fakes/fake_site.h"
#include "fleet/leader.h"

namespace daisyarch::fleet {

namespace {

constexpr std::uint64_t kSeedsInCi = 12;
// Longer than the leadership claim, so that another node leads meanwhile.
constexpr Duration kShortestPause = std::chrono::milliseconds(2500);
constexpr Duration kLongestPause = std::chrono::milliseconds(8000);
constexpr Duration kLastTurn = std::chrono::milliseconds(150);
constexpr Duration kMaximumRunTime = std::chrono::seconds(40);
const Resources kCapacity{Millicores(4000), Mebibytes(8000), Accelerators(0)};

/// Holds back the calls of a paused process until it goes on.
struct Pause {
  FakeSite& m_site;
  TimePoint m_until{};
};

using PausePointer = std::shared_ptr<Pause>;

// Returns the function, which is called at once, or after the pause.
template <typename... Arguments>
std::function<void(Arguments...)> HoldBack(
    const PausePointer& pause, std::function<void(Arguments...)> call) {
  return [pause, call](Arguments... arguments) {
    const Duration left = pause->m_until - pause->m_site.m_loop.m_now;
    if (left <= Duration{}) return call(arguments...);
    RunAfter(pause->m_site.m_loop, left,
             [call, arguments...] { call(arguments...); });
  };
}

// What the process has decided to do when it is paused is done after the pause:
// every order, every write and every renewal.
PausePointer AddPause(FakeSite& site, FakeSiteNode& node) {
  auto pause = std::make_shared<Pause>(Pause{site});
  FleetRuntime& runtime = node.m_node->m_runtime;
  OrderSender& orders = runtime.m_order_sender;
  orders.m_start = HoldBack(pause, orders.m_start);
  orders.m_stop = HoldBack(pause, orders.m_stop);
  orders.m_throttle = HoldBack(pause, orders.m_throttle);
  orders.m_poll = HoldBack(pause, orders.m_poll);
  Store& store = runtime.m_store;
  store.m_commit = HoldBack(pause, store.m_commit);
  store.m_renew_lease = HoldBack(pause, store.m_renew_lease);
  store.m_read = HoldBack(pause, store.m_read);
  return pause;
}

void BuildSite(FakeSite& site) {
  site.m_routes = MakeTestRoutes();
  for (int number = 0; number < 4; ++number) {
    AddSiteWorker(site, "w" + std::to_string(number), kCapacity);
  }
  for (int number = 0; number < 3; ++number) {
    AddSiteNode(site, "n" + std::to_string(number));
  }
}

}  // namespace

// Guards against a process that acts on a permission which has run out while it
// was paused: between the check of its claim and each order and write that the
// claim permits.
TEST_CASE("A leader that is paused in the middle of its work does no harm") {
  const std::uint64_t first = FirstSeed();
  const std::uint64_t count = SeedCount(kSeedsInCi);
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    INFO("seed " << seed);
    FakeSite site(seed);
    BuildSite(site);
    std::map<FakeSiteNode*, PausePointer> pauses;
    for (const auto& node : site.m_nodes) {
      pauses[node.get()] = AddPause(site, *node);
    }
    RunFor(site.m_loop, std::chrono::seconds(12));
    for (int number = 0; number < 12; ++number) {
      SubmitToSite(site, *site.m_nodes[0], MakeTestJob(number, 6));
      RunFor(site.m_loop, std::chrono::milliseconds(40));
    }
    for (int repeat = 0; repeat < 2; ++repeat) {
      FakeSiteNode* leader = FindLeader(site);
      if (leader == nullptr) continue;
      const Duration pause =
          DelayBetween(site.m_loop, kShortestPause, kLongestPause);
      pauses.at(leader)->m_until = site.m_loop.m_now + pause;
      // It still takes the decisions of the turn in which it is paused.
      RunFor(site.m_loop, kLastTurn);
      SlowSiteNode(site, *leader, pause, pause);
      RunFor(site.m_loop, pause + std::chrono::seconds(1));
    }
    const bool has_ended = RunUntilTrue(site.m_loop, kMaximumRunTime, [&site] {
      return FindUnfinishedJob(site).empty() || !site.m_violation.empty();
    });
    INFO(site.m_violation << site.m_repeated_task << FindUnfinishedJob(site));
    CHECK(has_ended);
    CHECK(site.m_violation.empty());
    CHECK(site.m_repeated_task.empty());
  }
}

}  // namespace daisyarch::fleet
