#include "decisions/fleet/ended_runs.h"

#include <algorithm>

#include "decisions/fleet/late_start.h"
#include "decisions/fleet/learn_run_times.h"
#include "decisions/fleet/occurrences.h"
#include "decisions/fleet/start_journal.h"

namespace daisyarch::fleet {

namespace {

// After this many failures without a success, the worker is deemed faulty.
constexpr std::uint32_t kFailuresBeforeQuarantine = 3;
constexpr Duration kQuarantine = std::chrono::seconds(3);
// Each in the order of its enum.
constexpr const char* kOutcomeNames[] = {"done",   "failed", "stopped",
                                         "lapsed", "broken", "alone"};
constexpr const char* kStateNames[] = {
    "waiting",   "starting", "running", "unconfirmed", "stopping",
    "resending", "settling", "done",    "failed",      "cancelled"};
constexpr const char* kEffectNames[] = {"none", "counted", "completed"};

void UpdateQuarantine(Fleet& fleet, Worker& worker, RunOutcome outcome,
                      TimePoint now) {
  if (outcome == RunOutcome::kDone) {
    worker.m_consecutive_failures = 0;
    return;
  }
  if (outcome != RunOutcome::kFailed) return;
  if (++worker.m_consecutive_failures < kFailuresBeforeQuarantine) return;
  worker.m_quarantined_until = now + kQuarantine;
  fleet.m_events.push_back({"worker_set_aside", JobKey(),
                            worker.m_listing.m_worker, RunNumber(),
                            Duration{}});
}

// Returns whether an earlier leader started the run, and after the task's
// present one.
bool IsLaterInherited(const Fleet& fleet, const Task& task,
                      const RunNumber& run) {
  return task.m_run < run && run < FirstRun(fleet.m_term);
}

// Returns whether a run below the present one may be active no more, while the
// present one is not active either.
bool IsWithoutActiveRun(const Task& task) {
  return task.m_state == RunState::kWaiting ||
         task.m_state == RunState::kResending ||
         task.m_state == RunState::kSettling;
}

// A done run counts whatever its task waits for. Only an active run decides
// against an earlier one: it was started because that one's lease had expired,
// so the end of that one counts nowhere.
EndEffect ApplySupersededDone(Fleet& fleet, Job& job, Task& task,
                              const Worker& worker, const EndedRun& ended,
                              TimePoint now) {
  const bool is_later = IsLaterInherited(fleet, task, ended.m_run);
  const bool is_earlier = ended.m_run <= task.m_run;
  if (is_later || (is_earlier && IsWithoutActiveRun(task))) {
    const StepResult result =
        StepTask(fleet, job, ended.m_task, RunEvent::kCompleted);
    return result == StepResult::kTaken ? EndEffect::kCompleted
                                        : EndEffect::kNone;
  }
  if (IsPlaced(task.m_state)) {
    // The start of an adopted run was sent by an earlier leader.
    const bool is_own = task.m_start_sent_at != TimePoint();
    fleet.m_events.push_back({"done_run_ignored", ended.m_task.m_job,
                              worker.m_listing.m_worker, ended.m_run,
                              is_own ? now - task.m_start_sent_at : Duration{},
                              ended.m_task});
  }
  return EndEffect::kNone;
}

// Each failed run counts as an attempt, whether the task has moved on or not.
EndEffect RecordSupersededFailure(Fleet& fleet, Job& job, Task& task,
                                  const EndedRun& ended) {
  if (task.m_state == RunState::kDone) return EndEffect::kNone;
  if (!CountFailedRun(fleet, job, ended.m_task, ended.m_run)) {
    return EndEffect::kNone;
  }
  if (task.m_failed_runs.size() >= job.m_maximum_attempts) {
    StepTask(fleet, job, ended.m_task, RunEvent::kAttemptsExhausted);
  }
  return EndEffect::kCounted;
}

EndEffect EffectOfSupersededEnd(Fleet& fleet, Job& job, Task& task,
                                const Worker& worker, const EndedRun& ended,
                                TimePoint now) {
  if (job.m_plan.m_steps[ended.m_task.m_step].m_kind == StepKind::kService) {
    return EndEffect::kNone;
  }
  if (ended.m_outcome == RunOutcome::kDone) {
    return ApplySupersededDone(fleet, job, task, worker, ended, now);
  }
  if (ended.m_outcome == RunOutcome::kFailed) {
    return RecordSupersededFailure(fleet, job, task, ended);
  }
  return EndEffect::kNone;
}

// Applies the end of a run that is not the task's present one.
void ApplySupersededEnd(Fleet& fleet, Job& job, Task& task,
                        const Worker& worker, const EndedRun& ended,
                        TimePoint now) {
  SupersededEnd superseded{ended.m_outcome, task.m_state, task.m_run};
  superseded.m_effect =
      EffectOfSupersededEnd(fleet, job, task, worker, ended, now);
  fleet.m_events.push_back({"superseded_end", ended.m_task.m_job,
                            worker.m_listing.m_worker, ended.m_run, Duration{},
                            ended.m_task, superseded});
}

void ApplyEndedRun(Fleet& fleet, Worker& worker, const EndedRun& ended,
                   const FoundRun& found, TimePoint now) {
  if (found.m_task == nullptr) return;
  Job& job = *found.m_job;
  Task& task = *found.m_task;
  RecordJobStart(fleet, job);
  // An earlier leader may have stored the failure, but not acknowledged it.
  const bool is_known_failure = HasFailedIn(task, ended.m_run);
  const bool is_present =
      IsRunOnWorker(task, worker, ended.m_run) ||
      (!is_known_failure &&
       AdoptRun(fleet, job, task, worker, ended.m_task, ended.m_run));
  if (!is_present) {
    return ApplySupersededEnd(fleet, job, task, worker, ended, now);
  }
  ConfirmJournaledStart(fleet, worker, job, task, ended.m_task);
  // Its start may have no answer yet.
  task.m_start_confirmation = StartConfirmation::kConfirmed;
  RecordCheckpoint(job, task, ended.m_task, ended.m_checkpoint);
  UpdateQuarantine(fleet, worker, ended.m_outcome, now);
  switch (ended.m_outcome) {
    case RunOutcome::kDone:
      LearnFromEnd(fleet, worker, job, task, ended.m_task, now);
      StepTask(fleet, job, ended.m_task, RunEvent::kCompleted);
      break;
    case RunOutcome::kFailed:
      fleet.m_events.push_back({"run_failed", ended.m_task.m_job,
                                worker.m_listing.m_worker, ended.m_run,
                                now - task.m_started_at});
      StepTask(fleet, job, ended.m_task, RunEvent::kRunFailed);
      break;
    default:
      StepTask(fleet, job, ended.m_task, RunEvent::kInterrupted);
      break;
  }
}

// Returns whether the ended run may belong to a job that may become known.
bool AwaitsJob(const Fleet& fleet, Worker& worker, const EndedRun& ended,
               const FoundRun& found, TimePoint now) {
  const bool is_counted = ended.m_outcome == RunOutcome::kDone ||
                          ended.m_outcome == RunOutcome::kFailed;
  if (!is_counted || !MayBecomeKnown(fleet, found.m_job, ended.m_task.m_job)) {
    return false;
  }
  if (worker.m_unknown_end != ended.m_number) {
    worker.m_unknown_end = ended.m_number;
    worker.m_unknown_end_since = now;
  }
  return fleet.m_jobs_known_at <= worker.m_unknown_end_since;
}

}  // namespace

bool IsRunOnWorker(const Task& task, const Worker& worker,
                   const RunNumber& run) {
  return IsPlaced(task.m_state) && task.m_run == run &&
         task.m_worker == worker.m_listing.m_worker;
}

// An earlier leader that does not know of this one may have started the job.
bool MayBecomeKnown(const Fleet& fleet, const Job* job, const JobKey& key) {
  return job == nullptr && fleet.m_ended_jobs.count(key) == 0;
}

void RecordJobStart(Fleet& fleet, Job& job) {
  if (job.m_has_started) return;
  job.m_has_started = true;
  UpdatePendingCount(fleet, job);
}

// An empty checkpoint does not replace the last one.
void RecordCheckpoint(Job& job, Task& task, const TaskReference& reference,
                      const std::string& checkpoint) {
  if (checkpoint.empty() || checkpoint == task.m_checkpoint) return;
  task.m_checkpoint = checkpoint;
  MarkProgressChanged(job, reference);
}

namespace {

// The leader before started the later run, so the present one is over and no
// order may start it any more. All members of a gang have had the same run.
void SupersedeRun(Fleet& fleet, Job& job, const TaskReference& reference,
                  const RunNumber& run) {
  const StepRun& step_run = StepRunAt(
      job, StepRunIndex(job, reference.m_occurrence, reference.m_step));
  const bool is_gang = job.m_plan.m_steps[reference.m_step].m_is_gang;
  TaskReference member = reference;
  for (std::size_t index = 0; index < step_run.m_tasks.size(); ++index) {
    if (!is_gang && index != reference.m_index) continue;
    if (!IsLaterInherited(fleet, step_run.m_tasks[index], run)) continue;
    member.m_index = static_cast<std::uint32_t>(index);
    StepTask(fleet, job, member, RunEvent::kSuperseded);
  }
}

}  // namespace

bool AdoptRun(Fleet& fleet, Job& job, Task& task, const Worker& worker,
              const TaskReference& reference, const RunNumber& run) {
  const bool is_terminated = job.m_is_cancelled || job.m_has_failed;
  if (IsLaterInherited(fleet, task, run) && !is_terminated) {
    SupersedeRun(fleet, job, reference, run);
  }
  if (task.m_state != RunState::kWaiting || run < task.m_run) return false;
  if (run >= FirstRun(fleet.m_term)) return false;
  if (task.m_run < run) ForgetLateStart(task);
  fleet.m_events.push_back({"run_adopted", reference.m_job,
                            worker.m_listing.m_worker, run, Duration{},
                            reference, std::nullopt, task.m_run});
  task.m_run = run;
  task.m_worker = worker.m_listing.m_worker;
  task.m_start_confirmation = StartConfirmation::kPending;
  MarkProgressChanged(job, reference);
  StepTask(fleet, job, reference, RunEvent::kPlaced);
  UpdateWaitingSteps(
      fleet, job, StepRunIndex(job, reference.m_occurrence, reference.m_step));
  return true;
}

// An ended run stays ended, whatever token the poll carried.
bool ApplyEndedRuns(Fleet& fleet, Worker& worker, const WorkerReport& report,
                    const std::vector<FoundRun>& active_runs, TimePoint now) {
  LearnFromActiveRuns(fleet, worker, report, active_runs, now);
  worker.m_awaits_jobs = std::any_of(
      active_runs.begin(), active_runs.end(), [&fleet](const FoundRun& active) {
        return MayBecomeKnown(fleet, active.m_job, active.m_reference->m_job);
      });
  worker.m_first_listed_end = report.m_ended.empty()
                                  ? OutcomeNumber()
                                  : report.m_ended.front().m_number;
  worker.m_listed_ends = report.m_ended.size();
  for (const EndedRun& ended : report.m_ended) {
    if (ended.m_number <= worker.m_applied_end) continue;
    const FoundRun found = FindRun(fleet, ended.m_task);
    if (AwaitsJob(fleet, worker, ended, found, now)) {
      worker.m_awaits_jobs = true;
      return false;
    }
    ApplyEndedRun(fleet, worker, ended, found, now);
    worker.m_applied_end = ended.m_number;
  }
  return report.m_lists_all_ends;
}

const char* NameOf(RunOutcome outcome) {
  return kOutcomeNames[static_cast<std::size_t>(outcome)];
}

const char* NameOf(RunState state) {
  return kStateNames[static_cast<std::size_t>(state)];
}

const char* NameOf(EndEffect effect) {
  return kEffectNames[static_cast<std::size_t>(effect)];
}

}  // namespace daisyarch::fleet
