#include <catch2/catch.hpp>

#include "decisions/fleet/fleet_fixture.h"
#include "decisions/fleet/late_start.h"

namespace daisyarch::fleet {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Millicores kCore{1000};
constexpr std::int64_t kUnixMs = 1'700'000'000'000;

// Loads a task that waits, with a late start at a worker that never answers.
void Load(FleetFixture& fixture) {
  Fleet& fleet = fixture.m_fleet;
  SetTime(fleet, fixture.m_now, kUnixMs);
  fleet.m_terms_seen_at.emplace(fleet.m_term, fixture.m_now);
  TaskProgress row;
  row.m_run = RunNumber(5);
  row.m_late_start_until_unix_ms =
      kUnixMs + ToMilliseconds(LongestEffectDelay(fleet.m_limits));
  row.m_late_start_worker = WorkerId("silent");
  row.m_late_start_term = Term(1);
  JobProgress progress;
  progress.m_state = JobState::kRunning;
  progress.m_tasks = {row};
  AddJob(fleet, MakePlan("job", 1, kCore), progress, fixture.m_now);
  ApplyRosterLoaded(fleet, {WorkerId("silent"), "silent"},
                    fixture.m_now + fleet.m_limits.m_inherited_lease);
  AddReadyWorkers(fixture, 2, kCore);
}

}  // namespace

// Guards against two runs: a restarted worker that this leader cannot reach may
// take the order at the last moment, and then holds the longest lease.
TEST_CASE("An inherited late start is awaited together with its lease") {
  FleetFixture fixture;
  const TimePoint loaded_at = fixture.m_now;
  Load(fixture);
  const FleetLimits& limits = fixture.m_fleet.m_limits;
  const TimePoint until =
      loaded_at + LongestEffectDelay(limits) + limits.m_longest_lease;
  while (fixture.m_now < until) {
    Wait(fixture, milliseconds(50));
    for (const char* worker : {"w0", "w1"}) {
      if (FindWorker(fixture.m_fleet, WorkerId(worker))->m_is_polling) {
        Report(fixture, worker, {}, {});
      }
    }
    PlaceRuns(fixture.m_fleet, fixture.m_now);
    const bool is_started = !TakeOrders<StartOrder>(fixture).empty();
    INFO("started " << ToMilliseconds(fixture.m_now - loaded_at)
                    << " ms after loading");
    REQUIRE_FALSE(is_started);
  }
}

}  // namespace daisyarch::fleet
