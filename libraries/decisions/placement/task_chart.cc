#include "decisions/placement/task_chart.h"

namespace daisyarch {

namespace {

bool IsCancelled(const TaskContext& context) {
  return context.m_job.m_is_cancelled;
}

bool MayBeRepeated(const TaskContext& context) {
  if (context.m_end != AttemptEnd::kLost) return true;
  return context.m_job.m_request.m_repeat == RepeatPolicy::kAllowed;
}

bool MayRunAgain(const TaskContext& context) {
  if (context.m_job.m_request.m_repeat == RepeatPolicy::kNever) return false;
  return context.m_task.m_failures + 1 < kMaximumTaskFailures;
}

void Reserve(TaskContext& context) {
  EraseTask(context.m_state.m_queue, PlaceOf(context.m_job),
            context.m_task.m_id);
  ReserveRoom(context.m_state, context.m_job, context.m_task);
}

void Release(TaskContext& context) {
  ReleaseRoom(context.m_state, context.m_job, context.m_task);
}

void NextAttempt(TaskContext& context) {
  Task& task = context.m_task;
  task.m_attempt = Next(task.m_attempt);
  task.m_worker = WorkerId();
  task.m_is_sent = false;
  task.m_start_incarnation = Incarnation();
  PushTask(context.m_state.m_queue, PlaceOf(context.m_job), task.m_id);
}

void KeepCheckpoint(TaskContext& context) {
  context.m_task.m_checkpoint = context.m_checkpoint;
}

void CountFailure(TaskContext& context) { ++context.m_task.m_failures; }

// The state has changed already; it names the end that is counted.
void CountEnded(TaskContext& context) {
  Job& job = context.m_job;
  switch (context.m_task.m_state) {
    case TaskState::kFinished:
      ++job.m_finished;
      break;
    case TaskState::kFailed:
      ++job.m_failed;
      break;
    case TaskState::kUnknown:
      ++job.m_unknown;
      break;
    default:
      ++job.m_cancelled;
      break;
  }
  EraseTask(context.m_state.m_queue, PlaceOf(job), context.m_task.m_id);
}

}  // namespace

ChartBinding<TaskContext> TaskBinding() {
  return {
      {"queued", "starting", "running", "stopping", "finished", "failed",
       "cancelled", "unknown"},
      {"assigned", "started", "stop_requested", "finished", "failed",
       "released", "cancelled"},
      {{"is_cancelled", IsCancelled},
       {"may_be_repeated", MayBeRepeated},
       {"may_run_again", MayRunAgain}},
      {{"reserve_room", Reserve},
       {"release_room", Release},
       {"next_attempt", NextAttempt},
       {"keep_checkpoint", KeepCheckpoint},
       {"count_failure", CountFailure},
       {"count_ended", CountEnded}},
  };
}

}  // namespace daisyarch
