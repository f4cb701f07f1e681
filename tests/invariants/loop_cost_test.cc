#include "fakes/loop_cost.h"

#include <catch2/catch.hpp>
#include <vector>

#include "fakes/charged_links.h"

namespace daisyarch::fleet {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

LoopCosts CostOfTurn(Duration cost) {
  LoopCosts costs;
  costs.m_turn = cost;
  return costs;
}

}  // namespace

TEST_CASE(
    "A charged loop handles events one by one in the order of due times") {
  FakeLoop loop(1);
  ChargedLoop charged;
  charged.m_costs = CostOfTurn(milliseconds(10));
  const TimePoint start = loop.m_now;
  std::vector<std::pair<int, Duration>> handled;
  for (const int due : {0, 3, 1}) {
    HandleInTurn(loop, charged, start + milliseconds(due),
                 [&handled, &loop, start, due] {
                   handled.emplace_back(due, loop.m_now - start);
                 });
  }
  RunFor(loop, seconds(1));
  const std::vector<std::pair<int, Duration>> expected = {
      {0, milliseconds(0)}, {1, milliseconds(10)}, {3, milliseconds(20)}};
  CHECK(handled == expected);
  CHECK(charged.m_busy_time == milliseconds(30));
}

TEST_CASE("A call leaves a charged loop when the loop has paid for it") {
  FakeLoop loop(1);
  ChargedLoop charged;
  charged.m_costs.m_order = milliseconds(4);
  const TimePoint start = loop.m_now;
  Duration sent_after{};
  Charge(loop, charged, &LoopCosts::m_order, 2);
  RunWhenDone(loop, charged, [&] { sent_after = loop.m_now - start; });
  CHECK(TimeAt(loop, charged) == start + milliseconds(8));
  RunFor(loop, seconds(1));
  CHECK(sent_after == milliseconds(8));
}

TEST_CASE("A node that is busy past a call's timeout takes it as unanswered") {
  for (const Duration cost : {milliseconds(0), milliseconds(2000)}) {
    FakeSite site(1);
    site.m_routes = MakeTestRoutes();
    FakeSiteNode& node = AddSiteNode(site, "n0");
    RunFor(site.m_loop, seconds(1));
    bool has_answer = false;
    bool is_answered = false;
    node.m_node->m_runtime.m_store.m_read(
        "key", ReadFreshness::kCurrent,
        [&](const Result<std::optional<StoredItem>>& result) {
          has_answer = true;
          is_answered = result.has_value();
        });
    node.m_loop.m_costs.m_tick = cost;
    Charge(site.m_loop, node.m_loop, &LoopCosts::m_tick);
    node.m_loop.m_costs.m_tick = Duration{};
    RunFor(site.m_loop, seconds(3));
    CHECK(has_answer);
    CHECK(is_answered == (cost == Duration{}));
  }
}

TEST_CASE("A message charges the nodes at both of its ends") {
  FakeSite site(1);
  site.m_routes = MakeTestRoutes();
  FakeSiteNode& from = AddSiteNode(site, "n0");
  FakeSiteNode& to = AddSiteNode(site, "n1");
  from.m_loop.m_costs.m_message = to.m_loop.m_costs.m_message = milliseconds(7);
  bool is_handled = false;
  SendToNode(site, from, to, [&is_handled] { is_handled = true; });
  RunFor(site.m_loop, seconds(1));
  CHECK(is_handled);
  CHECK(from.m_loop.m_busy_time == milliseconds(7));
  CHECK(to.m_loop.m_busy_time == milliseconds(7));
  KillSiteNode(site, to);
  is_handled = false;
  SendToNode(site, from, to, [&is_handled] { is_handled = true; });
  RunFor(site.m_loop, seconds(1));
  CHECK_FALSE(is_handled);
}

}  // namespace daisyarch::fleet
