#include <catch2/catch.hpp>

#include "fakes/fake_site.h"
#include "fleet/store_keys.h"

namespace daisyarch::fleet {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const Resources kCapacity{Millicores(4000), Mebibytes(8000), Accelerators(0)};
constexpr Duration kListDuration = milliseconds(2500);
constexpr Duration kWatchesUnanswered = seconds(15);

// Returns whether a node is the leader and, if asked for, has loaded its state.
bool HasNextLeader(const FakeSite& site, bool must_be_loaded) {
  return std::any_of(site.m_nodes.begin(), site.m_nodes.end(),
                     [must_be_loaded](const auto& node) {
                       if (!node->m_is_alive || !node->m_node->m_leader) {
                         return false;
                       }
                       return !must_be_loaded ||
                              node->m_node->m_leader->m_is_loaded;
                     });
}

}  // namespace

// Guards against tasks of a job that a new leader starts although the job's
// cancellation was stored seconds before, after it had read the jobs.
TEST_CASE("A job that is cancelled while a leader loads is not started",
          "[!shouldfail]") {
  FakeSite site(1);
  site.m_routes = MakeTestRoutes();
  for (const char* name : {"n0", "n1", "n2"}) AddSiteNode(site, name);
  RunFor(site.m_loop, seconds(12));
  const JobPlan plan = MakeTestJob(0, 4);
  SubmitToSite(site, *site.m_nodes.back(), plan);
  RunFor(site.m_loop, seconds(1));
  REQUIRE(site.m_accepted.count(plan.m_key) == 1);
  AddSiteWorker(site, "w0", kCapacity);
  KillSiteNode(site, *FindLeader(site));
  RunFor(site.m_loop, milliseconds(1));
  site.m_faults.m_list_duration = kListDuration;
  REQUIRE(RunUntilTrue(site.m_loop, seconds(7),
                       [&site] { return HasNextLeader(site, false); }));
  RunFor(site.m_loop, kListDuration + milliseconds(100));
  StoreTransaction cancellation;
  cancellation.m_puts.push_back(
      {CancelItemKey(plan.m_key), "1", StoreLeaseId()});
  Apply(site.m_store, cancellation);
  site.m_cancelled.insert(plan.m_key);
  site.m_faults.m_watches_unanswered_until =
      site.m_loop.m_now + kWatchesUnanswered;
  REQUIRE(RunUntilTrue(site.m_loop, seconds(7),
                       [&site] { return HasNextLeader(site, true); }));
  site.m_faults.m_list_duration = Duration{};
  RunFor(site.m_loop, seconds(40));
  CHECK(site.m_violation == "");
  CHECK(ReadStoredState(site, plan.m_key) == JobState::kCancelled);
}

}  // namespace daisyarch::fleet
