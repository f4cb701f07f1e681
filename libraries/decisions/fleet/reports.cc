#include <algorithm>
#include <numeric>

#include "decisions/fleet/fleet.h"

namespace daisyarch::fleet {

namespace {

// So many failures without a success between say that the worker is at fault.
constexpr std::uint32_t kFailuresBeforeAside = 3;
constexpr Duration kAside = std::chrono::seconds(3);
constexpr Duration kRefusalAside = std::chrono::milliseconds(200);
constexpr std::uint8_t kAtWorkPercent = 100;
// While ends cannot be stored, leases are still extended this often.
constexpr Duration kUnstoredLook = std::chrono::milliseconds(300);
// A worker's clock that is 2% slow, and a start on its way.
constexpr Duration kNewLifeSlack = std::chrono::milliseconds(700);
// What workers report of tails covers this long, and a little to arrive.
constexpr Duration kTailWindow = std::chrono::milliseconds(600);
constexpr Duration kRetryLook = std::chrono::milliseconds(100);

bool IsRunHere(const Task& task, const Worker& worker, const RunNumber& run) {
  return IsPlaced(task.m_state) && task.m_run == run &&
         task.m_worker == worker.m_listing.m_worker;
}

// A run that an earlier leader started becomes this leader's, unless the task
// is done or known to run elsewhere.
bool Adopt(Fleet& fleet, Job& job, Task& task, const Worker& worker,
           const TaskReference& reference, const RunNumber& run) {
  if (task.m_state != RunState::kWaiting || run < task.m_run) return false;
  if (run >= FirstRun(fleet.m_term)) return false;
  // Its end is stored; the leader before could not acknowledge it any more.
  const auto& failed = task.m_failed_runs;
  if (std::find(failed.begin(), failed.end(), run) != failed.end()) {
    return false;
  }
  task.m_run = run;
  task.m_worker = worker.m_listing.m_worker;
  StepTask(fleet, job, reference, RunEvent::kPlaced);
  UpdateQueue(fleet, job,
              StepRunIndex(job, reference.m_occurrence, reference.m_step));
  return true;
}

void StopStray(Fleet& fleet, Worker& worker, const RunningRow& row) {
  ++worker.m_strays;
  fleet.m_orders.push_back(StopOrder{worker.m_listing.m_worker,
                                     worker.m_listing.m_incarnation, row.m_task,
                                     row.m_run, worker.m_token});
}

void NoteLoad(Task& task, const StepPlan& step, const RunningRow& row,
              TimePoint now) {
  task.m_progress_percent = row.m_progress_percent;
  if (!row.m_checkpoint.empty()) task.m_checkpoint = row.m_checkpoint;
  task.m_load = row.m_load;
  if (step.m_latency_target <= Duration{}) return;
  if (FromMilliseconds(row.m_load) <= step.m_latency_target) {
    task.m_over_target_since = TimePoint();
  } else if (task.m_over_target_since == TimePoint()) {
    task.m_over_target_since = now;
  }
}

void NoteStarted(Fleet& fleet, Job& job, Task& task,
                 const TaskReference& reference, TimePoint now) {
  task.m_start = StartKnowledge::kAnswered;
  task.m_started_at = now;
  StepTask(fleet, job, reference, RunEvent::kStarted);
}

void ApplyRunning(Fleet& fleet, Worker& worker, const RunningRow& row,
                  TimePoint now) {
  Job* job = nullptr;
  Task* task = FindTask(fleet, row.m_task, job);
  if (task == nullptr) return StopStray(fleet, worker, row);
  if (!IsRunHere(*task, worker, row.m_run) &&
      !Adopt(fleet, *job, *task, worker, row.m_task, row.m_run)) {
    return StopStray(fleet, worker, row);
  }
  if (task->m_start != StartKnowledge::kAnswered) {
    NoteStarted(fleet, *job, *task, row.m_task, now);
  }
  NoteLoad(*task, job->m_plan.m_steps[row.m_task.m_step], row, now);
  const bool is_unwanted = job->m_is_cancelled || job->m_has_failed;
  if (is_unwanted && task->m_state == RunState::kRunning) {
    SendStop(fleet, *job, row.m_task, now);
  }
}

void JudgeWorker(Fleet& fleet, Worker& worker, RunEnd end, TimePoint now) {
  if (end == RunEnd::kDone) {
    worker.m_failures_in_row = 0;
    return;
  }
  if (end != RunEnd::kFailed) return;
  if (++worker.m_failures_in_row < kFailuresBeforeAside) return;
  worker.m_aside_until = now + kAside;
  fleet.m_events.push_back({"worker_set_aside", JobKey(),
                            worker.m_listing.m_worker, RunNumber(),
                            Duration{}});
}

// A failure of a run that a later one has replaced still counts as an
// attempt.
void NoteOldEnd(Fleet& fleet, Job& job, Task& task, const EndedRow& row) {
  if (row.m_end != RunEnd::kFailed || task.m_state == RunState::kDone) return;
  if (job.m_plan.m_steps[row.m_task.m_step].m_kind == StepKind::kService) {
    return;
  }
  if (row.m_run >= task.m_run || !NoteFailedRun(task, row.m_run)) return;
  NoteChange(fleet, job);
  const bool is_waiting = task.m_state == RunState::kWaiting;
  if (is_waiting && task.m_failed_runs.size() >= job.m_maximum_attempts) {
    StepTask(fleet, job, row.m_task, RunEvent::kAttemptsUsedUp);
  }
}

void ApplyEnd(Fleet& fleet, Worker& worker, const EndedRow& row,
              TimePoint now) {
  Job* job = nullptr;
  Task* task = FindTask(fleet, row.m_task, job);
  if (task == nullptr) return;
  if (!IsRunHere(*task, worker, row.m_run) &&
      !Adopt(fleet, *job, *task, worker, row.m_task, row.m_run)) {
    return NoteOldEnd(fleet, *job, *task, row);
  }
  if (!row.m_checkpoint.empty()) task->m_checkpoint = row.m_checkpoint;
  JudgeWorker(fleet, worker, row.m_end, now);
  switch (row.m_end) {
    case RunEnd::kDone:
      StepTask(fleet, *job, row.m_task, RunEvent::kEndedDone);
      break;
    case RunEnd::kFailed:
      fleet.m_events.push_back({"run_failed", row.m_task.m_job,
                                worker.m_listing.m_worker, row.m_run,
                                now - task->m_started_at});
      StepTask(fleet, *job, row.m_task, RunEvent::kEndedFailed);
      break;
    default:
      StepTask(fleet, *job, row.m_task, RunEvent::kInterrupted);
      break;
  }
}

// A run whose start was answered before the look was sent and that stands in
// neither list is gone.
void LoseMissing(Fleet& fleet, Worker& worker, const WorkerReport& report) {
  std::set<TaskReference> listed;
  for (const RunningRow& row : report.m_running) listed.insert(row.m_task);
  const std::set<TaskReference> runs = worker.m_runs;
  for (const TaskReference& reference : runs) {
    if (listed.count(reference) > 0) continue;
    Job* job = nullptr;
    const Task* task = FindTask(fleet, reference, job);
    if (task == nullptr || task->m_start != StartKnowledge::kAnswered) {
      continue;
    }
    if (task->m_started_at >= worker.m_look_sent_at) continue;
    StepTask(fleet, *job, reference, RunEvent::kInterrupted);
  }
}

// A task that is still starting has no tail of its own yet.
bool HasTail(const Task& task, const StepPlan& step) {
  return step.m_latency_target > Duration{} &&
         task.m_progress_percent >= kAtWorkPercent;
}

// Tails are measured over a while, so one says nothing of a filler that has
// just started or changed its pace.
bool HaveFillersSettled(Fleet& fleet, const Worker& worker, TimePoint now) {
  for (const TaskReference& reference : worker.m_runs) {
    Job* job = nullptr;
    const Task* task = FindTask(fleet, reference, job);
    if (task == nullptr || task->m_state != RunState::kRunning) continue;
    const StepPlan& step = job->m_plan.m_steps[reference.m_step];
    if (step.m_processor_use != ProcessorUse::kLeftover) continue;
    const TimePoint since = std::max(task->m_started_at, task->m_paced_at);
    if (now - since < kTailWindow) return false;
  }
  return true;
}

// Sums the runs' figures up by image.
void NoteLoads(Fleet& fleet, Worker& worker) {
  std::map<ImageId, std::vector<double>> tails;
  for (auto& entry : worker.m_fillers) entry.second.m_used = Millicores(0);
  for (const TaskReference& reference : worker.m_runs) {
    Job* job = nullptr;
    const Task* task = FindTask(fleet, reference, job);
    if (task == nullptr || task->m_state != RunState::kRunning) continue;
    const StepPlan& step = job->m_plan.m_steps[reference.m_step];
    if (step.m_processor_use == ProcessorUse::kLeftover) {
      worker.m_fillers[step.m_image].m_used += Millicores(task->m_load);
    }
    if (HasTail(*task, step)) {
      tails[step.m_image].push_back(static_cast<double>(task->m_load));
    }
  }
  for (auto& [image, serving] : worker.m_serving) {
    const std::vector<double>& own = tails[image];
    serving.m_tail_ms = serving.m_mean_tail_ms = 0;
    if (own.empty()) continue;
    serving.m_tail_ms = *std::max_element(own.begin(), own.end());
    serving.m_mean_tail_ms = std::accumulate(own.begin(), own.end(), 0.0) /
                             static_cast<double>(own.size());
  }
}

}  // namespace

Task* FindTask(Fleet& fleet, const TaskReference& reference, Job*& job) {
  job = FindJob(fleet, reference.m_job);
  if (job == nullptr || reference.m_step >= job->StepCount() ||
      reference.m_occurrence >= job->m_plan.m_occurrences) {
    return nullptr;
  }
  StepRun& step_run = job->m_steps[StepRunIndex(*job, reference.m_occurrence,
                                                reference.m_step)];
  if (reference.m_index >= step_run.m_tasks.size()) return nullptr;
  return &step_run.m_tasks[reference.m_index];
}

void NoteIncarnation(Fleet& fleet, Worker& worker, Incarnation incarnation,
                     TimePoint now) {
  if (incarnation == Incarnation() ||
      incarnation == worker.m_listing.m_incarnation) {
    return;
  }
  const bool was_known = worker.m_listing.m_incarnation != Incarnation();
  worker.m_listing.m_incarnation = incarnation;
  if (!was_known) return;
  worker.m_seen_end = worker.m_stored_end = worker.m_acknowledged_end =
      OutcomeNumber();
  worker.m_has_clock = false;
  worker.m_clock = worker.m_lease_until = WorkerMilliseconds();
  worker.m_strays = 0;
  worker.m_failures_in_row = 0;
  // Its clock began anew, so the deadlines that it was sent say nothing.
  worker.m_doubt_ends_at = now + fleet.m_limits.m_longest_lease + kNewLifeSlack;
  StepWorker(fleet, worker, WorkerEvent::kReborn);
}

void ApplyReport(Fleet& fleet, const WorkerId& worker_id, std::uint64_t look,
                 FencingToken token, const WorkerReport& report,
                 TimePoint now) {
  Worker* worker = FindWorker(fleet, worker_id);
  if (worker == nullptr || look != worker->m_look) return;
  worker->m_is_looking = false;
  worker->m_next_look_at = now;
  const Incarnation before = worker->m_listing.m_incarnation;
  NoteIncarnation(fleet, *worker, report.m_incarnation, now);
  // The lists of a new life are asked for under the new token.
  if (before != Incarnation() && before != worker->m_listing.m_incarnation) {
    return;
  }
  worker->m_clock = report.m_clock;
  worker->m_clock_read_at = now;
  worker->m_has_clock = true;
  if (token != worker->m_token) return;
  worker->m_strays = 0;
  for (const EndedRow& row : report.m_ended) {
    if (row.m_number <= worker->m_seen_end) continue;
    ApplyEnd(fleet, *worker, row, now);
    worker->m_seen_end = row.m_number;
  }
  for (const RunningRow& row : report.m_running) {
    ApplyRunning(fleet, *worker, row, now);
  }
  LoseMissing(fleet, *worker, report);
  if (worker->m_state != WorkerState::kReady) fleet.m_needs_placement = true;
  worker->m_unseen_until = worker->m_doubt_ends_at = TimePoint();
  StepWorker(fleet, *worker, WorkerEvent::kReported);
  // With nothing to store, the ends can be acknowledged at once.
  if (fleet.m_changed.empty() && !fleet.m_is_storing) {
    worker->m_stored_end = worker->m_seen_end;
  }
  // A worker answers at once while it has ends to tell, so the next look
  // waits until these can be acknowledged.
  if (worker->m_stored_end < worker->m_seen_end) {
    worker->m_next_look_at = now + kUnstoredLook;
  }
  NoteLoads(fleet, *worker);
  worker->m_headrooms.clear();
  if (HaveFillersSettled(fleet, *worker, now)) {
    LearnInterference(fleet.m_interference, worker->m_serving,
                      worker->m_fillers,
                      worker->m_listing.m_capacity.m_processors);
  }
  PaceFillers(fleet, *worker, now);
}

void ApplyLookFailure(Fleet& fleet, const WorkerId& worker_id,
                      std::uint64_t look, TimePoint now) {
  Worker* worker = FindWorker(fleet, worker_id);
  if (worker == nullptr || look != worker->m_look) return;
  worker->m_is_looking = false;
  worker->m_next_look_at = now + kRetryLook;
  StepWorker(fleet, *worker, WorkerEvent::kLookFailed);
}

void ApplyStartOutcome(Fleet& fleet, const StartOrder& order,
                       StartOutcome outcome, TimePoint now) {
  Job* job = nullptr;
  Task* task = FindTask(fleet, order.m_task, job);
  Worker* worker = FindWorker(fleet, order.m_worker);
  const bool is_current = task != nullptr && worker != nullptr &&
                          IsRunHere(*task, *worker, order.m_run);
  if (!is_current) return;
  switch (outcome) {
    case StartOutcome::kStarted:
      NoteStarted(fleet, *job, *task, order.m_task, now);
      break;
    case StartOutcome::kRefused:
      // What it knows differs from what is known here; a look will tell.
      worker->m_aside_until =
          std::max(worker->m_aside_until, now + kRefusalAside);
      // A look may have shown the run before this answer came.
      if (task->m_start == StartKnowledge::kAnswered) break;
      StepTask(fleet, *job, order.m_task, RunEvent::kInterrupted);
      break;
    case StartOutcome::kUnanswered:
      if (task->m_start == StartKnowledge::kAnswered) break;
      task->m_start = StartKnowledge::kUnanswered;
      StepTask(fleet, *job, order.m_task, RunEvent::kUnanswered);
      StepWorker(fleet, *worker, WorkerEvent::kOrderUnanswered);
      break;
  }
}

void ApplyOrderFailure(Fleet& fleet, const WorkerId& worker_id) {
  Worker* worker = FindWorker(fleet, worker_id);
  if (worker == nullptr) return;
  StepWorker(fleet, *worker, WorkerEvent::kOrderUnanswered);
}

}  // namespace daisyarch::fleet
