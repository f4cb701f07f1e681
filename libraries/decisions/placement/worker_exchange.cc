#include "decisions/placement/worker_exchange.h"

#include <algorithm>
#include <map>
#include <set>

#include "decisions/ownership/lease_deadline.h"
#include "decisions/placement/apply_record.h"

namespace daisyarch {

namespace {

void StepWorker(PartitionEngine& engine,
                const PlacementStateMachines& state_machines, Worker& worker,
                WorkerEvent event, TimePoint now) {
  UpdateWorker(engine.m_state, worker, [&](Worker& changed) {
    WorkerContext context{changed, now};
    state_machines.m_worker.Step(changed.m_state, event, context);
  });
}

StartOrder MakeStartOrder(const PartitionEngine& engine, const Task& task) {
  const JobRequest& request =
      engine.m_state.m_jobs.at(task.m_id.m_job).m_request;
  return StartOrder{AttemptId{task.m_id, task.m_attempt}, request.m_class,
                    request.m_demand, request.m_run_time, task.m_checkpoint};
}

AttemptOutcome OutcomeOf(AttemptStatus status) {
  switch (status) {
    case AttemptStatus::kFinished:
      return AttemptOutcome::kFinished;
    case AttemptStatus::kFailed:
      return AttemptOutcome::kFailed;
    case AttemptStatus::kNotRun:
      return AttemptOutcome::kNotRun;
    case AttemptStatus::kStopped:
    case AttemptStatus::kRunning:
      return AttemptOutcome::kStopped;
  }
  return AttemptOutcome::kStopped;
}

// Ends an attempt that certainly no longer runs although the worker has not
// reported its outcome. An attempt whose start was never sent cannot have run.
void EndUnreportedAttempt(PartitionEngine& engine,
                          const PlacementStateMachines& state_machines,
                          const Task& task) {
  const AttemptOutcome outcome =
      task.m_is_start_sent ? AttemptOutcome::kLost : AttemptOutcome::kNotRun;
  CommitRecord(
      engine, state_machines,
      AttemptEnded{task.m_id, task.m_attempt, outcome, task.m_checkpoint});
}

class ReportApplier {
 public:
  ReportApplier(PartitionEngine& engine,
                const PlacementStateMachines& state_machines, Worker& worker,
                TimePoint now)
      : m_engine(engine),
        m_state_machines(state_machines),
        m_worker(worker),
        m_now(now) {}

  void Apply(const WorkerReport& report) {
    for (const AttemptReport& attempt : report.m_attempts) {
      ApplyAttempt(attempt);
    }
    // A copy, because ending a task removes it from the worker's set.
    const std::set<TaskId> expected = m_worker.m_tasks;
    for (const TaskId& id : expected) {
      if (m_reported.count(id) != 0) continue;
      const auto task = m_engine.m_state.m_tasks.find(id);
      if (task == m_engine.m_state.m_tasks.end()) continue;
      ApplyUnreportedAttempt(task->second, report);
    }
  }

 private:
  // Returns the task when this attempt of it is active on this worker, else
  // null.
  Task* FindActiveTask(const AttemptId& id) {
    const auto task = m_engine.m_state.m_tasks.find(id.m_task);
    if (task == m_engine.m_state.m_tasks.end()) return nullptr;
    if (!IsActive(task->second.m_state)) return nullptr;
    if (task->second.m_attempt != id.m_attempt) return nullptr;
    if (task->second.m_worker != m_worker.m_id) return nullptr;
    return &task->second;
  }

  void ApplyAttempt(const AttemptReport& attempt) {
    Task* task = FindActiveTask(attempt.m_id);
    if (task == nullptr) {
      ApplyInactiveAttempt(attempt);
      return;
    }
    m_reported.insert(task->m_id);
    task->m_checkpoint = std::max(task->m_checkpoint, attempt.m_checkpoint);
    if (attempt.m_status == AttemptStatus::kRunning) {
      StepTask(m_engine.m_state, m_state_machines.m_task, *task,
               TaskEvent::kStarted, AttemptOutcome::kStopped, 0);
      return;
    }
    EndAttempt(*task, attempt);
  }

