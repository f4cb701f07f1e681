#include "models/fleet_worker_model.h"

#include <algorithm>

namespace daisyarch::fleet {

namespace {

constexpr int kPercent = 100;
constexpr std::uint8_t kInitializedPercent = 100;

void EndRun(FleetWorkerModel& model, const TaskReference& task, RunNumber run,
            RunOutcome outcome) {
  model.m_running.erase(task);
  RunNumber& closed = model.m_closed_runs[task];
  closed = std::max(closed, run);
  EndedRun ended_run;
  ended_run.m_number = OutcomeNumber(++model.m_last_outcome_number);
  ended_run.m_task = task;
  ended_run.m_run = run;
  ended_run.m_outcome = outcome;
  model.m_ended.push_back(ended_run);
  if (model.m_on_end) model.m_on_end(ended_run);
}

// Forgets the ended runs that are acknowledged.
void Forget(FleetWorkerModel& model, OutcomeNumber acknowledged) {
  const auto kept = std::find_if(model.m_ended.begin(), model.m_ended.end(),
                                 [acknowledged](const EndedRun& ended_run) {
                                   return ended_run.m_number > acknowledged;
                                 });
  const std::vector<EndedRun> forgotten(model.m_ended.begin(), kept);
  model.m_ended.erase(model.m_ended.begin(), kept);
  for (const EndedRun& ended_run : forgotten) {
    const bool has_lapsed = ended_run.m_number <= model.m_last_end_before_lapse;
    if (model.m_on_acknowledged && !has_lapsed) {
      model.m_on_acknowledged(ended_run);
    }
  }
}

void ExtendLease(FleetWorkerModel& model, WorkerMilliseconds until,
                 TimePoint now) {
  const WorkerMilliseconds longest =
      ClockOf(model, now) +
      WorkerMilliseconds(ToMilliseconds(model.m_longest_lease));
  model.m_lease_until = std::max(model.m_lease_until, std::min(until, longest));
}

// Returns true if the worker has seen a higher token, and records the token
// otherwise.
bool IsFenced(FleetWorkerModel& model, FencingToken token) {
  if (token < model.m_highest_token) return true;
  model.m_highest_token = token;
  return false;
}

Error FencedError(const FleetWorkerModel& model) {
  return Error{ErrorCode::kConflict, "order", model.m_listing.m_worker.value(),
               "a higher token was seen"};
}

Duration WorkLeft(const ModelRun& run, TimePoint now) {
  if (run.m_limit_percent == 0) return run.m_work_left;
  return (run.m_ends_at - now) * run.m_limit_percent / kPercent;
}

void SetLimit(ModelRun& run, std::uint8_t percent, TimePoint now) {
  run.m_work_left = WorkLeft(run, now);
  run.m_limit_percent = percent;
  run.m_ends_at = percent == 0 ? TimePoint::max()
                               : now + run.m_work_left * kPercent / percent;
}

// Continues from a checkpoint, which holds the work done in milliseconds.
void RestoreProgress(ModelRun& run, const std::string& checkpoint,
                     TimePoint now) {
  run.m_work = run.m_ends_at - now;
  if (!run.m_saves_progress || checkpoint.empty()) return;
  // A run takes a millisecond at least, so that it does not end as it starts.
  run.m_ends_at =
      std::max(now + FromMilliseconds(1),
               run.m_ends_at - FromMilliseconds(std::stoll(checkpoint)));
}

std::string CheckpointOf(const ModelRun& run, TimePoint now) {
  if (!run.m_saves_progress) return "";
  return std::to_string(ToMilliseconds(run.m_work - WorkLeft(run, now)));
}

ActiveRun ActiveRunOf(const FleetWorkerModel& model, const TaskReference& task,
                      const ModelRun& run, TimePoint now) {
  return {task, run.m_run, CheckpointOf(run, now), kInitializedPercent,
          model.m_load_of ? model.m_load_of(task, run) : 0};
}

}  // namespace

WorkerMilliseconds ClockOf(const FleetWorkerModel& model, TimePoint now) {
  return WorkerMilliseconds(static_cast<std::int64_t>(
      static_cast<double>(ToMilliseconds(now - model.m_process_started_at)) *
      model.m_clock_rate));
}

void Advance(FleetWorkerModel& model, TimePoint now) {
  if (!model.m_is_up) return;
  const bool has_lapsed = ClockOf(model, now) > model.m_lease_until;
  const auto running = model.m_running;
  for (const auto& [task, run] : running) {
    if (run.m_ends_at <= now) {
      EndRun(model, task, run.m_run, run.m_outcome);
    } else if (has_lapsed) {
      EndRun(model, task, run.m_run, RunOutcome::kLapsed);
    }
  }
  if (has_lapsed) {
    model.m_last_end_before_lapse = OutcomeNumber(model.m_last_outcome_number);
  }
}

void Crash(FleetWorkerModel& model, TimePoint now) {
  Advance(model, now);
  model.m_is_up = false;
  model.m_running.clear();
  model.m_ended.clear();
  model.m_closed_runs.clear();
  model.m_last_outcome_number = 0;
  model.m_last_end_before_lapse = OutcomeNumber();
  model.m_highest_token = FencingToken();
  model.m_lease_until = WorkerMilliseconds();
}

void CrashProcess(FleetWorkerModel& model, TimePoint now) {
  Crash(model, now);
  model.m_is_host_up = true;
}

void Restart(FleetWorkerModel& model, TimePoint now) {
  model.m_is_up = true;
  model.m_is_host_up = false;
  model.m_process_started_at = now;
  model.m_listing.m_incarnation =
      Incarnation(model.m_listing.m_incarnation.value() + 1);
}

void SetCapacity(FleetWorkerModel& model, const Resources& capacity,
                 TimePoint now) {
  model.m_earlier_capacities.emplace_back(now, model.m_listing.m_capacity);
  model.m_listing.m_capacity = capacity;
}

Resources LargestCapacitySince(const FleetWorkerModel& model, TimePoint since) {
  Resources largest = model.m_listing.m_capacity;
  for (const auto& [until, capacity] : model.m_earlier_capacities) {
    if (until < since) continue;
    largest.m_processors =
        std::max(largest.m_processors, capacity.m_processors);
    largest.m_memory = std::max(largest.m_memory, capacity.m_memory);
    largest.m_accelerators =
        std::max(largest.m_accelerators, capacity.m_accelerators);
  }
  return largest;
}

WorkerReport ReportOf(const FleetWorkerModel& model, TimePoint now) {
  WorkerReport report;
  report.m_incarnation = model.m_listing.m_incarnation;
  report.m_clock = ClockOf(model, now);
  for (const auto& [task, run] : model.m_running) {
    report.m_running.push_back(ActiveRunOf(model, task, run, now));
  }
  const std::size_t listed =
      std::min(model.m_ended.size(), model.m_maximum_listed_ends);
  report.m_ended.assign(
      model.m_ended.begin(),
      model.m_ended.begin() + static_cast<std::ptrdiff_t>(listed));
  report.m_lists_all_ends = listed == model.m_ended.size();
  return report;
}

StartOutcome Receive(FleetWorkerModel& model, const StartOrder& order,
                     TimePoint now) {
  Advance(model, now);
  if (IsFenced(model, order.m_token)) return StartOutcome::kRefused;
  const auto running = model.m_running.find(order.m_task);
  if (running != model.m_running.end() &&
      running->second.m_run == order.m_run) {
    return StartOutcome::kStarted;
  }
  if (order.m_lease_until < ClockOf(model, now) ||
      now < model.m_unhealthy_until) {
    return StartOutcome::kRefused;
  }
  ExtendLease(model, order.m_lease_until, now);
  const auto closed = model.m_closed_runs.find(order.m_task);
  const bool is_outdated =
      closed != model.m_closed_runs.end() && order.m_run <= closed->second;
  if (is_outdated || running != model.m_running.end()) {
    return StartOutcome::kRefused;
  }
  ModelRun run = model.m_plan_run(order.m_task, order.m_run);
  run.m_run = order.m_run;
  run.m_started_at = now;
  RestoreProgress(run, order.m_checkpoint, now);
  model.m_running[order.m_task] = run;
  if (model.m_on_start) model.m_on_start(order.m_task, order.m_run);
  return StartOutcome::kStarted;
}

Result<void> Receive(FleetWorkerModel& model, const StopOrder& order,
                     TimePoint now) {
  Advance(model, now);
  if (IsFenced(model, order.m_token)) return FencedError(model);
  const auto running = model.m_running.find(order.m_task);
  if (running != model.m_running.end() &&
      running->second.m_run == order.m_run) {
    EndRun(model, order.m_task, order.m_run, RunOutcome::kStopped);
  } else {
    RunNumber& closed = model.m_closed_runs[order.m_task];
    closed = std::max(closed, order.m_run);
  }
  return Success();
}

Result<void> Receive(FleetWorkerModel& model, const ThrottleOrder& order,
                     TimePoint now) {
  Advance(model, now);
  if (IsFenced(model, order.m_token)) return FencedError(model);
  if (now < model.m_unhealthy_until) {
    return Error{ErrorCode::kUnavailable, "throttle task",
                 model.m_listing.m_worker.value(), "the worker is unhealthy"};
  }
  const auto running = model.m_running.find(order.m_task);
  if (running != model.m_running.end() &&
      running->second.m_run == order.m_run) {
    SetLimit(running->second, order.m_percent, now);
  }
  return Success();
}

Result<WorkerReport> Receive(FleetWorkerModel& model, const PollOrder& order,
                             TimePoint now) {
  Advance(model, now);
  if (IsFenced(model, order.m_token)) return FencedError(model);
  if (order.m_has_lease) {
    ExtendLease(model, order.m_lease_until, now);
  }
  Forget(model, order.m_acknowledged);
  return ReportOf(model, now);
}

}  // namespace daisyarch::fleet
