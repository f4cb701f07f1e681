#include <string_view>

#include "decisions/fleet/ended_runs.h"
#include "decisions/fleet/stalled_steps.h"
#include "fleet/leader.h"
#include "log/log.h"

namespace daisyarch::fleet {

namespace {

// Covers every job at normal rates, and keeps the processor time for logging
// low during a burst of events.
constexpr std::uint64_t kLinesPerSecond = 60;
constexpr Duration kBudgetPeriod = std::chrono::seconds(1);
constexpr Duration kStatusInterval = std::chrono::seconds(2);
// Above the usual delay of a start, below the time at which callers notice.
constexpr Duration kStallThreshold = std::chrono::seconds(3);
constexpr std::size_t kMaximumStalledSteps = 4;
constexpr std::string_view kNearWaitPrefix = "near_wait_";

// Events that are frequent on a healthy site. They have a budget of their own,
// so that they do not displace the others.
bool IsRoutine(std::string_view name) {
  return name == "job_started" || name == "run_failed" ||
         name == "run_adopted" || name == "inherited_task_started" ||
         name == "worker_ready" || name == "worker_listed" ||
         name == "earlier_lease_assumed" ||
         name.substr(0, kNearWaitPrefix.size()) == kNearWaitPrefix;
}

// Counts one line against the budget; false if the line has to be dropped.
bool ConsumeLogBudget(LogBudget& budget, TimePoint now) {
  if (now - budget.m_started_at >= kBudgetPeriod) {
    if (budget.m_line_count > kLinesPerSecond) {
      LogEvent(LogLevel::kWarning, "log_lines_dropped",
               {{"count", budget.m_line_count - kLinesPerSecond}});
    }
    budget.m_started_at = now;
    budget.m_line_count = 0;
  }
  return ++budget.m_line_count <= kLinesPerSecond;
}

void LogSupersededEnd(const Leader& leader, const FleetEvent& event,
                      const SupersededEnd& end) {
  LogEvent(LogLevel::kInfo, event.m_name,
           {{"job", event.m_job.value()},
            {"step", std::uint64_t{event.m_task->m_step}},
            {"task", std::uint64_t{event.m_task->m_index}},
            {"worker", event.m_worker.value()},
            {"run", event.m_run.value()},
            {"outcome", NameOf(end.m_outcome)},
            {"task_state", NameOf(end.m_task_state)},
            {"task_run", end.m_task_run.value()},
            {"effect", NameOf(end.m_effect)},
            {"term", leader.m_claim.m_term.value()}});
}

void LogKnownRun(const Leader& leader, const FleetEvent& event) {
  LogEvent(LogLevel::kInfo, event.m_name,
           {{"job", event.m_job.value()},
            {"occurrence", std::uint64_t{event.m_task->m_occurrence}},
            {"step", std::uint64_t{event.m_task->m_step}},
            {"task", std::uint64_t{event.m_task->m_index}},
            {"worker", event.m_worker.value()},
            {"run", event.m_run.value()},
            {"known_run", event.m_known_run->value()},
            {"term", leader.m_claim.m_term.value()}});
}

void LogNearWait(const Leader& leader, const FleetEvent& event,
                 const NearWaitEvent& wait) {
  LogEvent(LogLevel::kInfo, event.m_name,
           {{"job", event.m_job.value()},
            {"occurrence", std::uint64_t{event.m_task->m_occurrence}},
            {"step", std::uint64_t{event.m_task->m_step}},
            {"rack", wait.m_rack},
            {"worker", event.m_worker.value()},
            {"tasks", std::uint64_t{wait.m_tasks}},
            {"ahead", std::uint64_t{wait.m_ahead}},
            {"expected_gain_ms", ToMilliseconds(wait.m_expected_gain)},
            {"wait_ms", ToMilliseconds(wait.m_wait)},
            {"term", leader.m_claim.m_term.value()}});
}

void CountNearWait(Metrics& metrics, const FleetEvent& event,
                   const NearWaitEvent& wait) {
  const std::string labels = std::string("event=\"") + event.m_name + "\"";
  metrics.AddToCounter("daisyarch_near_wait_tasks_total", labels, wait.m_tasks);
  metrics.AddToCounter(
      "daisyarch_near_wait_ms_total", labels,
      static_cast<std::uint64_t>(ToMilliseconds(wait.m_wait)) * wait.m_tasks);
}

void LogFleetEvent(const Leader& leader, const FleetEvent& event) {
  if (event.m_near_wait) return LogNearWait(leader, event, *event.m_near_wait);
  if (event.m_end) return LogSupersededEnd(leader, event, *event.m_end);
  if (event.m_known_run) return LogKnownRun(leader, event);
  if (event.m_job == JobKey()) {
    return LogEvent(LogLevel::kInfo, event.m_name,
                    {{"worker", event.m_worker.value()},
                     {"last_answer_ms", ToMilliseconds(event.m_age)},
                     {"term", leader.m_claim.m_term.value()}});
  }
  if (event.m_task) {
    return LogEvent(LogLevel::kInfo, event.m_name,
                    {{"job", event.m_job.value()},
                     {"step", std::uint64_t{event.m_task->m_step}},
                     {"task", std::uint64_t{event.m_task->m_index}},
                     {"worker", event.m_worker.value()},
                     {"run", event.m_run.value()},
                     {"age_ms", ToMilliseconds(event.m_age)},
                     {"term", leader.m_claim.m_term.value()}});
  }
  LogEvent(LogLevel::kInfo, event.m_name,
           {{"job", event.m_job.value()},
            {"worker", event.m_worker.value()},
            {"run", event.m_run.value()},
            {"age_ms", ToMilliseconds(event.m_age)},
            {"term", leader.m_claim.m_term.value()}});
}

void LogStalledStep(const Leader& leader, const StalledStep& step) {
  LogEvent(LogLevel::kWarning, "step_stalled",
           {{"job", step.m_job.value()},
            {"step_run", std::uint64_t{step.m_step_run_index}},
            {"cause", NameOf(step.m_cause)},
            {"stalled_ms", ToMilliseconds(step.m_stalled_for)},
            {"waiting", std::uint64_t{step.m_waiting}},
            {"placed", std::uint64_t{step.m_placed}},
            {"worker", step.m_worker.value()},
            {"term", leader.m_claim.m_term.value()}});
}

// Returns -1 if there was no answer yet.
std::int64_t AgeInMilliseconds(TimePoint answered_at, TimePoint now) {
  return answered_at == TimePoint() ? -1 : ToMilliseconds(now - answered_at);
}

template <typename Kind>
std::uint64_t CountOrders(const LoopLoad& load) {
  return load.m_orders[Order(Kind()).index()];
}

void LogStatusLine(const Leader& leader, const FleetSummary& summary,
                   TimePoint now) {
  LogEvent(
      LogLevel::kInfo, "leader_status",
      {{"term", leader.m_claim.m_term.value()},
       {"tick_gap_ms", ToMilliseconds(leader.m_longest_tick_gap)},
       {"passes", leader.m_load.m_passes},
       {"tick_ms", ToMilliseconds(leader.m_load.m_tick_time)},
       {"placement_ms", ToMilliseconds(leader.m_load.m_placement_time)},
       {"reports", leader.m_load.m_reports},
       {"reports_repeated", leader.m_load.m_repeated_reports},
       {"ends_listed", leader.m_load.m_listed_ends},
       {"report_ms", ToMilliseconds(leader.m_load.m_report_time)},
       {"starts", CountOrders<StartOrder>(leader.m_load)},
       {"stops", CountOrders<StopOrder>(leader.m_load)},
       {"limits", CountOrders<ThrottleOrder>(leader.m_load)},
       {"polls", CountOrders<PollOrder>(leader.m_load)},
       {"order_ms", ToMilliseconds(leader.m_load.m_order_time)},
       {"relays", std::uint64_t{leader.m_relays.m_serving.size()}},
       {"orders_relayed", leader.m_load.m_relayed_orders},
       {"relay_calls", leader.m_load.m_relay_calls},
       {"batches", leader.m_load.m_batches},
       {"batch_ms", ToMilliseconds(leader.m_load.m_longest_batch)},
       {"rows_encoded", leader.m_load.m_encoded_rows},
       {"rows_written", leader.m_load.m_written_rows},
       {"bytes_written", leader.m_load.m_written_bytes},
       {"write_ms", ToMilliseconds(leader.m_load.m_write_time)},
       {"start_writes", leader.m_load.m_start_writes},
       {"starts_written", leader.m_load.m_written_starts},
       {"start_hold_us", std::int64_t{leader.m_load.m_start_hold.count()}},
       {"late_start_workers",
        std::uint64_t{leader.m_fleet.m_late_starts.size()}},
       {"listing_age_ms", AgeInMilliseconds(leader.m_fleet.m_listed_at, now)},
       {"jobs_watch_age_ms",
        AgeInMilliseconds(leader.m_jobs_watch->m_answered_at, now)},
       {"jobs", std::uint64_t{leader.m_fleet.m_jobs.size()}},
       {"waiting", summary.m_waiting},
       {"starting", summary.m_starting},
       {"running", summary.m_running},
       {"unconfirmed", summary.m_unconfirmed},
       {"stopping", summary.m_stopping},
       {"workers_ready", summary.m_ready_workers},
       {"workers_not_ready", summary.m_other_workers}});
}

}  // namespace

void LogLeaderStatus(Leader& leader) {
  const TimePoint now = leader.m_runtime.m_clock.m_now();
  if (now < leader.m_next_status_at) return;
  leader.m_next_status_at = now + kStatusInterval;
  const FleetSummary summary = Summarize(leader.m_fleet);
  LogStatusLine(leader, summary, now);
  LogRunTimes(leader);
  for (const StalledStep& step : FindStalledSteps(
           leader.m_fleet, kStallThreshold, kMaximumStalledSteps, now)) {
    LogStalledStep(leader, step);
  }
  Metrics& metrics = *leader.m_runtime.m_metrics;
  metrics.SetGauge(
      "daisyarch_leader_tick_gap_ms",
      static_cast<double>(ToMilliseconds(leader.m_longest_tick_gap)));
  metrics.SetGauge("daisyarch_leader_waiting_tasks",
                   static_cast<double>(summary.m_waiting));
  leader.m_longest_tick_gap = Duration{};
  leader.m_load = {};
}

void LogWaitEnd(Leader& leader) {
  const TimePoint now = leader.m_runtime.m_clock.m_now();
  if (leader.m_has_logged_wait_end ||
      MayHaveInheritedRuns(leader.m_fleet, now)) {
    return;
  }
  leader.m_has_logged_wait_end = true;
  std::uint64_t unreported = 0;
  for (const auto& [id, worker] : leader.m_fleet.m_workers) {
    if (worker.m_has_clock) continue;
    ++unreported;
    LogBudget& budget = leader.m_log_budget;
    if (!ConsumeLogBudget(budget, now)) continue;
    LogEvent(LogLevel::kWarning, "worker_unreported",
             {{"worker", id.value()},
              {"is_listed", std::int64_t{worker.m_is_listed}},
              {"term", leader.m_claim.m_term.value()}});
  }
  LogEvent(LogLevel::kInfo, "inherited_runs_known",
           {{"term", leader.m_claim.m_term.value()},
            {"waited_ms", ToMilliseconds(now - leader.m_loaded_at)},
            {"workers", std::uint64_t{leader.m_fleet.m_workers.size()}},
            {"unreported", unreported}});
}

void LogFleetEvents(Leader& leader) {
  const TimePoint now = leader.m_runtime.m_clock.m_now();
  for (const FleetEvent& event : leader.m_fleet.m_events) {
    leader.m_runtime.m_metrics->IncrementCounter(
        "daisyarch_fleet_events_total",
        std::string("event=\"") + event.m_name + "\"");
    if (event.m_near_wait) {
      CountNearWait(*leader.m_runtime.m_metrics, event, *event.m_near_wait);
    }
    if (std::string_view(event.m_name) == "job_started") {
      leader.m_runtime.m_metrics->RecordLatency("start", event.m_age);
    }
    LogBudget& budget = IsRoutine(event.m_name) ? leader.m_routine_log_budget
                                                : leader.m_log_budget;
    if (ConsumeLogBudget(budget, now)) LogFleetEvent(leader, event);
  }
  leader.m_fleet.m_events.clear();
}

}  // namespace daisyarch::fleet
