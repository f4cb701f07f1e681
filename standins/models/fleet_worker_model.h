#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "decisions/fleet/fleet.h"

namespace daisyarch::fleet {

/// A task as its worker runs it.
struct ModelRun {
  RunNumber m_run;
  TimePoint m_started_at{};
  TimePoint m_ends_at{};
  RunEnd m_outcome = RunEnd::kDone;
};

/// A worker by the platform's rules: tokens, leases on its own clock, runs
/// that are never older than one that ended.
struct FleetWorkerModel {
  ListedWorker m_listing;
  bool m_is_up = true;
  TimePoint m_process_started_at{};
  FencingToken m_highest_token;
  std::map<TaskReference, ModelRun> m_running;
  std::vector<EndedRow> m_ended;
  std::map<TaskReference, RunNumber> m_closed_runs;
  std::uint64_t m_last_outcome_number = 0;
  WorkerMilliseconds m_lease_until;
  double m_clock_rate = 1.0;  ///< Down to 0.98.

  /// How long a run takes, and how it ends.
  std::function<ModelRun(const TaskReference&, RunNumber)> m_plan_run;
  /// Sees each start and each end as they happen.
  std::function<void(const TaskReference&, RunNumber)> m_on_start;
  std::function<void(const EndedRow&)> m_on_end;
};

WorkerMilliseconds ClockOf(const FleetWorkerModel& model, TimePoint now);

/// Ends what is done, and everything once the lease is over.
void Advance(FleetWorkerModel& model, TimePoint now);

/// Empties the worker; it comes back as another incarnation.
void Crash(FleetWorkerModel& model, TimePoint now);
void Restart(FleetWorkerModel& model, TimePoint now);

StartOutcome Receive(FleetWorkerModel& model, const StartOrder& order,
                     TimePoint now);
/// kConflict for a token below the highest seen.
Result<void> Receive(FleetWorkerModel& model, const StopOrder& order,
                     TimePoint now);
Result<WorkerReport> Receive(FleetWorkerModel& model, const LookOrder& order,
                             TimePoint now);

}  // namespace daisyarch::fleet
