#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>

#include "decisions/fleet/late_start.h"
#include "fakes/fake_site.h"
#include "wire/relay_fields.h"

namespace daisyarch::fleet {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const Resources kCapacity{Millicores(4000), Mebibytes(8000), Accelerators(0)};
// An order is carried out at most this long after it has left.
constexpr Duration kLongestDelay = seconds(12);
constexpr Duration kOrderTimeout = milliseconds(700);
// Short enough for the leader to keep its claim of 2 s.
constexpr Duration kLongTurn = milliseconds(1200);
constexpr Duration kMaximumStartDelay = seconds(30);

void BuildSite(FakeSite& site) {
  site.m_routes = MakeTestRoutes();
  for (const char* name : {"w0", "w1"}) {
    AddSiteWorker(site, name, kCapacity);
    site.m_workers.at(WorkerId(name))->m_plan_run =
        [&site](const TaskReference&, RunNumber) {
          ModelRun run;
          run.m_ends_at = site.m_loop.m_now + seconds(5);
          return run;
        };
  }
  AddSiteNode(site, "n0");
  if (site.m_has_relays) AddSiteNode(site, "n1");
  RunFor(site.m_loop, seconds(12));
}

void SetReachable(FakeSite& site, const WorkerId& worker, bool is_reachable) {
  for (const auto& node : site.m_nodes) {
    if (is_reachable) {
      node->m_unreachable_workers.erase(worker);
    } else {
      node->m_unreachable_workers.insert(worker);
    }
  }
}

// Lets the worker refuse starts until it ends shortly before `at`, and return
// behind a cut that lasts until shortly after it.
void RestartAround(FakeSite& site, FleetWorkerModel& worker, TimePoint at) {
  const WorkerId id = worker.m_listing.m_worker;
  const Duration delay = at - site.m_loop.m_now;
  worker.m_unhealthy_until = at;
  RunAfter(site.m_loop, delay - milliseconds(60), [&site, &worker, id] {
    SetReachable(site, id, false);
    Crash(worker, site.m_loop.m_now);
  });
  RunAfter(site.m_loop, delay - milliseconds(20),
           [&site, &worker] { Restart(worker, site.m_loop.m_now); });
  RunAfter(site.m_loop, delay + milliseconds(500),
           [&site, id] { SetReachable(site, id, true); });
}

// Sending the first start takes `turn`, so that the second one, of the same
// turn, is handed over late. It leaves after `dispatch`, gets no answer and is
// carried out as late as an order can be, by a worker that has just restarted.
void DelaySecondStart(FakeSite& site, Duration turn, Duration dispatch) {
  auto starts = std::make_shared<int>(0);
  auto turn_ended_at = std::make_shared<TimePoint>();
  for (const auto& node : site.m_nodes) {
    OrderSender& sender = node->m_node->m_runtime.m_order_sender;
    sender.m_start = [&site, turn, dispatch, starts, turn_ended_at,
                      send = sender.m_start](const std::string& address,
                                             const StartOrder& order,
                                             auto on_answer) {
      ++*starts;
      if (*starts == 1) *turn_ended_at = site.m_loop.m_now += turn;
      if (*starts != 2) return send(address, order, on_answer);
      if (!site.m_has_relays) REQUIRE(site.m_loop.m_now == *turn_ended_at);
      FleetWorkerModel& worker = *site.m_workers.at(order.m_worker);
      const Duration arrival = dispatch + kLongestDelay;
      RestartAround(site, worker, site.m_loop.m_now + arrival);
      RunAfter(site.m_loop, dispatch + kOrderTimeout,
               [on_answer] { on_answer(StartAnswer()); });
      RunAfter(site.m_loop, arrival, [&site, &worker, order] {
        static_cast<void>(Receive(worker, order, site.m_loop.m_now));
      });
    };
  }
}

std::string PlayLateStart(FakeSite& site, Duration turn, Duration dispatch) {
  BuildSite(site);
  DelaySecondStart(site, turn, dispatch);
  SubmitToSite(site, *site.m_nodes.front(), MakeTestJob(0, 2));
  RunFor(site.m_loop, seconds(60));
  const std::string unfinished = FindUnfinishedJob(site);
  return site.m_violation + site.m_repeated_task + unfinished;
}

void CheckLateStart(Duration turn, Duration dispatch) {
  INFO("turn of " << ToMilliseconds(turn) << " ms, dispatch of "
                  << ToMilliseconds(dispatch) << " ms");
  FakeSite site(1);
  CHECK(PlayLateStart(site, turn, dispatch) == "");
}

bool HasStart(const std::string& call) {
  const auto read = ReadRelayCall(call, "leader");
  if (!read) return false;
  const auto& orders = read.assume_value().m_orders;
  return std::any_of(
      orders.begin(), orders.end(), [](const RelayedOrder& relayed) {
        return std::holds_alternative<StartOrder>(relayed.m_order);
      });
}

}  // namespace

