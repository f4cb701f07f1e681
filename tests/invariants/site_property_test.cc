#include <catch2/catch.hpp>

#include "fakes/fake_site.h"

namespace daisyarch::fleet {

namespace {

constexpr std::uint64_t kSeeds = 40;
constexpr int kJobs = 25;
constexpr Duration kTraffic = std::chrono::seconds(30);
// Traffic, the longest isolation of a leader, and every lease after it.
constexpr Duration kUntilAllEnded = std::chrono::seconds(120);
const Resources kCapacity{Millicores(4000), Mebibytes(8000), Accelerators(0)};

void BuildSite(FakeSite& site) {
  site.m_routes = MakeTestRoutes();
  for (int number = 0; number < 6; ++number) {
    AddSiteWorker(site, "w" + std::to_string(number), kCapacity);
  }
  for (int number = 0; number < 3; ++number) {
    AddSiteNode(site, "n" + std::to_string(number));
  }
}

void SubmitJobs(FakeSite& site) {
  for (int number = 0; number < kJobs; ++number) {
    const Duration at =
        DelayBetween(site.m_loop, std::chrono::seconds(1), kTraffic);
    RunAfter(site.m_loop, at, [&site, number] {
      SubmitToSite(site, *site.m_nodes[number % site.m_nodes.size()],
                   MakeTestJob(number, 1 + number % 5));
    });
  }
}

template <typename Act>
void Sometime(FakeSite& site, const Act& act) {
  RunAfter(site.m_loop,
           DelayBetween(site.m_loop, std::chrono::seconds(2), kTraffic), act);
}

FleetWorkerModel& AnyWorker(FakeSite& site) {
  auto place = site.m_workers.begin();
  std::advance(place, DelayBetween(site.m_loop, Duration(0),
                                   Duration(site.m_workers.size() - 1))
                          .count());
  return *place->second;
}

void KillLeader(FakeSite& site) {
  FakeSiteNode* leader = FindLeader(site);
  if (leader == nullptr) return;
  const std::string name = leader->m_name;
  KillSiteNode(site, *leader);
  RunAfter(site.m_loop, std::chrono::seconds(1),
           [&site, name] { AddSiteNode(site, name); });
}

void CutLeaderFromStore(FakeSite& site) {
  FakeSiteNode* leader = FindLeader(site);
  if (leader == nullptr) return;
  leader->m_cut_from_store_until = site.m_loop.m_now + std::chrono::seconds(6);
}

void CutWorkersFromOne(FakeSite& site) {
  for (const auto& node : site.m_nodes) {
    if (!node->m_is_alive) continue;
    node->m_cut_workers.insert(AnyWorker(site).m_listing.m_worker);
    FakeSiteNode* cut = node.get();
    RunAfter(site.m_loop, std::chrono::seconds(6),
             [cut] { cut->m_cut_workers.clear(); });
    return;
  }
}

void CrashWorker(FakeSite& site) {
  FleetWorkerModel& worker = AnyWorker(site);
  if (!worker.m_is_up) return;
  Crash(worker, site.m_loop.m_now);
  RunAfter(site.m_loop, std::chrono::seconds(3),
           [&site, &worker] { Revive(worker, site.m_loop.m_now); });
}

// The platform forgets a worker that goes on.
void Unlist(FakeSite& site) {
  const WorkerId id = AnyWorker(site).m_listing.m_worker;
  site.m_unlisted.insert(id);
  RunAfter(site.m_loop, std::chrono::seconds(7),
           [&site, id] { site.m_unlisted.erase(id); });
}

void PlanFaults(FakeSite& site, std::uint64_t seed) {
  if (seed % 2 == 0) {
    site.m_faults.m_lose_answer = 0.03;
    site.m_faults.m_write_late = 0.02;
  }
  if (seed % 3 == 0) {
    site.m_faults.m_order_late = 0.03;
    site.m_faults.m_lose_order = 0.03;
  }
  Sometime(site, [&site] { KillLeader(site); });
  Sometime(site, [&site] { CutLeaderFromStore(site); });
  Sometime(site, [&site] { CutWorkersFromOne(site); });
  Sometime(site, [&site] { CrashWorker(site); });
  Sometime(site, [&site] { CrashWorker(site); });
  Sometime(site, [&site] { Unlist(site); });
  if (seed % 4 == 0) {
    Sometime(site, [&site] {
      site.m_faults.m_store_down_until =
          site.m_loop.m_now + std::chrono::seconds(5);
    });
  }
  if (seed % 5 == 0) {
    Sometime(site, [&site] {
      site.m_store.m_forgotten = site.m_store.m_revision;
      RemoveKey(site.m_store, "daisyarch/lead/holder");
    });
  }
}

}  // namespace

TEST_CASE("Tasks run once and to their end under faults") {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    INFO("seed " << seed);
    FakeSite site(seed);
    BuildSite(site);
    SubmitJobs(site);
    PlanFaults(site, seed);
    RunFor(site.m_loop, kTraffic);
    site.m_faults.m_order_late = site.m_faults.m_lose_order = 0;
    site.m_faults.m_write_late = site.m_faults.m_lose_answer = 0;
    const bool has_ended = RunUntilTrue(site.m_loop, kUntilAllEnded, [&site] {
      return FindUnfinished(site).empty() || !site.m_violation.empty();
    });
    CHECK(site.m_violation.empty());
    INFO(site.m_violation << FindUnfinished(site));
    CHECK(has_ended);
    CHECK(site.m_accepted.size() == kJobs);
    REQUIRE(site.m_violation.empty());
    REQUIRE(has_ended);
  }
}

}  // namespace daisyarch::fleet
