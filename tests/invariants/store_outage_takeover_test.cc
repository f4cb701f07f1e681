#include <catch2/catch.hpp>
#include <numeric>

#include "fakes/fake_site.h"

namespace daisyarch::fleet {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kSeedsInCi = 5;
constexpr std::uint32_t kTasks = 8;
// Of a task that lasts: the users allow 3 s, counted after 4 s without faults.
constexpr Duration kMaximumStartDelay = seconds(7);
const Resources kCapacity{Millicores(4000), Mebibytes(8000), Accelerators(0)};

std::size_t CountRunning(const FakeSite& site) {
  return std::accumulate(site.m_workers.begin(), site.m_workers.end(),
                         std::size_t{0},
                         [](std::size_t count, const auto& entry) {
                           return count + entry.second->m_running.size();
                         });
}

// Lets tasks that last run on four workers.
void BuildSite(FakeSite& site) {
  site.m_routes = MakeTestRoutes();
  for (int number = 0; number < 4; ++number) {
    AddSiteWorker(site, "w" + std::to_string(number), kCapacity);
  }
  for (int number = 0; number < 3; ++number) {
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
  JobPlan plan = MakeTestJob(0, kTasks);
  plan.m_steps.resize(1);
  plan.m_steps.front().m_kind = StepKind::kService;
  SubmitToSite(site, *FindLeader(site), plan);
  RunFor(site.m_loop, seconds(2));
}

}  // namespace

// Guards against tasks that last and stay away for the leases of a leader that
// has given up during the outage, because a worker is lost as well.
TEST_CASE("Tasks run again soon after an outage of the store") {
  const std::uint64_t first = FirstSeed();
  for (std::uint64_t seed = first; seed < first + SeedCount(kSeedsInCi);
       ++seed) {
    FakeSite site(seed);
    BuildSite(site);
    REQUIRE(CountRunning(site) == kTasks);
    const TimePoint back_at = site.m_loop.m_now + milliseconds(7900);
    site.m_faults.m_store_down_until = back_at;
    site.m_faults.m_is_store_unresponsive = true;
    RunFor(site.m_loop, seconds(3));
    FleetWorkerModel& lost = *site.m_workers.begin()->second;
    Crash(lost, site.m_loop.m_now);
    site.m_unlisted_workers.insert(lost.m_listing.m_worker);
    RunUntil(site.m_loop, back_at);
    const bool are_running = RunUntilTrue(site.m_loop, seconds(30), [&site] {
      return CountRunning(site) == kTasks;
    });
    INFO("seed " << seed << ", all run "
                 << ToMilliseconds(site.m_loop.m_now - back_at)
                 << " ms after the outage");
    CHECK(site.m_violation.empty());
    CHECK(are_running);
    CHECK(site.m_loop.m_now - back_at <= kMaximumStartDelay);
  }
}

}  // namespace daisyarch::fleet
