#include <catch2/catch.hpp>

#include "fakes/fake_site.h"

namespace daisyarch::fleet {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kSeedsInCi = 20;
constexpr int kWorkers = 5;
constexpr int kNodes = 2;
constexpr int kJobs = 40;
constexpr int kRestarts = 8;
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

void SetReachable(FakeSite& site, const WorkerId& id, bool is_reachable) {
  for (const auto& node : site.m_nodes) {
    if (is_reachable) {
      node->m_unreachable_workers.erase(id);
    } else {
      node->m_unreachable_workers.insert(id);
    }
  }
}

// Cuts a worker off from all nodes, ends its process behind the cut and starts
// it again, so that it knows nothing of before.
void RestartBehindCut(FakeSite& site) {
  FleetWorkerModel& worker = PickWorker(site);
  const WorkerId id = worker.m_listing.m_worker;
  if (!worker.m_is_up || site.m_nodes[0]->m_unreachable_workers.count(id) > 0) {
    return;
  }
  const Duration crash_after =
      DelayBetween(site.m_loop, milliseconds(10), seconds(6));
  const Duration restart_after =
      crash_after + DelayBetween(site.m_loop, milliseconds(50), seconds(2));
  const Duration cut =
      restart_after + DelayBetween(site.m_loop, milliseconds(10), seconds(8));
  SetReachable(site, id, false);
  RunAfter(site.m_loop, crash_after,
           [&site, &worker] { Crash(worker, site.m_loop.m_now); });
  RunAfter(site.m_loop, restart_after,
           [&site, &worker] { Restart(worker, site.m_loop.m_now); });
  RunAfter(site.m_loop, cut, [&site, id] { SetReachable(site, id, true); });
}

// Ends a worker's process and starts it again so soon that only its incarnation
// shows it.
void RestartAtOnce(FakeSite& site) {
  FleetWorkerModel& worker = PickWorker(site);
  if (!worker.m_is_up) return;
  Crash(worker, site.m_loop.m_now);
  RunAfter(site.m_loop, milliseconds(20),
           [&site, &worker] { Restart(worker, site.m_loop.m_now); });
}

void BuildSite(FakeSite& site, std::size_t listed_ends) {
  site.m_routes = MakeTestRoutes();
  for (int number = 0; number < kWorkers; ++number) {
    const std::string name = "w" + std::to_string(number);
    AddSiteWorker(site, name, kCapacity);
    site.m_workers.at(WorkerId(name))->m_maximum_listed_ends = listed_ends;
  }
  for (int number = 0; number < kNodes; ++number) {
    AddSiteNode(site, "n" + std::to_string(number));
  }
  RunFor(site.m_loop, seconds(12));
}

void PlanDay(FakeSite& site, bool do_orders_outlast_restarts) {
  for (int number = 0; number < kJobs; ++number) {
    RunAfter(site.m_loop, DelayBetween(site.m_loop, Duration{}, kFaults),
             [&site, number] {
               SubmitToSite(site, *site.m_nodes[number % kNodes],
                            MakeTestJob(number, 1 + number % 6));
             });
  }
  for (int number = 0; number < kRestarts; ++number) {
    RunAfter(site.m_loop, DelayBetween(site.m_loop, Duration{}, kFaults),
             [&site, number] {
               number % 2 == 0 ? RestartBehindCut(site) : RestartAtOnce(site);
             });
  }
  site.m_faults.m_do_orders_outlast_restarts = do_orders_outlast_restarts;
  site.m_faults.m_late_order_probability = 0.1;
  site.m_faults.m_order_answer_loss_probability = 0.05;
}

// Returns an unfinished job, or an empty string once all have ended.
std::string PlayDay(FakeSite& site, bool do_orders_outlast_restarts) {
  PlanDay(site, do_orders_outlast_restarts);
  RunFor(site.m_loop, kFaults);
  site.m_faults = SiteFaults();
  site.m_faults.m_do_orders_outlast_restarts = do_orders_outlast_restarts;
  RunUntilTrue(site.m_loop, kCompletion,
               [&] { return FindUnfinishedJob(site).empty(); });
  return FindUnfinishedJob(site);
}

// Returns the first broken invariant of the site, or an empty string.
std::string ViolationOf(const FakeSite& site) {
  return site.m_violation + site.m_repeated_task;
}

}  // namespace

// Guards against a task that starts again after its run was done, because its
// worker restarted and the leader counted the runs of one incarnation for
// another.
TEST_CASE("No task is run twice when workers restart while orders are late") {
  const std::uint64_t first = FirstSeed();
  for (std::uint64_t seed = first; seed < first + SeedCount(kSeedsInCi);
       ++seed) {
    INFO("seed " << seed);
    FakeSite site(seed);
    BuildSite(site, 500);
    CHECK(PlayDay(site, false) == "");
    CHECK(ViolationOf(site) == "");
  }
}

// Guards against a start that was resolved at one incarnation of a worker and
// takes effect at the next, which has seen no fencing token. Few seeds break
// the rule, and which ones differs by the kind of processor.
TEST_CASE("No task is run twice when late orders reach restarted workers",
          "[!mayfail]") {
  const std::uint64_t first = FirstSeed();
  for (std::uint64_t seed = first; seed < first + SeedCount(kSeedsInCi);
       ++seed) {
    INFO("seed " << seed);
    FakeSite site(seed);
    BuildSite(site, 500);
    PlayDay(site, true);
    CHECK(ViolationOf(site) == "");
  }
}

// Guards against a task that waits forever for an order that reached another
// incarnation of its worker.
TEST_CASE("All jobs end when late orders reach restarted workers") {
  const std::uint64_t first = FirstSeed();
  for (std::uint64_t seed = first; seed < first + SeedCount(kSeedsInCi);
       ++seed) {
    INFO("seed " << seed);
    FakeSite site(seed);
    BuildSite(site, 500);
    CHECK(PlayDay(site, true) == "");
  }
}

// Guards against a task that starts again after its run was done, since the
// worker's report was too short to list that run.
TEST_CASE("No task is run twice when reports list few ended runs") {
  const std::uint64_t first = FirstSeed();
  for (std::uint64_t seed = first; seed < first + SeedCount(kSeedsInCi);
       ++seed) {
    INFO("seed " << seed);
    FakeSite site(seed);
    BuildSite(site, 1);
    CHECK(PlayDay(site, false) == "");
    CHECK(ViolationOf(site) == "");
  }
}

}  // namespace daisyarch::fleet
