#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "decisions/fleet/job_plan.h"
#include "decisions/fleet/late_start_clock.h"

namespace daisyarch::fleet {

/// States of charts/run.yaml, in the order of RunBinding().
enum class RunState : std::uint8_t {
  kWaiting,
  kStarting,
  kRunning,
  kUnconfirmed,  ///< The start got no answer and may have taken effect.
  kStopping,
  kResending,  ///< The start has not taken effect and is to be sent again.
  kSettling,   ///< Its run is over, but an order may start it again late.
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
  kInterrupted,  ///< The run is over, but neither done nor failed.
  kNotStarted,   ///< The worker's report shows that the start has not taken
                 ///< effect, and will not in this incarnation.
  kResent,
  kSuperseded,  ///< A later run that an earlier leader started is known.
  kAttemptsExhausted,
  kCancelled,
};

/// Whether the order that started a task's latest run has taken effect.
enum class StartConfirmation : std::uint8_t {
  kPending,      ///< The order has no answer yet.
  kConfirmed,    ///< The run has started.
  kUnconfirmed,  ///< The order may take effect until a poll with a higher
                 ///< token is answered.
};

/// One task of a step and its latest run.
struct Task {
  RunState m_state = RunState::kWaiting;
  StartConfirmation m_start_confirmation = StartConfirmation::kPending;
  std::uint8_t m_processor_limit_percent = 100;  ///< 100: unlimited.
  /// The worker is known to apply this limit. False while the order for it has
  /// no answer or has failed, and after an earlier leader may have set another.
  bool m_is_limit_confirmed = true;
  std::uint8_t m_progress_percent = 0;   ///< As last reported.
  std::vector<RunNumber> m_failed_runs;  ///< Without duplicates.
  /// Runs during which the worker crashed and that may have caused it; without
  /// duplicates. See crash_count.h.
  std::vector<RunNumber> m_crashed_runs;
  /// The same for runs in isolation, where the crash may have had another
  /// cause; none of them is in m_crashed_runs.
  std::vector<RunNumber> m_doubtful_runs;
  /// As last reported: the tail latency of a serving task in milliseconds, or
  /// the processor use of any other task in thousandths of a core.
  std::int64_t m_load = 0;
  RunNumber m_run;
  WorkerId m_worker;  ///< Empty while the task is on no worker.
  std::string m_checkpoint;
  /// When the latest start was handed over for sending, or before that, when
  /// it was decided.
  TimePoint m_start_sent_at{};
  TimePoint m_started_at{};  ///< When the start was confirmed; 0 before.
  /// Until then an unconfirmed start may take effect, or its run be active.
  TimePoint m_unconfirmed_until{};
  /// Until then an order that got no answer may start the task; see
  /// late_start.h.
  TimePoint m_late_start_until{};
  WorkerId m_late_start_worker;  ///< The worker that it was sent to.
  /// The same time as an earlier leader stored it, by that one's time of day;
  /// 0: this leader has sent the order, or there is none.
  std::int64_t m_inherited_late_start_unix_ms = 0;
  LateStartClock m_late_start_clock;
  Term m_late_start_term;           ///< Of the leader that sent the order.
  TimePoint m_over_target_since{};  ///< 0: tail latency is within its target.
  TimePoint m_limit_changed_at{};
  TimePoint m_stop_sent_at{};
};

/// The tasks of one step of one occurrence.
struct StepRun {
  std::vector<Task> m_tasks;
  std::uint32_t m_done = 0;
  std::uint32_t m_placed = 0;  ///< In one of the states of IsPlaced().
  std::uint32_t m_waiting = 0;
  bool m_is_released = false;   ///< All steps that it waits for are done.
  TimePoint m_stalled_since{};  ///< 0: not known to be stalled.
  /// In the fleet's waiting steps: its level there, and whether it is among
  /// those of inherited jobs.
  bool m_is_queued = false;
  bool m_is_queued_as_inherited = false;
  std::uint32_t m_queue_level = 0;
};

/// State of a job as reported to its submitter.
enum class JobState : std::uint8_t {
  kQueued,
  kRunning,
  kCompleted,
  kFailed,
  kCancelled,
};

/// Tiers of the jobs of one priority, in the order of placement. Placed jobs
/// come first, since a job has value only once all of it is done.
enum class QueueTier : std::uint8_t {
  kPlaced,   ///< Was placed and has not expired, or is a service.
  kOnTime,   ///< Can still meet its objective.
  kLate,     ///< Misses its objective, but its result still has value.
  kExpired,  ///< Its result will have no value; placed last.
};

/// Position of a job's steps among the waiting steps; the lowest is placed
/// first.
struct QueueRank {
  std::int64_t m_priority = 0;
  QueueTier m_tier = QueueTier::kOnTime;
  TimePoint m_due{};  ///< The job's acceptance plus its objective.

