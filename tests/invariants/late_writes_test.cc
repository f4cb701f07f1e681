#include <catch2/catch.hpp>

#include "fakes/fake_site.h"
#include "fleet/store_keys.h"
#include "wire/fleet_fields.h"

namespace daisyarch::fleet {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

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

bool IsInStoredRoster(const FakeSite& site, const std::string& worker) {
  return site.m_store.m_entries.count(RosterItemKey(WorkerId(worker))) > 0;
}

std::uint64_t StoredPendingCount(const FakeSite& site) {
  const auto found = site.m_store.m_entries.find(kPendingKey);
  if (found == site.m_store.m_entries.end()) return 0;
  using Counts = std::map<QueueId, std::uint64_t>;
  const auto counts =
      DecodeCbor<Counts>(found->second.m_value, "read pending", kPendingKey);
  if (!counts) return 0;
  const auto count = counts.assume_value().find(QueueId("batch"));
  return count == counts.assume_value().end() ? 0 : count->second;
}

}  // namespace

// Guards against a worker with tasks that the next leader does not wait for:
// its removal from the roster took effect without an answer, and the worker
// started again before the removal was repeated.
TEST_CASE("A worker that returns is stored again after an unanswered removal") {
  FakeSite site(1);
  BuildSite(site, 2);
  FleetWorkerModel& worker = *site.m_workers.begin()->second;
  const WorkerId id = worker.m_listing.m_worker;
  REQUIRE(IsInStoredRoster(site, id.value()));
  DrainSiteWorker(site, worker, seconds(30));
  const Leader& leader = *FindLeader(site)->m_node->m_leader;
  const auto is_seen_leaving = [&] {
    return leader.m_fleet.m_workers.at(id).m_listing.m_is_leaving;
  };
  site.m_loop.m_check = [&] {
    if (is_seen_leaving()) site.m_faults.m_answer_loss_probability = 1;
  };
  REQUIRE(RunUntilTrue(site.m_loop, seconds(2), is_seen_leaving));
  RunFor(site.m_loop, milliseconds(20));
  site.m_loop.m_check = nullptr;
  site.m_faults.m_answer_loss_probability = 0;
  REQUIRE_FALSE(IsInStoredRoster(site, id.value()));
  Crash(worker, site.m_loop.m_now);
  ReturnSiteWorker(site, worker);
  for (int number = 0; number < 4; ++number) {
    SubmitToSite(site, *site.m_nodes[0], MakeTestJob(number, 4));
  }
  const bool is_used = RunUntilTrue(site.m_loop, seconds(10), [&worker] {
    return !worker.m_running.empty();
  });
  REQUIRE(is_used);
  CHECK(IsInStoredRoster(site, id.value()));
  RunFor(site.m_loop, seconds(10));
  CHECK(IsInStoredRoster(site, id.value()));
}

// Guards against an outdated number of pending jobs: a write that the store
// applied late replaced a newer one, and nothing was written after it.
TEST_CASE("A late write does not outlast the newest count of pending jobs") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    INFO("seed " << seed);
    FakeSite site(seed);
    BuildSite(site, 1);
    for (int number = 0; number < 10; ++number) {
      SubmitToSite(site, *site.m_nodes[0], MakeTestJob(number, 4));
    }
    REQUIRE(RunUntilTrue(site.m_loop, seconds(5),
                         [&site] { return StoredPendingCount(site) > 2; }));
    REQUIRE(RunUntilTrue(site.m_loop, seconds(60),
                         [&site] { return StoredPendingCount(site) <= 2; }));
    site.m_faults.m_late_effect_probability = 1;
    RunFor(site.m_loop, milliseconds(1400));
    site.m_faults.m_late_effect_probability = 0;
    REQUIRE(RunUntilTrue(site.m_loop, seconds(60),
                         [&site] { return FindUnfinishedJob(site).empty(); }));
    RunFor(site.m_loop, seconds(10));
    CHECK(StoredPendingCount(site) == 0);
  }
}

// Guards against a leader that stores nothing any more: it expects a revision
// of progress that was removed.
TEST_CASE("A leader stores progress again after it was removed") {
  FakeSite site(1);
  BuildSite(site, 1);
  SubmitToSite(site, *site.m_nodes[0], MakeTestJob(0, 1));
  REQUIRE(RunUntilTrue(site.m_loop, seconds(5), [&site] {
    return site.m_store.m_entries.count(ProgressItemKey(JobKey("job-0"))) > 0;
  }));
  RemoveKey(site.m_store, ProgressItemKey(JobKey("job-0")));
  CHECK(RunUntilTrue(site.m_loop, seconds(20),
                     [&site] { return FindUnfinishedJob(site).empty(); }));
}

// Guards against two runs of one task: a leader that has handed over, but has
// no answer to that, extends leases that the next leader takes as expired.
TEST_CASE("No lease outlasts the wait after a handover without an answer") {
  FakeSite site(1);
  BuildSite(site, 4);
  for (auto& entry : site.m_workers) {
    entry.second->m_plan_run = [&site](const TaskReference&, RunNumber) {
      ModelRun run;
      run.m_ends_at = site.m_loop.m_now + seconds(20);
      return run;
    };
  }
  FakeSiteNode& leader = *FindLeader(site);
  SubmitToSite(site, leader, MakeTestJob(0, 1));
  REQUIRE(RunUntilTrue(site.m_loop, seconds(2),
                       [&site] { return site.m_starts == 1; }));
  RunFor(site.m_loop, seconds(1));
  for (const auto& [id, worker] : site.m_workers) {
    if (worker->m_running.empty()) continue;
    for (const auto& node : site.m_nodes) {
      if (node.get() != &leader) node->m_unreachable_workers.insert(id);
    }
  }
  site.m_faults.m_answer_loss_probability = 1;
  StopFleetNode(*leader.m_node);
  RunFor(site.m_loop, milliseconds(60));
  site.m_faults.m_answer_loss_probability = 0;
  REQUIRE(site.m_store.m_entries.count(kHandoverKey) == 1);
  site.m_faults.m_is_store_unresponsive = true;
  leader.m_store_unreachable_until = site.m_loop.m_now + seconds(10);
  RemoveKey(site.m_store, kClaimKey);
  RunFor(site.m_loop, seconds(15));
  CHECK(site.m_violation == "");
}

}  // namespace daisyarch::fleet