// Guards against a start that counts as sent when it was decided on, although
// the orders before it took the rest of a long turn.
TEST_CASE("A start that leaves late in a turn does not run beside another") {
  CheckLateStart(Duration(0), Duration(0));
  CheckLateStart(milliseconds(400), Duration(0));
  CheckLateStart(kLongTurn, Duration(0));
}

// Guards against a start that counts as sent when it was handed to a relay or
// to a connection that was still to be made.
TEST_CASE("A start that waits for its connection does not run beside another") {
  CheckLateStart(Duration(0), kMaximumDispatchTime);
  CheckLateStart(kLongTurn, kMaximumDispatchTime);
}

// Guards against the same at a relay, which sends what is not too old.
TEST_CASE("A relayed start that leaves late does not run beside another") {
  const Duration turn = GENERATE(Duration(0), Duration(milliseconds(400)),
                                 Duration(milliseconds(600)));
  INFO("turn of " << ToMilliseconds(turn) << " ms");
  FakeSite site(1);
  site.m_has_relays = true;
  CHECK(PlayLateStart(site, turn, kMaximumConnectTime) == "");
}

// Guards against a start that is late before it leaves: the next leader may
// have learned what runs.
TEST_CASE("No start leaves after the claim has ended in a long turn") {
  FakeSite site(1);
  BuildSite(site);
  std::size_t late_starts = 0;
  OrderSender& sender = site.m_nodes.front()->m_node->m_runtime.m_order_sender;
  sender.m_start = [&site, &late_starts, turn_ended_at = TimePoint::max(),
                    send = sender.m_start](const std::string& address,
                                           const StartOrder& order,
                                           auto on_answer) mutable {
    if (turn_ended_at == TimePoint::max()) {
      site.m_loop.m_now += seconds(3);
      turn_ended_at = site.m_loop.m_now;
    } else if (site.m_loop.m_now == turn_ended_at) {
      ++late_starts;
    }
    send(address, order, on_answer);
  };
  SubmitToSite(site, *site.m_nodes.front(), MakeTestJob(0, 3));
  CHECK(RunUntilTrue(site.m_loop, kMaximumStartDelay,
                     [&site] { return FindUnfinishedJob(site).empty(); }));
  CHECK(late_starts == 0);
}

// The same for starts that wait for the call of their relay.
TEST_CASE("No relayed start leaves after the claim has ended in a long turn") {
  FakeSite site(1);
  site.m_has_relays = true;
  site.m_routes = MakeTestRoutes();
  const Resources one_core{Millicores(1000), Mebibytes(8000), Accelerators(0)};
  for (const char* name : {"w0", "w1", "w2", "w3", "w4", "w5"}) {
    AddSiteWorker(site, name, one_core);
  }
  for (const char* name : {"n0", "n1", "n2"}) AddSiteNode(site, name);
  RunFor(site.m_loop, seconds(12));
  TimePoint turn_ended_at = TimePoint::max();
  std::size_t late_starts = 0;
  for (const auto& node : site.m_nodes) {
    RelayCaller& caller = node->m_node->m_runtime.m_call_relay;
    caller = [&, send = caller](const std::string& address,
                                const std::string& call, Duration timeout,
                                auto on_answer) {
      if (!HasStart(call)) return send(address, call, timeout, on_answer);
      if (turn_ended_at == TimePoint::max()) {
        site.m_loop.m_now += seconds(3);
        turn_ended_at = site.m_loop.m_now;
      } else if (site.m_loop.m_now == turn_ended_at) {
        ++late_starts;
      }
      send(address, call, timeout, on_answer);
    };
  }
  SubmitToSite(site, *site.m_nodes.front(), MakeTestJob(0, 6));
  CHECK(RunUntilTrue(site.m_loop, kMaximumStartDelay,
                     [&site] { return FindUnfinishedJob(site).empty(); }));
  CHECK(turn_ended_at != TimePoint::max());
  CHECK(late_starts == 0);
}

}  // namespace daisyarch::fleet