  friend bool operator<(const QueueRank& left, const QueueRank& right) {
    return std::tie(left.m_priority, left.m_tier, left.m_due) <
           std::tie(right.m_priority, right.m_tier, right.m_due);
  }
  friend bool operator==(const QueueRank& left, const QueueRank& right) {
    return std::tie(left.m_priority, left.m_tier, left.m_due) ==
           std::tie(right.m_priority, right.m_tier, right.m_due);
  }
};

/// A job, kept until its end is stored.
struct Job {
  JobPlan m_plan;
  JobState m_state = JobState::kQueued;
  std::vector<StepRun> m_steps;  ///< Ordered by occurrence, then step.
  QueueRank m_rank;
  std::uint32_t m_maximum_attempts = 1;
  std::uint64_t m_placed = 0;      ///< Tasks that may be on a worker.
  std::uint64_t m_unfinished = 0;  ///< Tasks that are not done.
  bool m_is_cancelled = false;
  bool m_has_failed = false;  ///< A task has used all its attempts.
  bool m_was_placed = false;  ///< A task was, though it may not have started.
  /// A start of one of its tasks is known to have taken effect.
  bool m_has_started = false;
  /// An earlier leader may have started it, so that a worker that has not
  /// reported yet may run its tasks.
  bool m_is_inherited = false;
  bool m_is_counted_pending = false;  ///< In Fleet::m_pending_counts.
  /// Parts of its progress that have changed since they were last taken for
  /// storing, and the tasks of each whose rows have; see job_progress.h.
  std::map<ProgressPart, std::set<TaskNumber>> m_changed_parts;
  /// Parts that this leader has taken whole, so that the changed rows suffice.
  std::set<ProgressPart> m_taken_parts;
  /// Part 0 was stored with rows of other parts, as an earlier version did, and
  /// has not been taken since.
  bool m_has_rows_to_move = false;
  /// The number of tasks before each step of an occurrence, and of the whole
  /// occurrence at the end.
  std::vector<std::uint64_t> m_task_offsets;
  TimePoint m_rank_timer_at = TimePoint::max();  ///< max(): none is set.
  TimePoint m_accepted_at{};
  Duration m_objective{};  ///< Target time from acceptance to the end.

  std::size_t StepCount() const { return m_plan.m_steps.size(); }
};

/// Identifies one task of the fleet.
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
    const int jobs = left.m_job.value().compare(right.m_job.value());
    if (jobs != 0) return jobs < 0;
    if (left.m_occurrence != right.m_occurrence) {
      return left.m_occurrence < right.m_occurrence;
    }
    if (left.m_step != right.m_step) return left.m_step < right.m_step;
    return left.m_index < right.m_index;
  }
};

/// Returns the index into Job::m_steps.
inline std::size_t StepRunIndex(const Job& job, std::uint32_t occurrence,
                                std::uint32_t step) {
  return static_cast<std::size_t>(occurrence) * job.StepCount() + step;
}

/// Returns whether a task in this state may be on a worker, or may only start
/// there.
inline bool IsPlaced(RunState state) {
  return state == RunState::kStarting || state == RunState::kRunning ||
         state == RunState::kUnconfirmed || state == RunState::kStopping ||
         state == RunState::kResending || state == RunState::kSettling;
}

/// Returns whether the run is recorded as failed.
bool HasFailedIn(const Task& task, RunNumber run);

/// Records a failed run; returns false if it is recorded already.
bool RecordFailedRun(Task& task, RunNumber run);

/// Returns whether the job has ended: no task is placed, and all are done or
/// the job has failed or is cancelled.
bool HasEnded(const Job& job);

}  // namespace daisyarch::fleet
