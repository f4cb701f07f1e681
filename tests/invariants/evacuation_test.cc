#include <catch2/catch.hpp>

#include "fakes/fake_site.h"

namespace daisyarch::fleet {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kSeedsInCi = 1;
constexpr Duration kBound = seconds(5);
const Resources kCapacity{Millicores(4000), Mebibytes(8000), Accelerators(0)};

// Workers in two failure domains, under steady traffic.
struct EvacuatedSite {
  FakeSite m_site;
  /// Starts in each domain since the last call of TakeStarts().
  std::map<std::string, int> m_starts;
  int m_last_job = 0;
};

void SubmitSteadily(EvacuatedSite& site) {
  SubmitToSite(site.m_site, *site.m_site.m_nodes.back(),
               MakeTestJob(++site.m_last_job, 6));
  RunAfter(site.m_site.m_loop, milliseconds(800),
           [&site] { SubmitSteadily(site); });
}

void BuildSite(EvacuatedSite& site) {
  site.m_site.m_routes = MakeTestRoutes();
  site.m_site.m_evacuation_period = kBound;
  for (const char* name : {"east1", "east2", "west1", "west2"}) {
    const std::string domain(name, 4);
    AddSiteWorker(site.m_site, name, kCapacity);
    FleetWorkerModel& worker = *site.m_site.m_workers.at(WorkerId(name));
    worker.m_listing.m_failure_domain = FailureDomainId(domain);
    worker.m_on_start = [&site, domain, check = worker.m_on_start](
                            const TaskReference& task, RunNumber run) {
      ++site.m_starts[domain];
      check(task, run);
    };
  }
  for (const char* name : {"n0", "n1", "n2"}) AddSiteNode(site.m_site, name);
  RunFor(site.m_site.m_loop, seconds(5));
  SubmitSteadily(site);
}

// Returns how many tasks start in the domain from `from` to `until`.
int TakeStarts(EvacuatedSite& site, const std::string& domain, Duration from,
               Duration until) {
  RunFor(site.m_site.m_loop, from);
  site.m_starts.clear();
  RunFor(site.m_site.m_loop, until - from);
  return site.m_starts[domain];
}

void KillLeader(FakeSite& site) {
  FakeSiteNode* leader = FindLeader(site);
  if (leader != nullptr) KillSiteNode(site, *leader);
}

// Begins some time after the evacuation does.
struct Disturbance {
  const char* m_name;
  Duration m_delay;
  void (*m_begin)(FakeSite& site);
};

const Disturbance kDisturbances[] = {
    {"the leader dies in time", seconds(3), KillLeader},
    {"the leader dies before", milliseconds(-1500), KillLeader},
    {"the store forgets its history", milliseconds(2),
     [](FakeSite& site) {
       site.m_store.m_compacted_revision = site.m_store.m_revision;
     }},
    {"the store is down", milliseconds(-10),
     [](FakeSite& site) {
       site.m_faults.m_store_down_until = site.m_loop.m_now + seconds(7);
     }},
    {"watches get no answer", milliseconds(-10), [](FakeSite& site) {
       site.m_faults.m_watches_unanswered_until =
           site.m_loop.m_now + seconds(4);
     }}};

}  // namespace

TEST_CASE("No task starts in an evacuated failure domain") {
  const Disturbance disturbance =
      GENERATE(from_range(std::begin(kDisturbances), std::end(kDisturbances)));
  const std::uint64_t first = FirstSeed();
  for (std::uint64_t seed = first; seed < first + SeedCount(kSeedsInCi);
       ++seed) {
    INFO(disturbance.m_name << ", seed " << seed);
    EvacuatedSite site{FakeSite(seed)};
    BuildSite(site);
    RunAfter(site.m_site.m_loop, seconds(4) + disturbance.m_delay,
             [&] { disturbance.m_begin(site.m_site); });
    CHECK(TakeStarts(site, "east", seconds(0), seconds(4)) > 0);
    SetEvacuated(site.m_site, "east", true);
    CHECK(TakeStarts(site, "east", kBound, seconds(8)) == 0);
    CHECK(site.m_starts["west"] > 0);
    SetEvacuated(site.m_site, "west", true);
    CHECK(TakeStarts(site, "west", kBound, seconds(8)) == 0);
    SetEvacuated(site.m_site, "west", false);
    CHECK(TakeStarts(site, "west", seconds(0), seconds(4)) > 0);
    CHECK(site.m_starts["east"] == 0);
    SetEvacuated(site.m_site, "east", false);
    CHECK(TakeStarts(site, "east", seconds(0), seconds(4)) > 0);
    CHECK(site.m_site.m_violation.empty());
  }
}

}  // namespace daisyarch::fleet
