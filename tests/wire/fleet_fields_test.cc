#include "wire/fleet_fields.h"

#include <catch2/catch.hpp>

namespace daisyarch::fleet {

// Guards against a leader that cannot load the jobs of an earlier version.
TEST_CASE("Progress that was stored without crashes is readable") {
  JobProgress progress;
  progress.m_state = JobState::kRunning;
  TaskProgress task;
  task.m_run = RunNumber(3);
  task.m_crashed_runs = {RunNumber(2)};
  task.m_doubtful_runs = {RunNumber(3)};
  progress.m_tasks.push_back(task);
  Json json = Encode(progress);
  const auto current = Decode<JobProgress>(json, "read", "store");
  REQUIRE(current);
  CHECK(current.assume_value().m_tasks.front().m_crashed_runs ==
        task.m_crashed_runs);
  CHECK(current.assume_value().m_tasks.front().m_doubtful_runs ==
        task.m_doubtful_runs);
  json["tasks"][0].erase("crashed_runs");
  json["tasks"][0].erase("doubtful_runs");
  const auto earlier = Decode<JobProgress>(json, "read", "store");
  REQUIRE(earlier);
  CHECK(earlier.assume_value().m_tasks.front().m_run == RunNumber(3));
  CHECK(earlier.assume_value().m_tasks.front().m_crashed_runs.empty());
  CHECK(earlier.assume_value().m_tasks.front().m_doubtful_runs.empty());
}

}  // namespace daisyarch::fleet