  // Handles an attempt that has already ended for this owner. Its outcome is in
  // the journal or queued for it. The worker has to stop it if it still runs,
  // or may forget it once the outcome is durable.
  void ApplyInactiveAttempt(const AttemptReport& attempt) {
    if (attempt.m_status == AttemptStatus::kRunning) {
      m_engine.m_orphaned_attempts[m_worker.m_id].push_back(attempt.m_id);
      m_engine.m_urgent_exchanges.insert(m_worker.m_id);
      return;
    }
    m_engine.m_queued_effects.emplace_back(
        DeferredAcknowledgement{m_worker.m_id, attempt.m_id});
    const bool is_flushed = m_engine.m_journal.m_queue.empty() &&
                            m_engine.m_journal.m_phase == JournalPhase::kIdle;
    if (!is_flushed) return;
    m_engine.m_queued_effects.pop_back();
    m_engine.m_acknowledgements[m_worker.m_id].push_back(attempt.m_id);
  }

  void EndAttempt(const Task& task, const AttemptReport& attempt) {
    const TaskId id = task.m_id;
    StepWorkerForStatus(attempt.m_status);
    CommitRecord(
        m_engine, m_state_machines,
        AttemptEnded{id, attempt.m_id.m_attempt, OutcomeOf(attempt.m_status),
                     attempt.m_checkpoint});
    m_engine.m_queued_effects.emplace_back(
        DeferredAcknowledgement{m_worker.m_id, attempt.m_id});
  }

  void StepWorkerForStatus(AttemptStatus status) {
    if (status == AttemptStatus::kFinished) {
      StepWorker(m_engine, m_state_machines, m_worker,
                 WorkerEvent::kTaskFinished, m_now);
    }
    if (status == AttemptStatus::kFailed) {
      StepWorker(m_engine, m_state_machines, m_worker, WorkerEvent::kTaskFailed,
                 m_now);
    }
  }

  // Handles an active attempt that the worker's answer does not list. The
  // worker rejects earlier owners by their epoch and keeps each outcome until
  // it is acknowledged.
  void ApplyUnreportedAttempt(Task& task, const WorkerReport& report) {
    if (task.m_start_incarnation != report.m_incarnation) {
      EndUnreportedAttempt(m_engine, m_state_machines, task);
      return;
    }
    // A start that has not arrived yet is sent again. An attempt that was
    // running and is no longer listed must be confirmed as stopped first.
    if (task.m_state != TaskState::kRunning) return;
    RequestStop(m_engine, m_state_machines, task);
  }

