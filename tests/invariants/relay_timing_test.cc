#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <memory>

#include "decisions/fleet/late_start.h"
#include "decisions/fleet/relay.h"
#include "fakes/fake_site.h"
#include "fakes/fake_site_links.h"
#include "fleet/leader.h"
#include "wire/relay_fields.h"

namespace daisyarch::fleet {

namespace {

constexpr Duration kSecond = std::chrono::seconds(1);
const Resources kCapacity{Millicores(4000), Mebibytes(8000), Accelerators(0)};
using AnswerCallback = std::function<void(Result<std::string>)>;

void BuildSite(FakeSite& site, bool has_relays = true) {
  site.m_has_relays = has_relays;
  site.m_routes = MakeTestRoutes();
  for (int number = 0; number < 4; ++number) {
    AddSiteWorker(site, "w" + std::to_string(number), kCapacity);
  }
  for (int number = 0; number < 4; ++number) {
    AddSiteNode(site, "n" + std::to_string(number));
  }
  RunFor(site.m_loop, 12 * kSecond);
}

// Returns the nodes that serve workers for the leader.
std::vector<FakeSiteNode*> FindRelays(FakeSite& site,
                                      const FakeSiteNode& leader) {
  std::vector<FakeSiteNode*> relays;
  for (const auto& [name, link] : leader.m_node->m_leader->m_relays.m_links) {
    if (link.m_state != RelayLinkState::kServing) continue;
    for (const auto& node : site.m_nodes) {
      const bool is_relay = node->m_is_alive && NodeId(node->m_name) == name;
      if (is_relay) relays.push_back(node.get());
    }
  }
  return relays;
}

// Lets runs go on for a minute, and counts how they end.
std::shared_ptr<std::map<RunOutcome, int>> RunLongTasks(FakeSite& site) {
  auto ends = std::make_shared<std::map<RunOutcome, int>>();
  for (auto& entry : site.m_workers) {
    FleetWorkerModel& worker = *entry.second;
    worker.m_plan_run = [&site](const TaskReference&, RunNumber) {
      ModelRun run;
      run.m_ends_at = site.m_loop.m_now + 60 * kSecond;
      return run;
    };
    worker.m_on_end = [ends, on_end = worker.m_on_end](const EndedRun& ended) {
      ++(*ends)[ended.m_outcome];
      on_end(ended);
    };
  }
  return ends;
}

// Holds back the calls of a paused process until it goes on.
struct Pause {
  FakeSite& m_site;
  TimePoint m_until{};
};

template <typename... Arguments>
std::function<void(Arguments...)> HoldBack(
    const std::shared_ptr<Pause>& pause,
    std::function<void(Arguments...)> call) {
  return [pause, call](Arguments... arguments) {
    const Duration left = pause->m_until - pause->m_site.m_loop.m_now;
    if (left <= Duration{}) return call(arguments...);
    RunAfter(pause->m_site.m_loop, left,
             [call, arguments...] { call(arguments...); });
  };
}

}  // namespace

// Fault: bad bytes from a peer end the leader's process.
TEST_CASE("A failed poll as a start's outcome does not end the leader") {
  FakeSite site(1);
  BuildSite(site);
  FakeSiteNode* leader = FindLeader(site);
  REQUIRE(leader != nullptr);
  REQUIRE_FALSE(FindRelays(site, *leader).empty());
  RelayCaller& caller = leader->m_node->m_runtime.m_call_relay;
  int changed = 0;
  caller = [&changed, call = caller](const std::string& address,
                                     std::string bytes, Duration timeout,
                                     AnswerCallback on_answer) {
    call(address, std::move(bytes), timeout,
         [&changed, on_answer](Result<std::string> answer) {
           if (!answer) return on_answer(std::move(answer));
           auto read = ReadRelayAnswer(answer.assume_value(), "relay");
           RelayAnswer message = std::move(read).assume_value();
           for (RelayedOutcome& outcome : message.m_outcomes) {
             if (!std::holds_alternative<StartAnswer>(outcome.m_outcome)) {
               continue;
             }
             ++changed;
             outcome.m_outcome =
                 OrderOutcome(std::in_place_type<Result<WorkerReport>>,
                              Error{ErrorCode::kUnavailable, "", "", ""});
           }
           on_answer(WriteRelayAnswer(message));
         });
  };
  SubmitToSite(site, *site.m_nodes[0], MakeTestJob(0, 6));
  CHECK_NOTHROW(RunFor(site.m_loop, kSecond));
  CHECK(changed > 0);
}

// Fault: a machine that comes back at its address counts its clock from 0, so
// every order of the old life seems to come from the future.
TEST_CASE("An order dated after the relay's clock is not recent") {
  CHECK_FALSE(IsRecentOrder(RelayMicroseconds(900'000'000),
                            RelayMicroseconds(5'000'000)));
}

// The same at the leader: it keeps the old life's clock as long as the session
// lives, because the new one is lower.
TEST_CASE("A leader follows a relay's clock that begins anew") {
  FakeSite site(1);
  BuildSite(site);
  FakeSiteNode* leader = FindLeader(site);
  REQUIRE(leader != nullptr);
  REQUIRE_FALSE(FindRelays(site, *leader).empty());
  const TimePoint restarted_at = site.m_loop.m_now;
  RelayMicroseconds latest_date;
  RelayCaller& caller = leader->m_node->m_runtime.m_call_relay;
  caller = [&site, &latest_date, restarted_at, call = caller](
               const std::string& address, std::string bytes, Duration timeout,
               AnswerCallback on_answer) {
    latest_date = ReadRelayCall(bytes, "leader").assume_value().m_sent_at;
    call(address, std::move(bytes), timeout,
         [&site, restarted_at, on_answer](Result<std::string> answer) {
           if (!answer) return on_answer(std::move(answer));
           RelayAnswer message =
               ReadRelayAnswer(answer.assume_value(), "relay").assume_value();
           message.m_clock = RelayMicroseconds(
               (site.m_loop.m_now - restarted_at).count() + 1);
           on_answer(WriteRelayAnswer(message));
         });
  };
  // The link is lost, and is opened again after 3 s.
  RunFor(site.m_loop, 5 * kSecond);
  CHECK(latest_date <=
        RelayMicroseconds((site.m_loop.m_now - restarted_at).count() + 1));
}

// TWICE: a start may leave the relay as late as the maximum age after its
// leader sent it, and only then begins the time that a worker may hold it.
TEST_CASE("A late start is awaited as long as a relay may delay it") {
  const FleetLimits limits;
  Task task;
  task.m_state = RunState::kStarting;
  task.m_start_confirmation = StartConfirmation::kPending;
  task.m_start_sent_at = TimePoint(1000 * kSecond);
  CHECK(LateStartUntil(limits, task) >= task.m_start_sent_at +
                                            kMaximumRelayedOrderAge +
                                            limits.m_longest_order_delay);
}

// DRAIN: the relay is in touch although the leader, whose listing is old, is
// not. From the worker's announcement to the start at most 2 s may pass.
TEST_CASE("Age of the listing and of the order fit the notice") {
  FakeSite site(1);
  BuildSite(site);
  FakeSiteNode* leader = FindLeader(site);
  REQUIRE(leader != nullptr);
  const FleetNode& node = *leader->m_node;
  const Duration notice = node.m_runtime.m_settings.m_leaving_grace_period;
  const Duration maximum =
      node.m_leader->m_fleet.m_limits.m_maximum_listing_age;
  CHECK(MayRelayStart(maximum, std::chrono::milliseconds(300)));
  for (Duration age{}; age <= notice; age += std::chrono::milliseconds(10)) {
    if (!MayRelayStart(maximum, age)) continue;
    REQUIRE(age + kMaximumRelayedOrderAge <= notice);
  }
}

// DRAIN, UNASKED, TWICE: a leader that is frozen between a decision and the
// dating of its call dates the order after the freeze. A relay that is in touch
// then carries it out.
TEST_CASE("An order decided before a pause is not carried out") {
  constexpr Duration kPause = std::chrono::milliseconds(1700);
  FakeSite site(1);
  BuildSite(site);
  FakeSiteNode* leader = FindLeader(site);
  REQUIRE(leader != nullptr);
  const auto relays = FindRelays(site, *leader);
  REQUIRE_FALSE(relays.empty());
  auto pause = std::make_shared<Pause>(Pause{site});
  FleetRuntime& runtime = leader->m_node->m_runtime;
  runtime.m_clock.m_now = [&site, pause] {
    return std::max(site.m_loop.m_now, pause->m_until);
  };
  runtime.m_call_relay = HoldBack(pause, runtime.m_call_relay);
  runtime.m_order_sender.m_start =
      HoldBack(pause, runtime.m_order_sender.m_start);
  Leader& state = *leader->m_node->m_leader;
  TimePoint paused_at{};
  state.m_may_start_runs = [&, may_start = state.m_may_start_runs] {
    const bool may = may_start();
    if (may && paused_at == TimePoint() &&
        HasSteps(state.m_fleet.m_waiting_reserved)) {
      paused_at = site.m_loop.m_now;
      pause->m_until = paused_at + kPause;
      SlowSiteNode(site, *leader, kPause, kPause);
    }
    return may;
  };
  int late_starts = 0;
  for (FakeSiteNode* relay : relays) {
    auto& start = relay->m_node->m_runtime.m_order_sender.m_start;
    start = [&, start](const std::string& address, const StartOrder& order,
                       std::function<void(StartAnswer)> on_answer) {
      if (site.m_loop.m_now - paused_at > kMaximumRelayedOrderAge) {
        ++late_starts;
      }
      start(address, order, std::move(on_answer));
    };
  }
  SubmitToSite(site, *site.m_nodes[0], MakeTestJob(0, 6));
  RunFor(site.m_loop, kSecond);
  REQUIRE(paused_at != TimePoint());
  RunUntil(site.m_loop, paused_at + kPause + std::chrono::milliseconds(300));
  CHECK(late_starts == 0);
}

// The same with a leader that is frozen between dating and sending.
TEST_CASE("A leader that is paused between dating and sending") {
  for (std::uint64_t seed = 1; seed <= 12; ++seed) {
    INFO("seed " << seed);
    FakeSite site(seed);
    BuildSite(site);
    std::map<FakeSiteNode*, std::shared_ptr<Pause>> pauses;
    for (const auto& node : site.m_nodes) {
      auto pause = std::make_shared<Pause>(Pause{site});
      FleetRuntime& runtime = node->m_node->m_runtime;
      OrderSender& orders = runtime.m_order_sender;
      orders.m_start = HoldBack(pause, orders.m_start);
      orders.m_stop = HoldBack(pause, orders.m_stop);
      orders.m_poll = HoldBack(pause, orders.m_poll);
      runtime.m_call_relay = HoldBack(pause, runtime.m_call_relay);
      Store& store = runtime.m_store;
      store.m_commit = HoldBack(pause, store.m_commit);
      store.m_renew_lease = HoldBack(pause, store.m_renew_lease);
      store.m_read = HoldBack(pause, store.m_read);
      pauses[node.get()] = pause;
    }
    for (int number = 0; number < 12; ++number) {
      SubmitToSite(site, *site.m_nodes[0], MakeTestJob(number, 6));
      RunFor(site.m_loop, std::chrono::milliseconds(40));
    }
    for (int repeat = 0; repeat < 3; ++repeat) {
      FakeSiteNode* leader = FindLeader(site);
      if (leader == nullptr) continue;
      // The relay in the last turn of the loop, the leader in the others.
      const auto relays = FindRelays(site, *leader);
      FakeSiteNode* paused =
          repeat == 2 && !relays.empty() ? relays.front() : leader;
      const Duration duration = DelayBetween(site.m_loop, kSecond, 8 * kSecond);
      pauses.at(paused)->m_until = site.m_loop.m_now + duration;
      RunFor(site.m_loop, std::chrono::milliseconds(150));
      SlowSiteNode(site, *paused, duration, duration);
      RunFor(site.m_loop, duration + kSecond);
    }
    const bool has_ended = RunUntilTrue(site.m_loop, 40 * kSecond, [&site] {
      return FindUnfinishedJob(site).empty() || !site.m_violation.empty();
    });
    INFO(site.m_violation << site.m_repeated_task << FindUnfinishedJob(site));
    CHECK(has_ended);
    CHECK(site.m_violation.empty());
    CHECK(site.m_repeated_task.empty());
  }
}

// AVAIL: a relay that answers but does not reach its workers, one that is cut
// off, and one that is killed cost no run its lease.
TEST_CASE("A faulty relay costs no run its lease") {
  const int fault = GENERATE(0, 1, 2, 3);
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    INFO("fault " << fault << " seed " << seed);
    FakeSite site(seed);
    BuildSite(site);
    const auto ends = RunLongTasks(site);
    SubmitToSite(site, *site.m_nodes[0], MakeTestJob(0, 12));
    RunFor(site.m_loop, 3 * kSecond);
    FakeSiteNode* leader = FindLeader(site);
    REQUIRE(leader != nullptr);
    const auto relays = FindRelays(site, *leader);
    REQUIRE_FALSE(relays.empty());
    for (FakeSiteNode* relay : relays) {
      if (fault == 0) {
        for (const auto& entry : site.m_workers) {
          relay->m_unreachable_workers.insert(entry.first);
        }
      } else if (fault == 1) {
        relay->m_nodes_unreachable_until = site.m_loop.m_now + 5 * kSecond;
      } else if (fault == 2) {
        KillSiteNode(site, *relay);
      } else {
        SlowSiteNode(site, *relay, 3 * kSecond, 3 * kSecond);
      }
    }
    RunFor(site.m_loop, 12 * kSecond);
    CHECK((*ends)[RunOutcome::kLapsed] == 0);
    CHECK((*ends)[RunOutcome::kStopped] == 0);
    CHECK(site.m_violation.empty());
  }
}

