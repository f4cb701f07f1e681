#pragma once

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "decisions/fleet/job_plan.h"

namespace daisyarch::fleet {

/// States of charts/run.yaml, in the order of RunBinding().
enum class RunState : std::uint8_t {
  kWaiting,
  kStarting,
  kRunning,
  kUnconfirmed,  ///< The start had no answer; it may have taken effect.
  kStopping,
  kDone,
  kFailed,
  kCancelled,
};

/// Events of charts/run.yaml, in the order of RunBinding().
enum class RunEvent : std::uint8_t {
  kPlaced,
  kStarted,
  kStartUnanswered,
  kStopRequested,
  kCompleted,
  kRunFailed,
  kInterrupted,  ///< Ended by no fault of the task's.
  kAttemptsExhausted,
  kCancelled,
};

/// What is known of the order that started a task's latest run.
enum class StartConfirmation : std::uint8_t {
  kPending,      ///< On its way.
  kConfirmed,    ///< Took effect.
  kUnconfirmed,  ///< May take effect until a look under a higher token.
};

/// One task of a step, and where its latest run is.
struct Task {
  RunState m_state = RunState::kWaiting;
  StartConfirmation m_start_confirmation = StartConfirmation::kPending;
  std::uint8_t m_processor_limit_percent = 100;
  std::uint8_t m_progress_percent = 0;   ///< As last reported.
  std::vector<RunNumber> m_failed_runs;  ///< Each failure counts once.
  /// As last reported: the tail in ms of a serving task, or else the
  /// processors in use in thousandths of a core.
  std::int64_t m_load = 0;
  RunNumber m_run;
  WorkerId m_worker;  ///< Empty while the task is nowhere.
  std::string m_checkpoint;
  TimePoint m_started_at{};  ///< When the start was answered.
  TimePoint m_over_target_since{};
  TimePoint m_limit_changed_at{};
  TimePoint m_stop_sent_at{};
};

/// The tasks of one step of one occurrence.
struct StepRun {
  std::vector<Task> m_tasks;
  std::uint32_t m_done = 0;
  std::uint32_t m_placed = 0;  ///< Starting, running, unsettled or stopping.
  std::uint32_t m_waiting = 0;
  bool m_is_released = false;  ///< All earlier steps are done.
};

/// How a job stands, as its submitter sees it.
enum class JobState : std::uint8_t {
  kQueued,
  kRunning,
  kCompleted,
  kFailed,
  kCancelled,
};

/// Jobs of one priority, in the order in which they get room. A job that has
/// begun is worth something only once all of it is done.
enum class QueueTier : std::uint8_t {
  kStarted,  ///< And can still end in time or late.
  kOnTime,   ///< Can still meet its objective.
  kLate,     ///< Can still be worth something.
  kExpired,  ///< Is run all the same, when there is room.
};

/// Lower is sooner.
struct QueueRank {
  std::int64_t m_priority = 0;
  QueueTier m_tier = QueueTier::kOnTime;
  TimePoint m_due{};  ///< The end of the job's objective.

  friend bool operator<(const QueueRank& left, const QueueRank& right) {
    return std::tie(left.m_priority, left.m_tier, left.m_due) <
           std::tie(right.m_priority, right.m_tier, right.m_due);
  }
  friend bool operator==(const QueueRank& left, const QueueRank& right) {
    return std::tie(left.m_priority, left.m_tier, left.m_due) ==
           std::tie(right.m_priority, right.m_tier, right.m_due);
  }
};

/// A job that the leader keeps until it has ended and that is stored.
struct Job {
  JobPlan m_plan;
  JobState m_state = JobState::kQueued;
  std::vector<StepRun> m_steps;  ///< By occurrence, then step.
  QueueRank m_rank;
  std::uint32_t m_maximum_attempts = 1;
  std::uint64_t m_placed = 0;      ///< Tasks that may be on a worker.
  std::uint64_t m_unfinished = 0;  ///< Tasks that are not done.
  bool m_is_cancelled = false;
  bool m_has_failed = false;  ///< A task used up its attempts.
  bool m_has_started = false;
  /// Known before this term; a worker that is silent may run its tasks.
  bool m_is_inherited = false;
  TimePoint m_accepted_at{};
  Duration m_objective{};  ///< From acceptance to the end.

  std::size_t StepCount() const { return m_plan.m_steps.size(); }
};

/// Names one task of the fleet.
struct TaskReference {
  JobKey m_job;
  std::uint32_t m_occurrence = 0;
  std::uint32_t m_step = 0;
  std::uint32_t m_index = 0;

  friend bool operator==(const TaskReference& left,
                         const TaskReference& right) {
    return left.m_index == right.m_index && left.m_step == right.m_step &&
           left.m_occurrence == right.m_occurrence && left.m_job == right.m_job;
  }
  friend bool operator<(const TaskReference& left, const TaskReference& right) {
    if (left.m_job != right.m_job) return left.m_job < right.m_job;
    if (left.m_occurrence != right.m_occurrence) {
      return left.m_occurrence < right.m_occurrence;
    }
    if (left.m_step != right.m_step) return left.m_step < right.m_step;
    return left.m_index < right.m_index;
  }
};

inline std::size_t StepRunIndex(const Job& job, std::uint32_t occurrence,
                                std::uint32_t step) {
  return static_cast<std::size_t>(occurrence) * job.StepCount() + step;
}

inline bool IsPlaced(RunState state) {
  return state == RunState::kStarting || state == RunState::kRunning ||
         state == RunState::kUnconfirmed || state == RunState::kStopping;
}

/// What has to outlive the leader: the ends and attempts of a job's tasks.
struct TaskProgress {
  std::uint32_t m_step_run = 0;
  std::uint32_t m_index = 0;
  bool m_is_done = false;
  std::vector<RunNumber> m_failed_runs;
  RunNumber m_run;
  std::string m_checkpoint;
};

struct JobProgress {
  JobState m_state = JobState::kQueued;
  std::int64_t m_ended_unix_ms = 0;   ///< 0 while the job is open.
  std::vector<TaskProgress> m_tasks;  ///< Without those never started.
};

/// What of the job has to be stored.
JobProgress ProgressOf(const Job& job);

/// Notes that a run failed; false when that is known already.
bool RecordFailedRun(Task& task, RunNumber run);

/// True when nothing of the job is left to run or to stop.
bool HasEnded(const Job& job);

}  // namespace daisyarch::fleet