  PartitionEngine& m_engine;
  const PlacementStateMachines& m_state_machines;
  Worker& m_worker;
  TimePoint m_now;
  std::set<TaskId> m_reported;
};

void CheckWorkerSilence(PartitionEngine& engine,
                        const PlacementStateMachines& state_machines,
                        Worker& worker, Duration lease_term, TimePoint now) {
  if (now >= worker.m_answered_at + kWorkerSilenceTimeout) {
    StepWorker(engine, state_machines, worker, WorkerEvent::kAnswerTimedOut,
               now);
  }
  const TimePoint base = std::max(worker.m_lease_base, engine.m_owned_since);
  if (now < LapseDeadline(base, lease_term)) return;
  if (worker.m_unanswered_messages < kUnansweredMessagesBeforeLapse) return;
  StepWorker(engine, state_machines, worker, WorkerEvent::kLeasesExpired, now);
  if (worker.m_state != WorkerState::kLapsed) return;
  // A copy, because ending a task removes it from the worker's set.
  const std::set<TaskId> lost = worker.m_tasks;
  for (const TaskId& id : lost) {
    EndUnreportedAttempt(engine, state_machines, engine.m_state.m_tasks.at(id));
  }
}

}  // namespace

void ApplyListing(PartitionEngine& engine,
                  const PlacementStateMachines& state_machines,
                  const std::vector<WorkerListing>& listing) {
  std::set<WorkerId> listed;
  for (const WorkerListing& entry : listing) {
    listed.insert(entry.m_worker);
    Worker& worker = FindOrAddWorker(engine.m_state, entry.m_worker);
    UpdateWorker(engine.m_state, worker, [&](Worker& changed) {
      changed.m_is_listed = true;
      changed.m_is_leaving = entry.m_is_leaving;
      changed.m_capacity = entry.m_capacity;
    });
    if (!entry.m_is_leaving) continue;
    for (const TaskId& task : worker.m_tasks)
      EvictTask(engine, state_machines, task);
  }
  for (auto& [id, worker] : engine.m_state.m_workers) {
    if (listed.count(id) != 0) continue;
    UpdateWorker(engine.m_state, worker,
                 [](Worker& changed) { changed.m_is_listed = false; });
  }
}

WorkerControl BuildControl(PartitionEngine& engine, const WorkerId& worker,
                           Duration lease_term) {
  const Worker& target = engine.m_state.m_workers.at(worker);
  WorkerControl control;
  control.m_epoch = engine.m_journal.m_epoch;
  control.m_incarnation = target.m_incarnation;
  control.m_lease_from = target.m_clock;
  control.m_lease_term = lease_term;
  engine.m_urgent_exchanges.erase(worker);
  if (target.m_incarnation == Incarnation()) return control;
  for (const TaskId& id : target.m_tasks) {
    Task& task = engine.m_state.m_tasks.at(id);
    const AttemptId attempt{id, task.m_attempt};
    if (task.m_state == TaskState::kStopping) {
      control.m_stops.push_back(attempt);
    }
    if (task.m_state != TaskState::kStarting || !task.m_is_assignment_durable)
      continue;
    if (task.m_start_incarnation != target.m_incarnation) continue;
    task.m_is_start_sent = true;
    control.m_starts.push_back(MakeStartOrder(engine, task));
  }
  for (const AttemptId& orphan : engine.m_orphaned_attempts[worker]) {
    control.m_stops.push_back(orphan);
  }
  engine.m_orphaned_attempts.erase(worker);
  control.m_acknowledged = engine.m_acknowledgements[worker];
  engine.m_acknowledgements.erase(worker);
  return control;
}

void ApplyReport(PartitionEngine& engine,
                 const PlacementStateMachines& state_machines,
                 const WorkerId& worker, const WorkerReport& report,
                 TimePoint now) {
  // A worker that has seen a later owner obeys only that owner.
  if (report.m_epoch > engine.m_journal.m_epoch) return;
  Worker& target = engine.m_state.m_workers.at(worker);
  UpdateWorker(engine.m_state, target, [&](Worker& changed) {
    changed.m_incarnation = report.m_incarnation;
    changed.m_clock = report.m_clock;
    changed.m_lease_base = now;
    changed.m_answered_at = now;
    changed.m_unanswered_messages = 0;
  });
  StepWorker(engine, state_machines, target, WorkerEvent::kAnswered, now);
  ReportApplier(engine, state_machines, target, now).Apply(report);
}

void RecordUnansweredMessage(PartitionEngine& engine, const WorkerId& worker) {
  ++engine.m_state.m_workers.at(worker).m_unanswered_messages;
}

void CheckWorkers(PartitionEngine& engine,
                  const PlacementStateMachines& state_machines,
                  Duration lease_term, TimePoint now) {
  for (auto& [id, worker] : engine.m_state.m_workers) {
    CheckWorkerSilence(engine, state_machines, worker, lease_term, now);
    if (worker.m_state != WorkerState::kQuarantined) continue;
    if (now < worker.m_quarantined_until) continue;
    StepWorker(engine, state_machines, worker, WorkerEvent::kQuarantineEnded,
               now);
  }
}

void EvictTask(PartitionEngine& engine,
               const PlacementStateMachines& state_machines,
               const TaskId& task) {
  RequestStop(engine, state_machines, engine.m_state.m_tasks.at(task));
}

void ResumeOwnership(PartitionEngine& engine,
                     const PlacementStateMachines& state_machines,
                     TimePoint now) {
  engine.m_owned_since = now;
  for (auto& [id, task] : engine.m_state.m_tasks) {
    task.m_is_start_sent = true;
    if (!engine.m_state.m_jobs.at(id.m_job).m_is_cancelled) continue;
    RequestStop(engine, state_machines, task);
  }
}

}  // namespace daisyarch
