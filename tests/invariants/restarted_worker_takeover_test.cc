#include <catch2/catch.hpp>

#include "decisions/fleet/fencing.h"
#include "fakes/fake_site.h"

namespace daisyarch::fleet {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kSeedsInCi = 20;
constexpr int kWorkers = 5;
constexpr int kJobs = 40;
constexpr int kFaultCount = 12;
constexpr Duration kFaults = seconds(40);
// An order may arrive 12 s late and then hold a lease of 10 s; after that the
// jobs wait for an isolated leader, its claim and the runs that it started.
constexpr Duration kCompletion = seconds(12 + 10 + 6 + 2 + 9 + 20);
const Resources kCapacity{Millicores(4000), Mebibytes(8000), Accelerators(0)};

FleetWorkerModel& PickWorker(FakeSite& site) {
  const Duration index =
      DelayBetween(site.m_loop, Duration(0), Duration(kWorkers - 1));
  return *std::next(site.m_workers.begin(), index.count())->second;
}

// Ends a worker's process. The platform lists it no more from three heartbeat
// intervals later until it starts again under its id.
void RestartDelisted(FakeSite& site) {
  FleetWorkerModel& worker = PickWorker(site);
  if (!worker.m_is_up) return;
  const WorkerId id = worker.m_listing.m_worker;
  const Duration down = DelayBetween(site.m_loop, milliseconds(50), seconds(9));
  const Duration silence = milliseconds(4500);
  Crash(worker, site.m_loop.m_now);
  if (down > silence) {
    RunAfter(site.m_loop, silence,
             [&site, id] { site.m_unlisted_workers.insert(id); });
  }
  RunAfter(site.m_loop, down, [&site, &worker, id] {
    Restart(worker, site.m_loop.m_now);
    site.m_unlisted_workers.erase(id);
  });
}

// Cuts a worker off from all nodes.
void CutWorker(FakeSite& site) {
  const WorkerId id = PickWorker(site).m_listing.m_worker;
  const Duration cut = DelayBetween(site.m_loop, milliseconds(50), seconds(9));
  for (const auto& node : site.m_nodes) node->m_unreachable_workers.insert(id);
  RunAfter(site.m_loop, cut, [&site, id] {
    for (const auto& node : site.m_nodes) node->m_unreachable_workers.erase(id);
  });
}

void KillLeader(FakeSite& site) {
  FakeSiteNode* leader = FindLeader(site);
  if (leader == nullptr) return;
  const std::string name = leader->m_name;
  KillSiteNode(site, *leader);
  RunAfter(site.m_loop, seconds(1), [&site, name] { AddSiteNode(site, name); });
}

void DisconnectLeaderFromStore(FakeSite& site) {
  FakeSiteNode* leader = FindLeader(site);
  if (leader == nullptr) return;
  leader->m_store_unreachable_until =
      site.m_loop.m_now + DelayBetween(site.m_loop, seconds(1), seconds(7));
}

void SlowLeader(FakeSite& site) {
  FakeSiteNode* leader = FindLeader(site);
  if (leader == nullptr) return;
  SlowSiteNode(site, *leader,
               DelayBetween(site.m_loop, milliseconds(100), seconds(4)),
               DelayBetween(site.m_loop, seconds(1), seconds(5)));
}

void InjectFault(FakeSite& site, int number) {
  switch (number % 6) {
    case 0:
    case 1:
      return RestartDelisted(site);
    case 2:
      return CutWorker(site);
    case 3:
      return KillLeader(site);
    case 4:
      return DisconnectLeaderFromStore(site);
    default:
      return SlowLeader(site);
  }
}

std::string PlayDay(FakeSite& site, bool do_orders_outlast_restarts) {
  site.m_routes = MakeTestRoutes();
  for (int number = 0; number < kWorkers; ++number) {
    AddSiteWorker(site, "w" + std::to_string(number), kCapacity);
  }
  for (int number = 0; number < 3; ++number) {
    AddSiteNode(site, "n" + std::to_string(number));
  }
  RunFor(site.m_loop, seconds(12));
  for (int number = 0; number < kJobs; ++number) {
    RunAfter(site.m_loop, DelayBetween(site.m_loop, Duration{}, kFaults),
             [&site, number] {
               for (const auto& node : site.m_nodes) {
                 if (!node->m_is_alive) continue;
                 return SubmitToSite(site, *node,
                                     MakeTestJob(number, 1 + number % 6));
               }
             });
  }
  for (int number = 0; number < kFaultCount; ++number) {
    RunAfter(site.m_loop, DelayBetween(site.m_loop, Duration{}, kFaults),
             [&site, number] { InjectFault(site, number); });
  }
  site.m_faults.m_do_orders_outlast_restarts = do_orders_outlast_restarts;
  site.m_faults.m_late_order_probability = 0.1;
  site.m_faults.m_order_answer_loss_probability = 0.05;
  site.m_faults.m_answer_loss_probability = 0.03;
  site.m_faults.m_late_effect_probability = 0.02;
  RunFor(site.m_loop, kFaults);
  site.m_faults = SiteFaults();
  site.m_faults.m_do_orders_outlast_restarts = do_orders_outlast_restarts;
  const auto has_failed = [&site] {
    return !site.m_violation.empty() || !site.m_repeated_task.empty();
  };
  const bool has_ended = RunUntilTrue(site.m_loop, kCompletion, [&] {
    return FindUnfinishedJob(site).empty() || has_failed();
  });
  if (has_failed()) return site.m_violation + site.m_repeated_task;
  return has_ended ? "" : "unfinished: " + FindUnfinishedJob(site);
}

}  // namespace

