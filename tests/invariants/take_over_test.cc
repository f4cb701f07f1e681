#include <catch2/catch.hpp>

#include "fakes/fake_site.h"

namespace daisyarch::fleet {

namespace {

// A job may wait 7 s for a start: the users allow 3 s, counted after 4 s
// without faults.
constexpr Duration kMaximumStartDelay = std::chrono::seconds(7);
// Two steps whose tasks take up to 1.5 s each, and the messages for them.
constexpr Duration kMaximumRunTime = std::chrono::milliseconds(3500);
const Resources kCapacity{Millicores(4000), Mebibytes(8000), Accelerators(0)};

void BuildSite(FakeSite& site) {
  site.m_routes = MakeTestRoutes();
  for (int number = 0; number < 4; ++number) {
    AddSiteWorker(site, "w" + std::to_string(number), kCapacity);
  }
  for (int number = 0; number < 3; ++number) {
    AddSiteNode(site, "n" + std::to_string(number));
  }
  RunFor(site.m_loop, std::chrono::seconds(12));
}

// Lets every run take this long and succeed.
void RunWithoutFailures(FakeSite& site, Duration duration) {
  for (auto& entry : site.m_workers) {
    entry.second->m_plan_run = [&site, duration](const TaskReference&,
                                                 RunNumber) {
      ModelRun run;
      run.m_ends_at = site.m_loop.m_now + duration;
      return run;
    };
  }
}

// Kills the leader and one worker at the same time. The worker stays down, so
// the next leader cannot find out what it ran.
void KillLeaderAndWorker(FakeSite& site, Duration restart_after) {
  FakeSiteNode* leader = FindLeader(site);
  REQUIRE(leader != nullptr);
  const std::string name = leader->m_name;
  KillSiteNode(site, *leader);
  FleetWorkerModel& worker = *site.m_workers.begin()->second;
  Crash(worker, site.m_loop.m_now);
  site.m_unlisted_workers.insert(worker.m_listing.m_worker);
  RunAfter(site.m_loop, restart_after,
           [&site, name] { AddSiteNode(site, name); });
}

}  // namespace

// The missing worker may still run tasks under a lease of the dead leader. The
// next leader would wait long for that lease to expire, unless the restarted
// node of the dead leader reports that the leader process has ended.
TEST_CASE("Inherited jobs finish soon after the dead leader's node restarts") {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    INFO("seed " << seed);
    FakeSite site(seed);
    BuildSite(site);
    for (int number = 0; number < 6; ++number) {
      SubmitToSite(site, *site.m_nodes[number % 3], MakeTestJob(number, 3));
    }
    RunFor(site.m_loop, std::chrono::milliseconds(300));
    KillLeaderAndWorker(site, std::chrono::milliseconds(700));
    const bool has_ended =
        RunUntilTrue(site.m_loop, kMaximumStartDelay + kMaximumRunTime,
                     [&site] { return FindUnfinishedJob(site).empty(); });
    CHECK(site.m_violation.empty());
    INFO(site.m_violation << FindUnfinishedJob(site));
    CHECK(has_ended);
  }
}

// Guards against work that lies idle after an outage of the store: the leader
// gave up, and its node, which lives on, did not tell the next one so.
TEST_CASE("Tasks that last run again soon after the store was silent") {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    INFO("seed " << seed);
    FakeSite site(seed);
    BuildSite(site);
    RunWithoutFailures(site, std::chrono::hours(1));
    JobPlan plan = MakeTestJob(0, 4);
    plan.m_steps.resize(1);
    plan.m_steps.front().m_kind = StepKind::kService;
    SubmitToSite(site, *site.m_nodes.front(), plan);
    RunFor(site.m_loop, std::chrono::seconds(2));
    REQUIRE(site.m_starts == 4);
    // The leader keeps the leases for 6 s after its claim of 2 s may be over.
    const Duration outage = std::chrono::milliseconds(8500);
    site.m_faults.m_is_store_unresponsive = true;
    site.m_faults.m_store_down_until = site.m_loop.m_now + outage;
    FleetWorkerModel& lost = *site.m_workers.begin()->second;
    Crash(lost, site.m_loop.m_now);
    site.m_unlisted_workers.insert(lost.m_listing.m_worker);
    RunFor(site.m_loop, outage);
    const std::uint64_t starts = site.m_starts;
    const bool have_started =
        RunUntilTrue(site.m_loop, kMaximumStartDelay,
                     [&] { return site.m_starts == starts + 4; });
    CHECK(have_started);
    CHECK(site.m_violation.empty());
  }
}

// Guards against a job that two leaders start: the earlier one does not know
// yet that it has lost its claim, and the job is stored after the next one has
// read the jobs.
TEST_CASE(
    "A job that is stored soon after a takeover waits for silent workers") {
  FakeSite site(1);
  BuildSite(site);
  RunWithoutFailures(site, std::chrono::milliseconds(500));
  FakeSiteNode* leader = FindLeader(site);
  REQUIRE(leader != nullptr);
  KillSiteNode(site, *leader);
  const WorkerId silent = site.m_workers.begin()->first;
  for (const auto& node : site.m_nodes) {
    node->m_unreachable_workers.insert(silent);
  }
  const bool has_leader = RunUntilTrue(site.m_loop, std::chrono::seconds(7),
                                       [&site] { return FindLeader(site); });
  REQUIRE(has_leader);
  FakeSiteNode& next = *FindLeader(site);
  SubmitToSite(site, next, MakeTestJob(0, 1));
  // The earlier leader trusts its claim for 2 s, and a call of the watch on
  // jobs takes up to 2 s.
  RunFor(site.m_loop, std::chrono::milliseconds(4500));
  CHECK(site.m_starts == 0);
  SubmitToSite(site, next, MakeTestJob(1, 1));
  RunFor(site.m_loop, std::chrono::milliseconds(200));
  CHECK(site.m_starts == 1);
  // The earlier leader's leases have expired.
  RunFor(site.m_loop, std::chrono::seconds(6));
  CHECK(FindUnfinishedJob(site).empty());
}

