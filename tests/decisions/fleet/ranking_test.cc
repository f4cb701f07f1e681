#include <catch2/catch.hpp>
#include <ctime>

#include "decisions/fleet/fleet_fixture.h"

namespace daisyarch::fleet {

namespace {

constexpr Millicores kCore{1000};
constexpr Duration kTick = std::chrono::milliseconds(40);
constexpr int kJobs = 5000;

std::string KeyOf(int number) { return "job" + std::to_string(number); }

void AddJobs(FleetFixture& fixture, int jobs, std::uint32_t steps) {
  JobPlan plan = MakePlan("", 1, kCore);
  plan.m_steps.resize(steps, plan.m_steps.front());
  for (int number = 0; number < jobs; ++number) {
    plan.m_key = JobKey(KeyOf(number));
    AddJob(fixture.m_fleet, plan, {}, fixture.m_now);
  }
}

void ChangePriority(FleetFixture& fixture, std::int64_t priority) {
  auto queues = fixture.m_fleet.m_queues;
  for (auto& entry : queues) entry.second.m_priority = priority;
  ApplyQueues(fixture.m_fleet, std::move(queues));
}

bool IsRanked(FleetFixture& fixture, int number, std::int64_t priority) {
  const Job* job = FindJob(fixture.m_fleet, JobKey(KeyOf(number)));
  return job->m_rank.m_priority == priority;
}

}  // namespace

// Guards against one turn of the loop that ranks all accepted jobs, so that a
// claim expires with a long backlog or a change of the configuration.
TEST_CASE("A tick ranks a limited number of jobs, and each job has its turn") {
  FleetFixture fixture;
  AddJobs(fixture, kJobs, 1);
  for (const std::int64_t priority : {0, 3}) {
    ChangePriority(fixture, priority);
    std::uint64_t most = 0;
    for (int tick = 0; tick < 20; ++tick) {
      const std::uint64_t before = fixture.m_fleet.m_work.m_jobs;
      Wait(fixture, kTick);
      most = std::max(most, fixture.m_fleet.m_work.m_jobs - before);
    }
    CHECK(most <= kJobs / 4);
    for (int number = 0; number < kJobs; ++number) {
      if (!IsRanked(fixture, number, priority)) FAIL(KeyOf(number));
    }
  }
}

// Guards against new jobs of little priority that take the room of urgent ones
// until they are ranked.
TEST_CASE("A new job is placed by its priority before it is ranked") {
  FleetFixture fixture;
  AddReadyWorkers(fixture, 1, kCore);
  Queue later = fixture.m_fleet.m_queues.begin()->second;
  later.m_id = QueueId("later");
  later.m_priority = 1;
  fixture.m_fleet.m_queues.emplace(later.m_id, later);
  AddJob(fixture.m_fleet, MakePlan("urgent", 1, kCore), {}, fixture.m_now);
  Wait(fixture, std::chrono::milliseconds(300));
  JobPlan plan = MakePlan("late", 1, kCore);
  plan.m_queue.m_id = later.m_id;
  Submit(fixture, plan);
  const auto starts = TakeOrders<StartOrder>(fixture);
  REQUIRE(starts.size() == 1);
  CHECK(starts[0].m_task.m_job == JobKey("urgent"));
}

// Guards against jobs that keep their rank while others change all the time.
TEST_CASE("Jobs that change often leave the others their turn in the ranking") {
  FleetFixture fixture;
  AddJobs(fixture, kJobs, 1);
  ChangePriority(fixture, 3);
  for (int tick = 0; tick < 20; ++tick) {
    for (int number = 0; number < kJobs / 2; ++number) {
      fixture.m_fleet.m_unranked_jobs.insert(JobKey(KeyOf(number)));
    }
    Wait(fixture, kTick);
  }
  for (int number = 0; number < kJobs; ++number) {
    if (!IsRanked(fixture, number, 3)) FAIL(KeyOf(number));
  }
}

// Guards against a new rank that costs the more the more steps a job has: each
// waiting step was moved by itself.
TEST_CASE("A new rank of a job with many steps moves one entry") {
  FleetFixture fixture;
  constexpr int kLargeJobs = 400;
  constexpr std::uint32_t kSteps = 1000;
  AddJobs(fixture, kLargeJobs, kSteps);
  Wait(fixture, std::chrono::milliseconds(300));
  const std::clock_t before = std::clock();
  ChangePriority(fixture, 3);
  Wait(fixture, std::chrono::milliseconds(300));
  // A node has a tenth of a core, and a claim lasts for some seconds.
  CHECK(std::clock() - before < CLOCKS_PER_SEC / 10);
  CHECK(IsRanked(fixture, kLargeJobs - 1, 3));
  CHECK(fixture.m_fleet.m_waiting_reserved.m_groups.begin()->second.size() ==
        kLargeJobs);
}

}  // namespace daisyarch::fleet
