#include "models/worker_model.h"

#include <algorithm>

namespace daisyarch {

namespace {

WorkerClock ClockOf(TimePoint now) {
  return WorkerClock(ToMilliseconds(now.time_since_epoch()));
}

void AdvanceAttempt(const WorkerModel& worker, ModelAttempt& attempt,
                    TimePoint now) {
  const Duration elapsed = now - attempt.m_advanced_at;
  const Duration work(static_cast<Duration::rep>(
      static_cast<double>(elapsed.count()) * worker.m_speed));
  attempt.m_advanced_at = now;
  attempt.m_checkpoint += static_cast<std::uint64_t>(
      std::min(work, attempt.m_remaining_work) / kCheckpointInterval);
  attempt.m_remaining_work -= std::min(work, attempt.m_remaining_work);
}

void StopAttempt(ModelAttempt& attempt) {
  if (attempt.m_status != AttemptStatus::kRunning) return;
  attempt.m_status = AttemptStatus::kStopped;
}

Resources ResourcesInUse(const WorkerModel& worker) {
  Resources sum;
  for (const auto& [task, attempt] : worker.m_attempts) {
    if (attempt.m_status != AttemptStatus::kRunning) continue;
    sum = sum + attempt.m_demand;
  }
  return sum;
}

// Ignores the start if this attempt of the task or a later one is known here,
// since the same message may arrive twice.
void Start(WorkerModel& worker, const StartOrder& order, TimePoint now) {
  const auto known = worker.m_attempts.find(order.m_id.m_task);
  if (known != worker.m_attempts.end() &&
      known->second.m_attempt >= order.m_id.m_attempt) {
    return;
  }
  if (known != worker.m_attempts.end() &&
      known->second.m_status == AttemptStatus::kRunning) {
    worker.m_violation =
        "started an attempt while an earlier one of the task was running";
  }
  ++worker.m_starts;
  ModelAttempt attempt;
  attempt.m_attempt = order.m_id.m_attempt;
  attempt.m_demand = order.m_demand;
  attempt.m_checkpoint = order.m_checkpoint;
  const Duration done =
      kCheckpointInterval * static_cast<std::int64_t>(order.m_checkpoint);
  attempt.m_remaining_work =
      std::max(order.m_run_time - done, Duration::zero());
  attempt.m_advanced_at = now;
  if (worker.m_fails_everything) attempt.m_status = AttemptStatus::kFailed;
  worker.m_attempts[order.m_id.m_task] = attempt;
  if (!Fits(ResourcesInUse(worker), worker.m_capacity)) {
    worker.m_violation = "demand of the running attempts is above the capacity";
  }
}

// A stop that arrives before its start is recorded, so that the start has no
// effect when it arrives.
void Stop(WorkerModel& worker, const AttemptId& id) {
  const auto known = worker.m_attempts.find(id.m_task);
  if (known == worker.m_attempts.end() ||
      known->second.m_attempt < id.m_attempt) {
    ModelAttempt never_run;
    never_run.m_attempt = id.m_attempt;
    never_run.m_status = AttemptStatus::kNotRun;
    worker.m_attempts[id.m_task] = never_run;
    return;
  }
  if (known->second.m_attempt == id.m_attempt) StopAttempt(known->second);
}

void MarkAcknowledged(WorkerModel& worker, const AttemptId& id) {
  const auto known = worker.m_attempts.find(id.m_task);
  if (known == worker.m_attempts.end()) return;
  if (known->second.m_attempt != id.m_attempt) return;
  if (known->second.m_status == AttemptStatus::kRunning) return;
  known->second.m_forget_at = worker.m_lease_until;
}

void EraseAcknowledged(WorkerModel& worker, TimePoint now) {
  auto& attempts = worker.m_attempts;
  for (auto attempt = attempts.begin(); attempt != attempts.end();) {
    const auto& forget_at = attempt->second.m_forget_at;
    const bool is_due = forget_at && now >= *forget_at;
    attempt = is_due ? attempts.erase(attempt) : std::next(attempt);
  }
}

WorkerReport Report(const WorkerModel& worker, TimePoint now) {
  WorkerReport report;
  report.m_incarnation = worker.m_incarnation;
  report.m_epoch = worker.m_epoch;
  report.m_clock = ClockOf(now);
  for (const auto& [task, attempt] : worker.m_attempts) {
    if (attempt.m_forget_at) continue;
    report.m_attempts.push_back(
        AttemptReport{AttemptId{task, attempt.m_attempt}, attempt.m_status,
                      attempt.m_checkpoint});
  }
  return report;
}

}  // namespace

void AdvanceWorker(WorkerModel& worker, TimePoint now) {
  const TimePoint until = std::min(now, worker.m_lease_until);
  for (auto& [task, attempt] : worker.m_attempts) {
    if (attempt.m_status != AttemptStatus::kRunning) continue;
    if (until > attempt.m_advanced_at) {
      AdvanceAttempt(worker, attempt, until);
    }
    if (attempt.m_remaining_work == Duration::zero()) {
      attempt.m_status = AttemptStatus::kFinished;
      ++worker.m_finishes;
      ++worker.m_finishes_by_task[task];
    }
    if (now >= worker.m_lease_until) StopAttempt(attempt);
  }
}

WorkerReport ApplyControl(WorkerModel& worker, const WorkerControl& control,
                          TimePoint now) {
  AdvanceWorker(worker, now);
  EraseAcknowledged(worker, now);
  if (control.m_epoch < worker.m_epoch) return Report(worker, now);
  worker.m_epoch = control.m_epoch;
  const TimePoint lease_until =
      TimePoint(FromMilliseconds(control.m_lease_from.value())) +
      control.m_lease_term;
  const bool is_for_this_incarnation =
      control.m_incarnation == worker.m_incarnation;
  if (!is_for_this_incarnation || lease_until <= now)
    return Report(worker, now);
  worker.m_lease_until = std::max(worker.m_lease_until, lease_until);
  // Stops come first because they free capacity for the starts.
  for (const AttemptId& id : control.m_stops) Stop(worker, id);
  for (const AttemptId& id : control.m_acknowledged)
    MarkAcknowledged(worker, id);
  for (const StartOrder& order : control.m_starts) Start(worker, order, now);
  return Report(worker, now);
}

void RestartWorker(WorkerModel& worker) {
  worker.m_incarnation = Next(worker.m_incarnation);
  worker.m_epoch = Epoch();
  worker.m_attempts.clear();
  worker.m_lease_until = TimePoint();
}

std::vector<AttemptId> RunningAttempts(const WorkerModel& worker) {
  std::vector<AttemptId> running;
  for (const auto& [task, attempt] : worker.m_attempts) {
    if (attempt.m_status != AttemptStatus::kRunning) continue;
    running.push_back(AttemptId{task, attempt.m_attempt});
  }
  return running;
}

}  // namespace daisyarch
