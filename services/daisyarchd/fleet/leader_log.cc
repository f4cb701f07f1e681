#include "fleet/leader.h"
#include "log/log.h"

namespace daisyarch::fleet {

namespace {

// Covers every job at normal rates, and keeps the processor time for logging
// low during a burst of events.
constexpr std::uint64_t kLinesPerSecond = 60;
constexpr Duration kBudgetPeriod = std::chrono::seconds(1);

// Counts one line against the budget; false if the line has to be dropped.
bool ConsumeLogBudget(Leader& leader, TimePoint now) {
  if (now - leader.m_log_budget_started_at >= kBudgetPeriod) {
    if (leader.m_log_line_count > kLinesPerSecond) {
      LogEvent(LogLevel::kWarning, "log_lines_dropped",
               {{"count", leader.m_log_line_count - kLinesPerSecond}});
    }
    leader.m_log_budget_started_at = now;
    leader.m_log_line_count = 0;
  }
  return ++leader.m_log_line_count <= kLinesPerSecond;
}

void LogFleetEvent(const Leader& leader, const FleetEvent& event) {
  if (event.m_job == JobKey()) {
    return LogEvent(LogLevel::kInfo, event.m_name,
                    {{"worker", event.m_worker.value()},
                     {"last_answer_ms", ToMilliseconds(event.m_age)},
                     {"term", leader.m_claim.m_term.value()}});
  }
  LogEvent(LogLevel::kInfo, event.m_name,
           {{"job", event.m_job.value()},
            {"worker", event.m_worker.value()},
            {"run", event.m_run.value()},
            {"age_ms", ToMilliseconds(event.m_age)},
            {"term", leader.m_claim.m_term.value()}});
}

}  // namespace

void LogFleetEvents(Leader& leader) {
  const TimePoint now = leader.m_runtime.m_clock.m_now();
  for (const FleetEvent& event : leader.m_fleet.m_events) {
    leader.m_runtime.m_metrics->IncrementCounter(
        "daisyarch_fleet_events_total",
        std::string("event=\"") + event.m_name + "\"");
    if (std::string_view(event.m_name) == "job_started") {
      leader.m_runtime.m_metrics->RecordLatency("start", event.m_age);
    }
    if (ConsumeLogBudget(leader, now)) LogFleetEvent(leader, event);
  }
  leader.m_fleet.m_events.clear();
}

}  // namespace daisyarch::fleet
