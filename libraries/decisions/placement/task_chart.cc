#include "decisions/placement/task_chart.h"

namespace daisyarch {

namespace {

bool IsCancelled(const TaskContext& context) {
  return context.m_job.m_is_cancelled;
}

bool MayRepeatAttempt(const TaskContext& context) {
  if (context.m_outcome != AttemptOutcome::kLost) return true;
  return context.m_job.m_request.m_repeat == RepeatPolicy::kAllowed;
}

bool MayRetryFailure(const TaskContext& context) {
  if (context.m_job.m_request.m_repeat == RepeatPolicy::kNever) return false;
  return context.m_task.m_failures + 1 < kMaximumTaskFailures;
}

void ReserveForTask(TaskContext& context) {
  EraseTask(context.m_state.m_queue, MakeQueueKey(context.m_job),
            context.m_task.m_id);
  ReserveCapacity(context.m_state, context.m_job, context.m_task);
}

void ReleaseForTask(TaskContext& context) {
  ReleaseCapacity(context.m_state, context.m_job, context.m_task);
}

void QueueNextAttempt(TaskContext& context) {
  Task& task = context.m_task;
  task.m_attempt = Next(task.m_attempt);
  task.m_worker = WorkerId();
  task.m_is_start_sent = false;
  task.m_start_incarnation = Incarnation();
  PushTask(context.m_state.m_queue, MakeQueueKey(context.m_job), task.m_id);
}

void KeepCheckpoint(TaskContext& context) {
  context.m_task.m_checkpoint = context.m_checkpoint;
}

void CountFailure(TaskContext& context) { ++context.m_task.m_failures; }

// The state machine changes the state before it runs actions, so the new
// state determines which counter to increment.
void RecordEndedTask(TaskContext& context) {
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
  EraseTask(context.m_state.m_queue, MakeQueueKey(job), context.m_task.m_id);
}

}  // namespace

ChartBinding<TaskContext> TaskBinding() {
  return {
      {"queued", "starting", "running", "stopping", "finished", "failed",
       "cancelled", "unknown"},
      {"assigned", "started", "stop_requested", "finished", "failed",
       "released", "cancelled"},
      {{"is_cancelled", IsCancelled},
       {"may_repeat_attempt", MayRepeatAttempt},
       {"may_retry_failure", MayRetryFailure}},
      {{"reserve_capacity", ReserveForTask},
       {"release_capacity", ReleaseForTask},
       {"queue_next_attempt", QueueNextAttempt},
       {"keep_checkpoint", KeepCheckpoint},
       {"count_failure", CountFailure},
       {"record_ended_task", RecordEndedTask}},
  };
}

}  // namespace daisyarch