TEST_CASE("A leader's learned effects are stored for the next one") {
  FakeSite site(1);
  BuildSite(site);
  FakeSiteNode* leader = FindLeader(site);
  REQUIRE(leader != nullptr);
  const ImageId serving("serving");
  const ImageId best_effort("best-effort");
  Interference& learned = leader->m_node->m_leader->m_fleet.m_interference;
  learned.m_pairs[{serving, best_effort}] = {3.0, 1.0};
  learned.m_baselines[serving] = {2.0, 0.1};
  ++learned.m_sample_count;
  RunFor(site.m_loop, std::chrono::seconds(3));
  KillSiteNode(site, *leader);
  const bool has_leader = RunUntilTrue(site.m_loop, std::chrono::seconds(7),
                                       [&site] { return FindLeader(site); });
  REQUIRE(has_leader);
  RunFor(site.m_loop, std::chrono::milliseconds(100));
  const Interference& next =
      FindLeader(site)->m_node->m_leader->m_fleet.m_interference;
  REQUIRE(next.m_pairs.count({serving, best_effort}) == 1);
  CHECK(next.m_pairs.at({serving, best_effort}).m_mean == 3.0);
  CHECK(next.m_baselines.at(serving).m_mean == 2.0);
}

TEST_CASE("A leader on a slow link loads long lists") {
  FakeSite site(1);
  BuildSite(site);
  SubmitToSite(site, *site.m_nodes[0], MakeTestJob(0, 3));
  RunFor(site.m_loop, std::chrono::milliseconds(300));
  site.m_faults.m_list_duration = std::chrono::milliseconds(1000);
  FakeSiteNode* leader = FindLeader(site);
  REQUIRE(leader != nullptr);
  KillSiteNode(site, *leader);
  // The leadership claim expires, and then three lists are read one after the
  // other.
  const bool has_leader =
      RunUntilTrue(site.m_loop, std::chrono::seconds(7),
                   [&site] { return FindLeader(site) != nullptr; });
  CHECK(has_leader);
}

// Guards against leaders that lose their claims in turn, each while it reads a
// long backlog in one turn of its loop.
TEST_CASE("A new leader reads a long backlog in parts") {
  constexpr int kBacklog = 300;
  constexpr std::size_t kMaximumJobsPerTurn = 64;
  FakeSite site(1);
  BuildSite(site);
  for (int number = 0; number < kBacklog; ++number) {
    SubmitToSite(site, *site.m_nodes[0], MakeTestJob(number, 8));
  }
  RunFor(site.m_loop, std::chrono::seconds(1));
  FakeSiteNode* leader = FindLeader(site);
  REQUIRE(leader != nullptr);
  KillSiteNode(site, *leader);
  std::size_t known = 0;
  std::size_t most_in_one_turn = 0;
  site.m_loop.m_check = [&] {
    std::size_t jobs = 0;
    for (const auto& node : site.m_nodes) {
      if (!node->m_is_alive || !node->m_node->m_leader) continue;
      jobs = node->m_node->m_leader->m_fleet.m_jobs.size();
    }
    if (jobs > known)
      most_in_one_turn = std::max(most_in_one_turn, jobs - known);
    known = jobs;
  };
  const bool has_leader =
      RunUntilTrue(site.m_loop, std::chrono::seconds(7),
                   [&site] { return FindLeader(site) != nullptr; });
  site.m_loop.m_check = nullptr;
  REQUIRE(has_leader);
  CHECK(known > kBacklog / 2);
  CHECK(most_in_one_turn <= kMaximumJobsPerTurn);
}

// Guards against a leader with little processor time: when the first
// configuration came, the delays that let larger nodes claim first had passed.
TEST_CASE("The largest node leads although the configuration comes late") {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    INFO("seed " << seed);
    FakeSite site(seed);
    site.m_routes = MakeTestRoutes();
    for (int number = 0; number < 6; ++number) {
      FakeSiteNode& node = AddSiteNode(site, "n" + std::to_string(number));
      const bool is_large = number == 4;
      node.m_node->m_runtime.m_settings.m_processor_share =
          is_large ? 0.5 : 0.07;
    }
    StoreTransaction removal;
    removal.m_removals.push_back(
        site.m_nodes.front()->m_node->m_runtime.m_codec.m_configuration_key);
    Apply(site.m_store, removal);
    RunFor(site.m_loop, std::chrono::seconds(3));
    REQUIRE(FindLeader(site) == nullptr);
    Configure(site, site.m_routes);
    RunFor(site.m_loop, std::chrono::seconds(3));
    REQUIRE(FindLeader(site) != nullptr);
    CHECK(FindLeader(site)->m_name == "n4");
  }
}

}  // namespace daisyarch::fleet
