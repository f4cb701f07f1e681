#include "decisions/placement/apply_record.h"

namespace daisyarch {

namespace {

TaskEvent EventForOutcome(AttemptOutcome outcome) {
  switch (outcome) {
    case AttemptOutcome::kFinished:
      return TaskEvent::kFinished;
    case AttemptOutcome::kFailed:
      return TaskEvent::kFailed;
    case AttemptOutcome::kStopped:
    case AttemptOutcome::kNotRun:
    case AttemptOutcome::kLost:
      return TaskEvent::kReleased;
  }
  return TaskEvent::kReleased;
}

struct RecordApplier {
  PartitionState& m_state;
  const TaskStateMachine& m_state_machine;

  void operator()(const JobAccepted& record) const {
    Job job;
    job.m_id = record.m_job;
    job.m_request = record.m_request;
    const auto [entry, is_new] = m_state.m_jobs.emplace(record.m_job, job);
    if (!is_new) return;
    for (std::uint32_t index = 0; index < job.m_request.m_task_count; ++index) {
      Task task;
      task.m_id = TaskId{record.m_job, index};
      m_state.m_tasks.emplace(task.m_id, task);
      PushTask(m_state.m_queue, MakeQueueKey(entry->second), task.m_id);
    }
  }

  void operator()(const JobCancelled& record) const {
    const auto job = m_state.m_jobs.find(record.m_job);
    if (job == m_state.m_jobs.end()) return;
    job->second.m_is_cancelled = true;
    for (std::uint32_t index = 0; index < job->second.m_request.m_task_count;
         ++index) {
      const auto task = m_state.m_tasks.find(TaskId{record.m_job, index});
      if (task == m_state.m_tasks.end()) continue;
      StepTask(m_state, m_state_machine, task->second, TaskEvent::kCancelled,
               AttemptOutcome::kStopped, 0);
    }
  }

  void operator()(const TaskAssigned& record) const {
    const auto task = m_state.m_tasks.find(record.m_task);
    if (task == m_state.m_tasks.end()) return;
    if (task->second.m_attempt != record.m_attempt) return;
    if (task->second.m_state != TaskState::kQueued) return;
    task->second.m_worker = record.m_worker;
    task->second.m_start_incarnation = record.m_incarnation;
    StepTask(m_state, m_state_machine, task->second, TaskEvent::kAssigned,
             AttemptOutcome::kStopped, 0);
  }

  void operator()(const AttemptEnded& record) const {
    const auto task = m_state.m_tasks.find(record.m_task);
    if (task == m_state.m_tasks.end()) return;
    if (task->second.m_attempt != record.m_attempt) return;
    StepTask(m_state, m_state_machine, task->second,
             EventForOutcome(record.m_outcome), record.m_outcome,
             record.m_checkpoint);
  }

  void operator()(const OwnerClaimed& /*record*/) const {}
};

}  // namespace

void ApplyRecord(PartitionState& state, const TaskStateMachine& state_machine,
                 const JournalRecord& record) {
  std::visit(RecordApplier{state, state_machine}, record);
}

StepResult StepTask(PartitionState& state,
                    const TaskStateMachine& state_machine, Task& task,
                    TaskEvent event, AttemptOutcome outcome,
                    std::uint64_t checkpoint) {
  Job& job = state.m_jobs.at(task.m_id.m_job);
  TaskContext context{state, job, task, outcome, checkpoint};
  const StepResult result = state_machine.Step(task.m_state, event, context);
  if (!IsEnded(task.m_state)) return result;
  const TaskId id = task.m_id;
  state.m_tasks.erase(id);
  return result;
}

}  // namespace daisyarch
