#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/resources.h"
#include "base/time.h"
#include "decisions/fleet/fleet_job.h"
#include "decisions/fleet/interference.h"

namespace daisyarch::fleet {

/// A reading of a worker's own steady clock, in milliseconds.
using WorkerMilliseconds = Quantity<struct WorkerMillisecondsTag>;

/// States of charts/fleet_worker.yaml, in the order of WorkerBinding().
enum class WorkerState : std::uint8_t {
  kUnverified,
  kReady,
  kSilent,
  kLapsed,
  kGone,
};

/// Events of charts/fleet_worker.yaml, in the order of WorkerBinding().
enum class WorkerEvent : std::uint8_t {
  kReported,
  kOrderUnanswered,
  kLookFailed,
  kReborn,
  kLeaseLapsed,
  kDelisted,
};

/// A worker as the platform's list names it.
struct ListedWorker {
  WorkerId m_worker;
  Incarnation m_incarnation;  ///< 0: not said.
  PoolId m_pool;
  std::string m_address;
  FailureDomainId m_failure_domain;
  Resources m_capacity;
  std::vector<std::string> m_labels;  ///< Its kind and its rack.
  bool m_is_leaving = false;
};

/// One row of what a worker runs.
struct RunningRow {
  TaskReference m_task;
  RunNumber m_run;
  std::string m_checkpoint;
  std::uint8_t m_progress_percent = 0;
  std::int64_t m_load = 0;  ///< Serving: the tail in ms; else processors used.
};

/// How a run ended, as the worker tells it.
enum class RunEnd : std::uint8_t {
  kDone,
  kFailed,
  kStopped,
  kLapsed,
  kBroken,  ///< Another member of its gang ended.
  kAlone,   ///< The other members of its gang never came.
};

struct EndedRow {
  OutcomeNumber m_number;
  TaskReference m_task;
  RunNumber m_run;
  RunEnd m_end = RunEnd::kStopped;
  std::string m_checkpoint;
};

/// What a worker answers to a look.
struct WorkerReport {
  Incarnation m_incarnation;
  WorkerMilliseconds m_clock;
  std::vector<RunningRow> m_running;
  std::vector<EndedRow> m_ended;
};

/// A worker of the fleet.
struct Worker {
  ListedWorker m_listing;
  bool m_is_listed = true;
  bool m_is_in_roster = false;  ///< A later leader will find it.
  WorkerState m_state = WorkerState::kUnverified;
  FencingToken m_token;  ///< Of every order from now on.
  Resources m_used;
  std::set<TaskReference> m_runs;
  ServingImages m_serving;     ///< Runs with a latency target.
  FillerImages m_fillers;      ///< Runs on leftover processors.
  Millicores m_filler_demand;  ///< What these would use if they could.
  /// Of the serving images; empty until asked for after a change.
  std::vector<ServingHeadroom> m_headrooms;

  bool m_is_looking = false;
  std::uint64_t m_look = 0;  ///< Number of the latest look.
  TimePoint m_look_sent_at{};
  TimePoint m_next_look_at{};

  OutcomeNumber m_seen_end;    ///< The last end that was applied.
  OutcomeNumber m_stored_end;  ///< Ends up to here are stored.
  OutcomeNumber m_acknowledged_end;

  bool m_has_clock = false;
  WorkerMilliseconds m_clock;  ///< As last reported.
  TimePoint m_clock_read_at{};
  WorkerMilliseconds m_lease_until;  ///< The latest deadline sent.

  /// Until then it may run tasks that an earlier leader started and that it
  /// has not been asked about; past once it has answered.
  TimePoint m_unseen_until{};

  /// Its new life, not heard from yet, runs nothing that was started before
  /// that life was known, once this is past; 0: nothing is in doubt.
  TimePoint m_doubt_ends_at{};

  std::uint32_t m_failures_in_row = 0;  ///< Runs that failed without a success.
  TimePoint m_aside_until{};
  /// Runs that no job of the fleet knows; their room is not known either.
  std::uint32_t m_strays = 0;
};

}  // namespace daisyarch::fleet
