#include <catch2/catch.hpp>

#include "fakes/fake_site.h"
#include "fleet/store_keys.h"

namespace daisyarch::fleet {

namespace {

using std::chrono::seconds;

constexpr std::uint32_t kManyTasks = 1000;
// Less than the progress of a job of that many tasks, more than one part of it.
constexpr std::size_t kMaximumValueBytes = 20000;
constexpr int kWorkers = 8;
// The tasks run in 8 turns of up to 1.5 s, some of them more than once.
constexpr Duration kCompletion = seconds(60);
const Resources kCapacity{Millicores(16000), Mebibytes(64000), Accelerators(0)};

// Runs fail as often as those of other sites, but no task three times: of 1,000
// tasks, one in eight jobs would otherwise fail.
void LetNoTaskFailForGood(FakeSite& site, FleetWorkerModel& worker) {
  worker.m_plan_run = [&site, plan = worker.m_plan_run](
                          const TaskReference& task, RunNumber number) {
    constexpr std::size_t kAllowedFailures = 2;
    ModelRun run = plan(task, number);
    const auto failures = site.m_failures.find(task);
    if (failures != site.m_failures.end() &&
        failures->second.size() >= kAllowedFailures) {
      run.m_outcome = RunOutcome::kDone;
    }
    return run;
  };
}

void BuildSite(FakeSite& site, const Resources& capacity = kCapacity,
               int workers = kWorkers) {
  site.m_routes = MakeTestRoutes();
  for (int number = 0; number < workers; ++number) {
    const std::string name = "w" + std::to_string(number);
    AddSiteWorker(site, name, capacity);
    LetNoTaskFailForGood(site, *site.m_workers.at(WorkerId(name)));
  }
  for (int number = 0; number < 3; ++number) {
    AddSiteNode(site, "n" + std::to_string(number));
  }
  RunFor(site.m_loop, seconds(12));
}

void Submit(FakeSite& site, int number, std::uint32_t tasks) {
  SubmitToSite(site, *site.m_nodes.front(), MakeTestJob(number, tasks));
}

bool IsCompleted(const FakeSite& site, int number) {
  return ReadStoredState(site, MakeTestJob(number, 1).m_key) ==
         JobState::kCompleted;
}

std::size_t CountProgressItems(const FakeSite& site, int number) {
  const std::string prefix = ProgressItemKey(MakeTestJob(number, 1).m_key);
  std::size_t count = 0;
  for (const auto& entry : site.m_store.m_entries) {
    if (entry.first.compare(0, prefix.size(), prefix) == 0) ++count;
  }
  return count;
}

std::size_t CountUnacknowledgedEnds(const FakeSite& site) {
  std::size_t count = 0;
  for (const auto& entry : site.m_workers)
    count += entry.second->m_ended.size();
  return count;
}

}  // namespace

// Guards against a job whose progress outgrows one value of the store: nothing
// was stored any more, and no job ended.
TEST_CASE("A job with more progress than one value holds is completed") {
  FakeSite site(1);
  site.m_faults.m_maximum_value_bytes = kMaximumValueBytes;
  BuildSite(site);
  Submit(site, 0, kManyTasks);
  RunFor(site.m_loop, seconds(3));
  Submit(site, 1, 4);
  CHECK(RunUntilTrue(site.m_loop, kCompletion,
                     [&site] { return IsCompleted(site, 1); }));
  CHECK(RunUntilTrue(site.m_loop, kCompletion,
                     [&site] { return IsCompleted(site, 0); }));
  RunFor(site.m_loop, seconds(10));
  CHECK(site.m_violation == "");
  CHECK(site.m_repeated_task == "");
  CHECK(CountUnacknowledgedEnds(site) == 0);
  CHECK(CountProgressItems(site, 0) == 1);
}

// Guards against ends that are not acknowledged for seconds: on a busy loop,
// each transaction of a batch waited for the one before.
TEST_CASE("A busy leader acknowledges the ends of many jobs in time") {
  constexpr int kJobs = 600;
  // The users allow 4 s.
  constexpr Duration kAcknowledgement = seconds(4);
  const Resources capacity{Millicores(400000), Mebibytes(400000),
                           Accelerators(0)};
  FakeSite site(1);
  BuildSite(site, capacity);
  for (const auto& entry : site.m_workers) {
    entry.second->m_plan_run = [&site](const TaskReference&, RunNumber) {
      ModelRun run;
      run.m_ends_at = site.m_loop.m_now + seconds(1);
      return run;
    };
  }
  REQUIRE(FindLeader(site) != nullptr);
  SlowSiteNode(site, *FindLeader(site), std::chrono::milliseconds(200),
               seconds(60));
  for (int number = 0; number < kJobs; ++number) Submit(site, number, 2);
  REQUIRE(RunUntilTrue(site.m_loop, seconds(30),
                       [&site] { return site.m_done.size() == kJobs * 4U; }));
  CHECK(RunUntilTrue(site.m_loop, kAcknowledgement,
                     [&site] { return CountUnacknowledgedEnds(site) == 0; }));
  CHECK(site.m_violation == "");
}

// Guards against ends that are not acknowledged for seconds: a batch with jobs
// of several parts waited for the answers to its transactions one after
// another.
TEST_CASE("A busy leader acknowledges the ends of wide jobs in time") {
  constexpr int kJobs = 60;
  constexpr std::uint32_t kTasks = 160;
  // A report lists at most 500 ends.
  constexpr int kReporters = 24;
  constexpr std::size_t kStarts = kJobs * kTasks;
  // The users allow 4 s.
  constexpr Duration kAcknowledgement = seconds(4);
  const Resources capacity{Millicores(400000), Mebibytes(400000),
                           Accelerators(0)};
  FakeSite site(1);
  BuildSite(site, capacity, kReporters);
  // The tasks of the first steps end together, those of the last steps never.
  const TimePoint ends_at = site.m_loop.m_now + seconds(20);
  for (const auto& entry : site.m_workers) {
    entry.second->m_plan_run = [ends_at](const TaskReference& task, RunNumber) {
      ModelRun run;
      run.m_ends_at = task.m_step == 0 ? ends_at : TimePoint::max();
      return run;
    };
  }
  for (int number = 0; number < kJobs; ++number) Submit(site, number, kTasks);
  REQUIRE(RunUntilTrue(site.m_loop, seconds(15),
                       [&site] { return site.m_starts == kStarts; }));
  REQUIRE(FindLeader(site) != nullptr);
  RunFor(site.m_loop, ends_at - site.m_loop.m_now - seconds(2));
  SlowSiteNode(site, *FindLeader(site), std::chrono::milliseconds(400),
               seconds(20));
  RunFor(site.m_loop, seconds(2));
  CHECK(RunUntilTrue(site.m_loop, kAcknowledgement, [&site] {
    return site.m_done.size() == kStarts && CountUnacknowledgedEnds(site) == 0;
  }));
  CHECK(site.m_violation == "");
}

// Guards against parts of a job's progress that the next leader does not read.
TEST_CASE("The next leader continues a job that is stored in parts") {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    INFO("seed " << seed);
    FakeSite site(seed);
    site.m_faults.m_maximum_value_bytes = kMaximumValueBytes;
    BuildSite(site);
    Submit(site, 0, kManyTasks);
    RunFor(site.m_loop, seconds(3));
    for (int takeover = 0; takeover < 2; ++takeover) {
      REQUIRE(FindLeader(site) != nullptr);
      CHECK(CountProgressItems(site, 0) > 1);
      const std::string name = FindLeader(site)->m_name;
      KillSiteNode(site, *FindLeader(site));
      AddSiteNode(site, name);
      RunFor(site.m_loop, seconds(6));
    }
    CHECK(RunUntilTrue(site.m_loop, kCompletion,
                       [&site] { return IsCompleted(site, 0); }));
    RunFor(site.m_loop, seconds(10));
    CHECK(site.m_violation == "");
    CHECK(site.m_repeated_task == "");
    CHECK(CountProgressItems(site, 0) == 1);
  }
}

// Guards against one write that the store rejects and that holds up all others.
TEST_CASE("A job whose progress is rejected holds up no other job") {
  FakeSite site(1);
  BuildSite(site);
  site.m_faults.m_rejected_write_prefix =
      ProgressItemKey(MakeTestJob(0, 1).m_key);
  Submit(site, 0, 4);
  RunFor(site.m_loop, seconds(2));
  Submit(site, 1, 4);
  CHECK(RunUntilTrue(site.m_loop, seconds(10),
                     [&site] { return IsCompleted(site, 1); }));
  CHECK_FALSE(IsCompleted(site, 0));
  // No end whose outcome may not be stored is acknowledged.
  CHECK(CountUnacknowledgedEnds(site) > 0);
  site.m_faults.m_rejected_write_prefix.clear();
  CHECK(RunUntilTrue(site.m_loop, seconds(10),
                     [&site] { return IsCompleted(site, 0); }));
  RunFor(site.m_loop, seconds(5));
  CHECK(CountUnacknowledgedEnds(site) == 0);
  CHECK(site.m_violation == "");
  CHECK(site.m_repeated_task == "");
}

}  // namespace daisyarch::fleet
