#include <algorithm>
#include <catch2/catch.hpp>
#include <numeric>

#include "decisions/fleet/late_start.h"
#include "fakes/fake_site.h"

namespace daisyarch::fleet {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kSeedsInCi = 10;
constexpr std::uint32_t kTasks = 8;
// Until the next poll, the pass after it and the start.
constexpr Duration kUntilStarted = milliseconds(1500);
const Resources kCapacity{Millicores(4000), Mebibytes(8000), Accelerators(0)};

JobPlan MakeService() {
  JobPlan plan = MakeTestJob(0, kTasks);
  plan.m_steps.resize(1);
  plan.m_steps.front().m_kind = StepKind::kService;
  return plan;
}

void BuildSite(FakeSite& site, int nodes) {
  site.m_routes = MakeTestRoutes();
  for (int number = 0; number < 4; ++number) {
    AddSiteWorker(site, "w" + std::to_string(number), kCapacity);
  }
  for (int number = 0; number < nodes; ++number) {
    AddSiteNode(site, "n" + std::to_string(number));
  }
  for (auto& entry : site.m_workers) {
    entry.second->m_plan_run = [&site](const TaskReference&, RunNumber) {
      ModelRun run;
      run.m_ends_at = site.m_loop.m_now + std::chrono::hours(1);
      return run;
    };
  }
  RunFor(site.m_loop, seconds(12));
}

std::size_t CountRunning(const FakeSite& site) {
  return std::accumulate(site.m_workers.begin(), site.m_workers.end(),
                         std::size_t{0},
                         [](std::size_t count, const auto& entry) {
                           return count + entry.second->m_running.size();
                         });
}

// Kills the leader and waits until the next one has led for `duration`.
bool ChangeLeader(FakeSite& site, Duration duration) {
  FakeSiteNode* leader = FindLeader(site);
  if (leader == nullptr) return false;
  KillSiteNode(site, *leader);
  const bool has_leader = RunUntilTrue(
      site.m_loop, seconds(7), [&site] { return FindLeader(site) != nullptr; });
  RunFor(site.m_loop, duration);
  return has_leader;
}

}  // namespace

// Guards against tasks that last and do not run for longer than an order can
// take effect and a leader takes over, because each of several leaders in a row
// begins to wait anew for starts that the first one got no answers to.
TEST_CASE("Changes of leaders do not prolong the wait for late starts") {
  const int changes = GENERATE(1, 3, 5);
  const std::uint64_t first = FirstSeed();
  for (std::uint64_t seed = first; seed < first + SeedCount(kSeedsInCi);
       ++seed) {
    INFO(changes << " changes, seed " << seed);
    FakeSite site(seed);
    BuildSite(site, changes + 2);
    site.m_faults.m_late_order_probability = 0.5;
    SubmitToSite(site, *FindLeader(site), MakeService());
    RunFor(site.m_loop, milliseconds(1500));
    site.m_faults = SiteFaults();
    const TimePoint sent_before = site.m_loop.m_now;
    for (int change = 0; change < changes; ++change) {
      REQUIRE(ChangeLeader(site, milliseconds(500)));
    }
    const TimePoint changed_at = site.m_loop.m_now;
    const TimePoint latest =
        std::max(changed_at, sent_before + LongestEffectDelay(FleetLimits())) +
        kUntilStarted;
    const bool are_running = RunUntilTrue(site.m_loop, seconds(60), [&site] {
      return CountRunning(site) == kTasks;
    });
    INFO("latest " << ToMilliseconds(latest - sent_before) << " ms, all run "
                   << ToMilliseconds(site.m_loop.m_now - sent_before)
                   << " ms after the starts were sent, last leader at "
                   << ToMilliseconds(changed_at - sent_before));
    CHECK(site.m_violation.empty());
    CHECK(are_running);
    CHECK(site.m_loop.m_now <= latest);
  }
}

}  // namespace daisyarch::fleet