// Guards against a task that starts again after its run was done, because the
// leader changed while workers restarted, were cut off or were not listed.
TEST_CASE("No task is run twice when leaders change while workers restart") {
  const std::uint64_t first = FirstSeed();
  for (std::uint64_t seed = first; seed < first + SeedCount(kSeedsInCi);
       ++seed) {
    INFO("seed " << seed);
    FakeSite site(seed);
    CHECK(PlayDay(site, false) == "");
  }
}

// Guards against a task that the next leader starts while an order of the one
// before reaches the next incarnation of a worker. Which seeds break the rule
// differs by the kind of processor, and none of these few may.
TEST_CASE("No task is run twice when late orders outlast leaders and workers",
          "[!mayfail]") {
  const std::uint64_t first = FirstSeed();
  for (std::uint64_t seed = first; seed < first + SeedCount(kSeedsInCi);
       ++seed) {
    INFO("seed " << seed);
    FakeSite site(seed);
    CHECK(PlayDay(site, true) == "");
  }
}

// Guards against a leader that takes the rejection of its own outdated token
// as the work of another leader, and drops its claim: a worker that had seen a
// raised token was cut off, dropped from the listing and listed again.
TEST_CASE("A worker that is listed again costs no leader its claim") {
  FakeSite site(1);
  site.m_routes = MakeTestRoutes();
  AddSiteWorker(site, "w0", kCapacity);
  AddSiteWorker(site, "w1", kCapacity);
  FakeSiteNode& node = AddSiteNode(site, "n0");
  RunFor(site.m_loop, seconds(12));
  site.m_faults.m_order_answer_loss_probability = 0.3;
  for (int number = 0; number < 10; ++number) {
    SubmitToSite(site, node, MakeTestJob(number, 4));
  }
  RunFor(site.m_loop, seconds(5));
  site.m_faults = SiteFaults();
  RunFor(site.m_loop, seconds(40));
  REQUIRE(FindUnfinishedJob(site).empty());
  const WorkerId id("w0");
  const Fleet& fleet = node.m_node->m_leader->m_fleet;
  REQUIRE(fleet.m_workers.at(id).m_token > FirstToken(fleet.m_term));
  const Term term = fleet.m_term;
  node.m_unreachable_workers.insert(id);
  RunFor(site.m_loop, seconds(12));
  site.m_unlisted_workers.insert(id);
  RunFor(site.m_loop, seconds(2));
  site.m_unlisted_workers.erase(id);
  node.m_unreachable_workers.erase(id);
  RunFor(site.m_loop, seconds(15));
  REQUIRE(node.m_node->m_leader);
  CHECK(node.m_node->m_leader->m_fleet.m_term == term);
}

}  // namespace daisyarch::fleet
