#include <algorithm>
#include <catch2/catch.hpp>

#include "decisions/fleet/played_leader.h"
#include "fakes/fake_site.h"

namespace daisyarch::fleet {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kSeedsInCi = 400;
constexpr std::uint64_t kReports = 3;
constexpr Duration kBetweenReports = milliseconds(400);

std::string PlaySeed(std::uint64_t seed, const PlayFaults& faults) {
  PlayedLeader play(seed);
  play.m_faults = faults;
  play.m_attempts = static_cast<std::uint32_t>(2 + NextBelow(play.m_random, 2));
  TakeOver(play, DrawPast(play.m_random, play.m_attempts));
  return PlayToEnd(play);
}

void PlaySeeds(const PlayFaults& faults) {
  for (std::uint64_t seed = FirstSeed();
       seed < FirstSeed() + SeedCount(kSeedsInCi); ++seed) {
    INFO("seed " << seed);
    CHECK(PlaySeed(seed, faults) == "");
  }
}

// A task with three runs, each at a worker of its own. `late_start_ms` is that
// of the stored run.
PastJob MakePast(const std::vector<PastEnd>& ends, std::uint64_t stored,
                 std::int64_t late_start_ms) {
  PastJob job;
  job.m_plan = MakePlan("job", 1, Millicores(1000));
  PastTask task;
  task.m_task.m_job = job.m_plan.m_key;
  for (std::size_t index = 0; index < ends.size(); ++index) {
    task.m_runs.push_back({PastWorker(index), ends[index]});
  }
  job.m_tasks.push_back(task);
  job.m_tasks.front().m_row =
      RowAt(task, FailedRuns(job, task), stored, false, late_start_ms);
  return job;
}

void PlayAllOrders(const PastJob& past) {
  std::vector<std::uint64_t> order;
  for (std::uint64_t number = 0; number < kReports; ++number) {
    order.push_back(number);
  }
  do {
    PlayedLeader play(1);
    TakeOver(play, {past});
    TimePoint at = play.m_fixture.m_now;
    play.m_first_answers[PastWorker(kReports)] = at;
    for (const std::uint64_t worker : order) {
      play.m_first_answers[PastWorker(worker)] = at += kBetweenReports;
    }
    CHECK(PlayToEnd(play) == "");
  } while (std::next_permutation(order.begin(), order.end()));
}

// The earlier leader had waited until an order for the stored run could take
// effect no more before it started a later one.
void PlayAllRows(const std::vector<PastEnd>& ends) {
  for (std::uint64_t stored = 0; stored <= ends.size(); ++stored) {
    const bool is_last = stored == ends.size();
    PlayAllOrders(MakePast(ends, stored, 0));
    PlayAllOrders(MakePast(ends, stored, is_last ? 4000 : -4000));
  }
}

}  // namespace

// Guards against ends that a new leader acknowledges without effect, so that a
// done task starts again or a task starts beyond its attempts: the leader
// before it could not store its last runs, and three workers report them in
// each possible order.
TEST_CASE("Each order of three reports leads to the same outcome") {
  const std::vector<PastEnd> earlier = {PastEnd::kFailed, PastEnd::kStopped};
  for (const PastEnd first : earlier) {
    for (const PastEnd second : earlier) {
      for (const PastEnd last : {PastEnd::kDone, PastEnd::kFailed,
                                 PastEnd::kStopped, PastEnd::kActive}) {
        PlayAllRows({first, second, last});
      }
    }
  }
}

// Guards against the same with several tasks, gangs and lasting tasks, whose
// runs ended at any of four workers.
TEST_CASE("The order of the first reports changes no outcome") {
  PlayFaults faults;
  faults.m_longest_write = milliseconds(300);
  PlaySeeds(faults);
}

// Guards against the same where orders and answers are lost, so that ends are
// reported again, and where writes take long.
TEST_CASE("The order of reports changes no outcome when answers are lost") {
  PlaySeeds({0.05, 0.05, seconds(2)});
}

// Guards against ends that are lost between several leaders in a row, each of
// which cannot store its last runs.
TEST_CASE("The order of reports changes no outcome when leaders change often") {
  PlaySeeds({0.05, 0.05, milliseconds(500), 3});
}

}  // namespace daisyarch::fleet
