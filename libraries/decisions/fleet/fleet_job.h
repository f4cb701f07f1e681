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
#include "decisions/fleet/occurrence_set.h"
#include "decisions/fleet/step_run.h"
#include "decisions/fleet/waiting_group.h"

namespace daisyarch::fleet {

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

/// An occurrence of a job that has begun and is not over.
struct Occurrence {
  std::vector<StepRun> m_steps;
  std::uint32_t m_steps_left = 0;  ///< Steps whose tasks are not all freed.
};

/// A job, kept until its end is stored.
struct Job {
  JobPlan m_plan;
  StepGraph m_graph;
  Duration m_critical_path{};
  bool m_is_service = false;  ///< One of its steps is a service.
  JobState m_state = JobState::kQueued;
  /// The occurrences that have begun and are not over; see occurrences.h.
  std::map<std::uint32_t, Occurrence> m_occurrences;
  OccurrenceSet m_finished_occurrences;  ///< Those that are over.
  /// Of a timed job: the first that has not begun.
  std::uint32_t m_next_occurrence = 0;
  /// That one is due, but too many others have begun.
  bool m_is_held_back = false;
  std::size_t m_queued_steps = 0;  ///< Step runs with StepRun::m_is_queued.
  /// These step runs, by what they use and their group in the fleet's waiting
  /// steps.
  std::map<std::pair<ProcessorUse, WaitingGroup>, QueuedSteps> m_queues;
  /// How many of them have each remaining critical path.
  std::map<Duration, std::size_t> m_queued_paths;
  QueueRank m_rank;
  std::int64_t m_priority = 0;  ///< Of its queue; its next rank has it.
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

/// Numbers the step runs of a job by occurrence, then step.
inline std::size_t StepRunIndex(const Job& job, std::uint32_t occurrence,
                                std::uint32_t step) {
  return static_cast<std::size_t>(occurrence) * job.StepCount() + step;
}

/// Returns the reference to a task of the step run.
inline TaskReference ReferenceOf(const Job& job, std::size_t step_run_index,
                                 std::size_t task_index) {
  return {job.m_plan.m_key,
          static_cast<std::uint32_t>(step_run_index / job.StepCount()),
          static_cast<std::uint32_t>(step_run_index % job.StepCount()),
          static_cast<std::uint32_t>(task_index)};
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