// AVAIL: a relay that answers its calls, but tells no outcomes for a time.
TEST_CASE("A relay that loses outcomes costs no run its lease") {
  FakeSite site(1);
  BuildSite(site);
  const auto ends = RunLongTasks(site);
  SubmitToSite(site, *site.m_nodes[0], MakeTestJob(0, 12));
  RunFor(site.m_loop, 3 * kSecond);
  FakeSiteNode* leader = FindLeader(site);
  REQUIRE(leader != nullptr);
  const auto relays = FindRelays(site, *leader);
  REQUIRE_FALSE(relays.empty());
  for (FakeSiteNode* relay : relays) {
    relay->m_node->m_runtime.m_order_sender.m_poll =
        [](const std::string&, const PollOrder&,
           const std::function<void(Result<WorkerReport>)>&) {};
  }
  RunFor(site.m_loop, 12 * kSecond);
  CHECK((*ends)[RunOutcome::kLapsed] == 0);
}

// LOST, SHORT: the answer's delay at a late leader adds to the age of each
// order, although the relay's clock is known better from earlier answers.
TEST_CASE("Late loops do not make relays refuse every order") {
  const bool has_relays = GENERATE(false, true);
  INFO("relays " << has_relays);
  FakeSite site(1);
  BuildSite(site, has_relays);
  FakeSiteNode* leader = FindLeader(site);
  REQUIRE(leader != nullptr);
  for (const auto& node : site.m_nodes) {
    const bool is_leader = node.get() == leader;
    SlowSiteNode(site, *node, std::chrono::milliseconds(is_leader ? 300 : 250),
                 20 * kSecond);
  }
  RunFor(site.m_loop, 2 * kSecond);
  int refused = 0;
  int carried_out = 0;
  RelayCaller& caller = leader->m_node->m_runtime.m_call_relay;
  if (has_relays) {
    caller = [&, call = caller](const std::string& address, std::string bytes,
                                Duration timeout, AnswerCallback on_answer) {
      call(address, std::move(bytes), timeout,
           [&, on_answer](Result<std::string> answer) {
             if (answer) {
               const RelayAnswer message =
                   ReadRelayAnswer(answer.assume_value(), "").assume_value();
               for (const RelayedOutcome& outcome : message.m_outcomes) {
                 const auto* start =
                     std::get_if<StartAnswer>(&outcome.m_outcome);
                 if (start == nullptr) continue;
                 ++(start->m_outcome == StartOutcome::kRefused ? refused
                                                               : carried_out);
               }
             }
             on_answer(std::move(answer));
           });
    };
  }
  for (int number = 0; number < 4; ++number) {
    SubmitToSite(site, *leader, MakeTestJob(number, 4));
  }
  RunFor(site.m_loop, 15 * kSecond);
  INFO("refused " << refused << " carried out " << carried_out << " starts "
                  << site.m_starts << " unfinished "
                  << FindUnfinishedJob(site));
  CHECK(refused == 0);
  CHECK(FindUnfinishedJob(site).empty());
}

