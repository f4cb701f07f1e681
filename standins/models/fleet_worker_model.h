#pragma once

#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "decisions/fleet/fleet.h"

namespace daisyarch::fleet {

/// A run of a task at the worker.
struct ModelRun {
  RunNumber m_run;
  TimePoint m_started_at{};
  TimePoint m_ends_at{};  ///< At the present limit; never while it is paused.
  RunOutcome m_outcome = RunOutcome::kDone;
  std::uint8_t m_limit_percent = 100;  ///< 0: paused.
  Duration m_work_left{};              ///< While paused: time left unlimited.
  /// It continues from its checkpoint: the work done, in milliseconds.
  bool m_saves_progress = false;
  Duration m_work{};  ///< From the task's beginning, unlimited.
};

/// A model of a worker that follows the platform's rules: it rejects orders
/// with a lower fencing token than it has seen, ends its runs when its lease
/// expires by its own clock, and starts only runs with a higher number than the
/// task's last ended or stopped run.
struct FleetWorkerModel {
  ListedWorker m_listing;
  bool m_is_up = true;
  /// While it is down: only its process has crashed, so its host closes
  /// connections and refuses new ones. False after a loss of power.
  bool m_is_host_up = false;
  TimePoint m_process_started_at{};
  FencingToken m_highest_token;
  std::map<TaskReference, ModelRun> m_running;
  std::vector<EndedRun> m_ended;
  /// The highest run of each task that has ended or was stopped.
  std::map<TaskReference, RunNumber> m_closed_runs;
  std::uint64_t m_last_outcome_number = 0;
  /// A report lists at most this many ended runs, the earliest first.
  std::size_t m_maximum_listed_ends = 500;
  WorkerMilliseconds m_lease_until;
  /// A longer lease is shortened to this.
  Duration m_longest_lease = std::chrono::seconds(10);
  /// Runs up to this number had ended when the lease last expired.
  OutcomeNumber m_last_end_before_lapse;
  double m_clock_rate = 1.0;  ///< Clock time per virtual time, 0.98 to 1.
  /// Until then it refuses starts and throttle orders, but answers polls.
  TimePoint m_unhealthy_until{};
  /// The capacities that the worker had earlier, and until when.
  std::vector<std::pair<TimePoint, Resources>> m_earlier_capacities;

  /// Returns when a run ends, and with which outcome.
  std::function<ModelRun(const TaskReference&, RunNumber)> m_plan_run;
  /// Returns the load that the worker reports for a run; see Task::m_load.
  std::function<std::int64_t(const TaskReference&, const ModelRun&)> m_load_of;
  /// Called for each run that starts, and for each that ends.
  std::function<void(const TaskReference&, RunNumber)> m_on_start;
  std::function<void(const EndedRun&)> m_on_end;
  /// Called for each ended run that the worker forgets because it was
  /// acknowledged, unless the lease expired in between.
  std::function<void(const EndedRun&)> m_on_acknowledged;
};

/// Returns the time since the worker process started, by its own clock.
WorkerMilliseconds ClockOf(const FleetWorkerModel& model, TimePoint now);

/// Ends the runs that are due, and every run once the lease has expired.
void Advance(FleetWorkerModel& model, TimePoint now);

/// Ends the worker process, as a loss of power does; its runs and everything
/// that it knew are lost.
void Crash(FleetWorkerModel& model, TimePoint now);
/// The same, but its host stays up.
void CrashProcess(FleetWorkerModel& model, TimePoint now);
/// Starts the worker process again, as another incarnation.
void Restart(FleetWorkerModel& model, TimePoint now);

/// Changes the capacity; the runs go on.
void SetCapacity(FleetWorkerModel& model, const Resources& capacity,
                 TimePoint now);
/// Returns, for each resource, the most that the worker has had since then.
Resources LargestCapacitySince(const FleetWorkerModel& model, TimePoint since);
/// Returns the answer to a poll at this time.
WorkerReport ReportOf(const FleetWorkerModel& model, TimePoint now);

StartOutcome Receive(FleetWorkerModel& model, const StartOrder& order,
                     TimePoint now);
/// These return kConflict for a fencing token below the highest seen.
Result<void> Receive(FleetWorkerModel& model, const StopOrder& order,
                     TimePoint now);
/// Returns kUnavailable while the worker is unhealthy.
Result<void> Receive(FleetWorkerModel& model, const ThrottleOrder& order,
                     TimePoint now);
Result<WorkerReport> Receive(FleetWorkerModel& model, const PollOrder& order,
                             TimePoint now);

}  // namespace daisyarch::fleet
