#include <catch2/catch.hpp>

#include "fakes/fake_site.h"
#include "fleet/store_keys.h"

namespace daisyarch::fleet {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A task that lasts may wait 7 s for a start: the users allow 3 s, counted
// after 4 s without faults.
constexpr Duration kMaximumStartDelay = seconds(7);
constexpr std::uint32_t kTasks = 4;
const Resources kCapacity{Millicores(4000), Mebibytes(8000), Accelerators(0)};

bool PutsTerm(const StoreTransaction& transaction) {
  for (const StorePut& put : transaction.m_puts) {
    if (put.m_key == kTermKey) return true;
  }
  return false;
}

// Lets the store carry out the next claim of any node, without an answer.
void LoseNextClaimAnswer(FakeSite& site, bool& is_lost) {
  for (const auto& node : site.m_nodes) {
    auto& commit = node->m_node->m_runtime.m_store.m_commit;
    commit = [&is_lost, commit](const StoreTransaction& transaction,
                                auto on_result) {
      if (is_lost || !PutsTerm(transaction)) {
        return commit(transaction, std::move(on_result));
      }
      commit(transaction, [&is_lost, on_result](const auto& result) {
        const bool is_applied = result && result.assume_value().m_is_applied;
        if (is_lost || !is_applied) return on_result(result);
        is_lost = true;
        on_result(
            Error{ErrorCode::kOutcomeUnknown, "claim", kTermKey, "no answer"});
      });
    };
  }
}

}  // namespace

// Guards against work that lies idle since a node whose claim got no answer,
// and which thus never led, does not tell the next leader so.
TEST_CASE("Tasks that last run again soon after a claim without an answer",
          "[!shouldfail]") {
  for (const bool loses_answer : {false, true}) {
    INFO("loses the answer: " << loses_answer);
    FakeSite site(1);
    site.m_routes = MakeTestRoutes();
    for (int number = 0; number < 4; ++number) {
      AddSiteWorker(site, "w" + std::to_string(number), kCapacity);
    }
    for (int number = 0; number < 3; ++number) {
      AddSiteNode(site, "n" + std::to_string(number));
    }
    RunFor(site.m_loop, seconds(12));
    for (auto& entry : site.m_workers) {
      entry.second->m_plan_run = [&site](const TaskReference&, RunNumber) {
        ModelRun run;
        run.m_ends_at = site.m_loop.m_now + std::chrono::hours(1);
        return run;
      };
    }
    JobPlan plan = MakeTestJob(0, kTasks);
    plan.m_steps.resize(1);
    plan.m_steps.front().m_kind = StepKind::kService;
    SubmitToSite(site, *site.m_nodes.front(), plan);
    RunFor(site.m_loop, seconds(2));
    REQUIRE(site.m_starts == kTasks);
    bool is_lost = !loses_answer;
    LoseNextClaimAnswer(site, is_lost);
    // The leader gives up at the end of the outage, and tells so.
    const Duration outage = milliseconds(8500);
    site.m_faults.m_is_store_unresponsive = true;
    site.m_faults.m_store_down_until = site.m_loop.m_now + outage;
    FleetWorkerModel& lost = *site.m_workers.begin()->second;
    Crash(lost, site.m_loop.m_now);
    site.m_unlisted_workers.insert(lost.m_listing.m_worker);
    RunFor(site.m_loop, outage);
    REQUIRE(RunUntilTrue(site.m_loop, seconds(5),
                         [&] { return is_lost && FindLeader(site); }));
    const TimePoint led_at = site.m_loop.m_now;
    const std::uint64_t starts = site.m_starts;
    const bool have_started = RunUntilTrue(site.m_loop, seconds(20), [&] {
      return site.m_starts == starts + kTasks;
    });
    INFO("started " << ToMilliseconds(site.m_loop.m_now - led_at)
                    << " ms after the next leader had loaded");
    CHECK(have_started);
    CHECK(site.m_loop.m_now - led_at <= kMaximumStartDelay);
  }
}

}  // namespace daisyarch::fleet