// SHORT: a relay that is lost is chosen again as soon as its wait is over, and
// the one that has replaced it is released before the first has answered.
TEST_CASE("A lost relay does not displace the one that replaced it") {
  FakeSite site(1);
  BuildSite(site);
  FakeSiteNode* leader = FindLeader(site);
  REQUIRE(leader != nullptr);
  const auto relays = FindRelays(site, *leader);
  REQUIRE(relays.size() == 2);
  // Its registration stays in the store.
  relays.front()->m_nodes_unreachable_until = site.m_loop.m_now + 60 * kSecond;
  RunFor(site.m_loop, 2 * kSecond);
  CHECK(FindRelays(site, *leader).size() == 2);
  int samples_without = 0;
  for (int sample = 0; sample < 200; ++sample) {
    RunFor(site.m_loop, std::chrono::milliseconds(50));
    if (FindRelays(site, *leader).size() < 2) ++samples_without;
  }
  CHECK(samples_without == 0);
}

// SHORT: one lost call within the time of a poll is no reason to give up all
// orders at a relay.
TEST_CASE("A leader that is 0.8 s late once keeps its relays") {
  FakeSite site(1);
  BuildSite(site);
  FakeSiteNode* leader = FindLeader(site);
  REQUIRE(leader != nullptr);
  const auto ends = RunLongTasks(site);
  SubmitToSite(site, *leader, MakeTestJob(0, 12));
  RunFor(site.m_loop, 3 * kSecond);
  REQUIRE(FindRelays(site, *leader).size() == 2);
  SlowSiteNode(site, *leader, std::chrono::milliseconds(800),
               std::chrono::milliseconds(800));
  RunFor(site.m_loop, 2 * kSecond);
  CHECK(FindRelays(site, *leader).size() == 2);
}

}  // namespace daisyarch::fleet
