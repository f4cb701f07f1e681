#include <catch2/catch.hpp>

#include "fakes/fake_site.h"
#include "fleet/store_keys.h"

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

}  // namespace

// Guards against a worker with tasks that the next leader does not wait for:
// its removal from the roster took effect without an answer, and the worker
// started again before the removal was repeated.
TEST_CASE("A worker that returns is stored again after an unanswered removal",
          "[!shouldfail]") {
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

}  // namespace daisyarch::fleet
