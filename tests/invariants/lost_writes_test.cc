#include <algorithm>
#include <catch2/catch.hpp>

#include "fakes/fake_site.h"
#include "fleet/store_keys.h"

namespace daisyarch::fleet {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kSeedsInCi = 20;
constexpr int kWorkers = 6;
constexpr int kJobs = 40;
constexpr int kStoreFaults = 4;
constexpr int kDrains = 6;
constexpr int kTakeovers = 5;
constexpr Duration kFaults = seconds(40);
constexpr Duration kNotice = seconds(3);
// The jobs wait for an isolated leader, its claim and the runs that it started.
constexpr Duration kCompletion = seconds(6 + 2 + 9 + 20);
const Resources kCapacity{Millicores(4000), Mebibytes(8000), Accelerators(0)};

void BuildSite(FakeSite& site, int workers) {
  site.m_routes = MakeTestRoutes();
  for (int number = 0; number < workers; ++number) {
    AddSiteWorker(site, "w" + std::to_string(number), kCapacity);
  }
  for (int number = 0; number < 3; ++number) {
    AddSiteNode(site, "n" + std::to_string(number));
  }
  RunFor(site.m_loop, seconds(12));
}

// At times drawn from the period of the faults.
template <typename Event>
void ScheduleEvents(FakeSite& site, int count, const Event& event) {
  for (int number = 0; number < count; ++number) {
    RunAfter(site.m_loop, DelayBetween(site.m_loop, Duration{}, kFaults),
             [event, number] { event(number); });
  }
}

// For some seconds, the store loses answers and applies calls late.
void DisturbStore(FakeSite& site) {
  site.m_faults.m_answer_loss_probability = 0.25;
  site.m_faults.m_late_effect_probability = 0.25;
  RunAfter(site.m_loop, DelayBetween(site.m_loop, seconds(2), seconds(6)),
           [&site] {
             site.m_faults.m_answer_loss_probability = 0;
             site.m_faults.m_late_effect_probability = 0;
           });
}

// Empties a worker and starts it again some time after it has left.
void ReplaceWorker(FakeSite& site) {
  const Duration index =
      DelayBetween(site.m_loop, Duration(0), Duration(kWorkers - 1));
  FleetWorkerModel& worker =
      *std::next(site.m_workers.begin(), index.count())->second;
  if (!worker.m_is_up || worker.m_listing.m_is_leaving) return;
  const Duration notice = DelayBetween(site.m_loop, kNotice, kNotice * 3);
  DrainSiteWorker(site, worker, notice);
  RunAfter(site.m_loop,
           notice + DelayBetween(site.m_loop, milliseconds(100), seconds(4)),
           [&site, &worker] { ReturnSiteWorker(site, worker); });
}

void KillLeader(FakeSite& site) {
  FakeSiteNode* leader = FindLeader(site);
  if (leader == nullptr) return;
  const std::string name = leader->m_name;
  KillSiteNode(site, *leader);
  RunAfter(site.m_loop, seconds(1), [&site, name] { AddSiteNode(site, name); });
}

void FreezeLeader(FakeSite& site) {
  FakeSiteNode* leader = FindLeader(site);
  if (leader == nullptr) return;
  SlowSiteNode(site, *leader, seconds(3), milliseconds(200));
}

void SubmitToAnyNode(FakeSite& site, int number) {
  for (const auto& node : site.m_nodes) {
    if (!node->m_is_alive) continue;
    return SubmitToSite(site, *node, MakeTestJob(number, 1 + number % 6));
  }
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

// Returns the first broken invariant of the site, or an empty string.
std::string ViolationOf(const FakeSite& site) {
  return site.m_violation + site.m_repeated_task;
}

std::string PlayDay(FakeSite& site) {
  BuildSite(site, kWorkers);
  ScheduleEvents(site, kJobs,
                 [&site](int number) { SubmitToAnyNode(site, number); });
  ScheduleEvents(site, kStoreFaults, [&site](int) { DisturbStore(site); });
  ScheduleEvents(site, kDrains, [&site](int) { ReplaceWorker(site); });
  ScheduleEvents(site, kTakeovers, [&site](int number) {
    number % 2 == 0 ? KillLeader(site) : FreezeLeader(site);
  });
  RunFor(site.m_loop, kFaults);
  const bool has_ended = RunUntilTrue(site.m_loop, kCompletion, [&site] {
    return FindUnfinishedJob(site).empty() || !ViolationOf(site).empty();
  });
  if (!ViolationOf(site).empty()) return ViolationOf(site);
  return has_ended ? "" : "unfinished: " + FindUnfinishedJob(site);
}

}  // namespace

// Guards against a task that starts again after its run was done: the store
// lost the progress, but not the removal of the leaving worker from the roster,
// so that the next leader did not wait for that worker.
TEST_CASE("A takeover waits for a leaving worker whose ends are not stored") {
  FakeSite site(1);
  BuildSite(site, 2);
  SubmitToSite(site, *site.m_nodes[0], MakeTestJob(0, 1));
  REQUIRE(RunUntilTrue(site.m_loop, seconds(2),
                       [&site] { return site.m_starts == 1; }));
  site.m_faults.m_lost_write_prefix = kProgressPrefix;
  REQUIRE(RunUntilTrue(site.m_loop, seconds(3),
                       [&site] { return !site.m_done.empty(); }));
  const auto leaving = std::find_if(
      site.m_workers.begin(), site.m_workers.end(),
      [](const auto& entry) { return !entry.second->m_ended.empty(); });
  REQUIRE(leaving != site.m_workers.end());
  DrainSiteWorker(site, *leaving->second, seconds(20));
  RunFor(site.m_loop, seconds(3));
  REQUIRE(FindLeader(site) != nullptr);
  KillSiteNode(site, *FindLeader(site));
  site.m_faults.m_lost_write_prefix.clear();
  // The next leader hears of it late.
  SetReachable(site, leaving->first, false);
  RunFor(site.m_loop, seconds(5));
  SetReachable(site, leaving->first, true);
  RunFor(site.m_loop, seconds(10));
  CHECK(ViolationOf(site) == "");
  CHECK(FindUnfinishedJob(site).empty());
}

// Guards against a task that two workers run: a worker left and came back under
// its id, and the removal of its roster entry took effect after that, so that
// the next leader did not wait for its new runs.
TEST_CASE("A late removal from the roster spares a worker that has come back") {
  FakeSite site(1);
  BuildSite(site, 2);
  const WorkerId id("w0");
  FleetWorkerModel& worker = *site.m_workers.at(id);
  site.m_faults.m_late_removal_prefix = kRosterPrefix;
  DrainSiteWorker(site, worker, milliseconds(1500));
  RunFor(site.m_loop, milliseconds(1600));
  site.m_faults.m_late_removal_prefix.clear();
  ReturnSiteWorker(site, worker);
  RunFor(site.m_loop, milliseconds(2900));
  SubmitToSite(site, *site.m_nodes[0], MakeTestJob(0, 8));
  RunFor(site.m_loop, milliseconds(400));
  REQUIRE(!worker.m_running.empty());
  REQUIRE(FindLeader(site) != nullptr);
  KillSiteNode(site, *FindLeader(site));
  // The next leader hears of it late, but before its lease expires.
  SetReachable(site, id, false);
  RunFor(site.m_loop, seconds(3));
  SetReachable(site, id, true);
  RunFor(site.m_loop, seconds(12));
  CHECK(ViolationOf(site) == "");
  CHECK(FindUnfinishedJob(site).empty());
}

// Guards against both faults in days of any order of events, and against other
// ends that the next leader misses because writes are lost.
TEST_CASE("No task is run twice when writes are lost while workers leave") {
  for (std::uint64_t seed = FirstSeed();
       seed < FirstSeed() + SeedCount(kSeedsInCi); ++seed) {
    INFO("seed " << seed);
    FakeSite site(seed);
    CHECK(PlayDay(site) == "");
  }
}

}  // namespace daisyarch::fleet
