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

// Guards against a leader that is busy with fields that say nothing.
TEST_CASE(
    "Progress is stored without optional fields that have their default") {
  TaskProgress task;
  task.m_run = RunNumber(3);
  Json json = Encode(task);
  for (const char* field :
       {"crashed_runs", "doubtful_runs", "late_start_until_unix_ms",
        "late_start_worker", "late_start_incarnation", "late_start_clock_ms",
        "late_start_restarted_clock_ms", "late_start_term"}) {
    INFO(field);
    CHECK(json.count(field) == 0);
  }
  task.m_doubtful_runs = {RunNumber(2)};
  task.m_late_start_until_unix_ms = 5;
  task.m_late_start_worker = WorkerId("w0");
  task.m_late_start_clock = {Incarnation(7), WorkerMilliseconds(9),
                             WorkerMilliseconds(8)};
  task.m_late_start_term = Term(6);
  json = Encode(task);
  CHECK(json.count("crashed_runs") == 0);
  const auto decoded = Decode<TaskProgress>(json, "read", "store");
  REQUIRE(decoded);
  CHECK(decoded.assume_value().m_crashed_runs.empty());
  CHECK(decoded.assume_value().m_doubtful_runs == task.m_doubtful_runs);
  CHECK(decoded.assume_value().m_late_start_until_unix_ms == 5);
  CHECK(decoded.assume_value().m_late_start_worker == WorkerId("w0"));
  const LateStartClock& clock = decoded.assume_value().m_late_start_clock;
  CHECK(decoded.assume_value().m_late_start_term == Term(6));
  CHECK(clock.m_incarnation == Incarnation(7));
  CHECK(clock.m_until == WorkerMilliseconds(9));
  CHECK(clock.m_until_if_restarted == WorkerMilliseconds(8));
}

}  // namespace daisyarch::fleet
