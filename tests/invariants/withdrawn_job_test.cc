#include <algorithm>
#include <catch2/catch.hpp>

#include "fakes/fake_site.h"
#include "fleet/job_service.h"
#include "fleet/store_keys.h"

namespace daisyarch::fleet {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const Resources kCapacity{Millicores(4000), Mebibytes(8000), Accelerators(0)};
constexpr Duration kDeadline = seconds(3);
// The store carries a write out 6 s late at most.
constexpr Duration kUntilOver = seconds(12);

void BuildSite(FakeSite& site) {
  site.m_routes = MakeTestRoutes();
  for (const char* name : {"w0", "w1"}) AddSiteWorker(site, name, kCapacity);
  for (const char* name : {"n0", "n1", "n2"}) AddSiteNode(site, name);
  RunFor(site.m_loop, seconds(12));
}

// Receives the last answer to a call; nullopt: there is none yet.
using LastAnswer = std::shared_ptr<std::optional<Acceptance>>;

LastAnswer SubmitOnce(FakeSite& site, std::size_t node, const JobPlan& plan) {
  auto answer = std::make_shared<std::optional<Acceptance>>();
  site.m_submitted.emplace(plan.m_key, plan);
  AcceptJob(site.m_nodes.at(node)->m_node->m_runtime, plan,
            site.m_loop.m_now + kDeadline,
            [answer](Acceptance acceptance) { *answer = acceptance; });
  return answer;
}

LastAnswer CancelOnce(FakeSite& site, std::size_t node, const JobKey& key) {
  auto answer = std::make_shared<std::optional<Acceptance>>();
  CancelStoredJob(site.m_nodes.at(node)->m_node->m_runtime, key,
                  site.m_loop.m_now + kDeadline,
                  [answer](Acceptance acceptance) { *answer = acceptance; });
  return answer;
}

std::size_t CountWithdrawals(const FakeSite& site) {
  return static_cast<std::size_t>(
      std::count_if(site.m_store.m_entries.begin(),
                    site.m_store.m_entries.end(), [](const auto& entry) {
                      return entry.first.compare(0, kWithdrawnPrefix.size(),
                                                 kWithdrawnPrefix) == 0;
                    }));
}

}  // namespace

// Guards against a job that runs although its cancellation was answered with
// "no such job": its submission took effect after that.
TEST_CASE("A job that is cancelled before it is stored never runs") {
  const std::size_t cancelling = GENERATE(std::size_t{0}, std::size_t{1});
  INFO("cancelled at node " << cancelling);
  FakeSite site(1);
  BuildSite(site);
  const JobPlan plan = MakeTestJob(0, 2);
  LastAnswer submitted;
  SECTION("the node repeats the write") {
    site.m_faults.m_lost_write_prefix = kJobPrefix;
    submitted = SubmitOnce(site, 0, plan);
    RunFor(site.m_loop, milliseconds(500));
  }
  SECTION("the store carries the write out late") {
    site.m_faults.m_late_effect_probability = 1;
    submitted = SubmitOnce(site, 0, plan);
    site.m_faults.m_late_effect_probability = 0;
    RunFor(site.m_loop, milliseconds(500));
  }
  site.m_faults = SiteFaults();
  const LastAnswer cancelled = CancelOnce(site, cancelling, plan.m_key);
  RunFor(site.m_loop, milliseconds(500));
  REQUIRE(cancelled->has_value());
  CHECK(**cancelled == Acceptance::kNoSuchJob);
  RunFor(site.m_loop, kUntilOver);
  CHECK(**submitted == Acceptance::kWithdrawn);
  CHECK(site.m_starts == 0);
  // A later submission is told the same.
  submitted = SubmitOnce(site, 2, plan);
  RunFor(site.m_loop, kUntilOver);
  CHECK(**submitted == Acceptance::kWithdrawn);
  CHECK(site.m_starts == 0);
}

// Guards against the same where both requests race, in either order: the job
// runs only if it was accepted and its cancellation says so.
TEST_CASE("A submission and a cancellation that meet agree") {
  for (std::uint64_t seed = FirstSeed(); seed < FirstSeed() + SeedCount(40);
       ++seed) {
    INFO("seed " << seed);
    FakeSite site(seed);
    BuildSite(site);
    const JobPlan plan = MakeTestJob(0, 2);
    site.m_faults.m_answer_loss_probability = 0.3;
    site.m_faults.m_late_effect_probability = 0.3;
    const LastAnswer submitted = SubmitOnce(site, 0, plan);
    RunFor(site.m_loop,
           DelayBetween(site.m_loop, Duration{}, milliseconds(20)));
    const LastAnswer cancelled = CancelOnce(site, seed % 3, plan.m_key);
    RunFor(site.m_loop, kDeadline + seconds(2));
    site.m_faults = SiteFaults();
    REQUIRE(cancelled->has_value());
    if (**cancelled != Acceptance::kNoSuchJob) continue;
    RunFor(site.m_loop, kUntilOver);
    CHECK(site.m_store.m_entries.count(JobItemKey(plan.m_key)) == 0);
    CHECK(site.m_starts == 0);
    CHECK(**submitted != Acceptance::kStored);
  }
}

// Guards against "no such job" while nothing keeps the submission from taking
// effect.
TEST_CASE("A cancellation that is not stored says so") {
  FakeSite site(1);
  BuildSite(site);
  site.m_faults.m_lost_write_prefix = kWithdrawnPrefix;
  const LastAnswer cancelled = CancelOnce(site, 0, JobKey("job-0"));
  RunFor(site.m_loop, kDeadline + seconds(2));
  REQUIRE(cancelled->has_value());
  CHECK(**cancelled == Acceptance::kUnknown);
}

// Guards against cancellations of jobs that never existed which take the
// store's writes from everything else, or stay in the store for good.
TEST_CASE("Withdrawals share writes and are removed in the end") {
  constexpr int kCancellations = 1000;
  constexpr std::uint64_t kMaximumRevisions = 80;
  FakeSite site(1);
  BuildSite(site);
  const StoreRevision before = site.m_store.m_revision;
  std::vector<LastAnswer> answers;
  for (int number = 0; number < kCancellations; ++number) {
    answers.push_back(
        CancelOnce(site, 0, JobKey("unknown-" + std::to_string(number))));
  }
  RunFor(site.m_loop, milliseconds(500));
  // Ten each 100 ms.
  CHECK(CountWithdrawals(site) <= 60);
  RunFor(site.m_loop, kDeadline + milliseconds(500));
  // 30 writes of the node, and what the workers write of themselves.
  CHECK(site.m_store.m_revision.value() - before.value() < kMaximumRevisions);
  std::size_t stored = 0;
  for (const LastAnswer& answer : answers) {
    REQUIRE(answer->has_value());
    stored += **answer == Acceptance::kNoSuchJob ? 1 : 0;
    CHECK((**answer == Acceptance::kNoSuchJob ||
           **answer == Acceptance::kNotRun));
  }
  CHECK(stored > 0);
  CHECK(CountWithdrawals(site) == stored);
  // The retention period of the site is 600 s.
  RunFor(site.m_loop, seconds(600 + 30 + 60));
  CHECK(CountWithdrawals(site) == 0);
}

}  // namespace daisyarch::fleet
