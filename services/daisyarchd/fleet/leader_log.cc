#include "fleet/leader.h"
#include "log/log.h"

namespace daisyarch::fleet {

namespace {

// Enough for every job at today's rates, and little processor time in a flood.
constexpr std::uint64_t kLinesPerSecond = 60;
constexpr Duration kBudgetPeriod = std::chrono::seconds(1);

bool TakeLine(Leader& leader, TimePoint now) {
  if (now - leader.m_log_second >= kBudgetPeriod) {
    if (leader.m_log_lines > kLinesPerSecond) {
      LogEvent(LogLevel::kWarning, "log_lines_left_out",
               {{"count", leader.m_log_lines - kLinesPerSecond}});
    }
    leader.m_log_second = now;
    leader.m_log_lines = 0;
  }
  return ++leader.m_log_lines <= kLinesPerSecond;
}

void LogOne(const Leader& leader, const FleetEvent& event) {
  if (event.m_job == JobKey()) {
    return LogEvent(LogLevel::kInfo, event.m_name,
                    {{"worker", event.m_worker.value()},
                     {"last_answer_ms", InMilliseconds(event.m_age)},
                     {"term", leader.m_claim.m_term.value()}});
  }
  LogEvent(LogLevel::kInfo, event.m_name,
           {{"job", event.m_job.value()},
            {"worker", event.m_worker.value()},
            {"run", event.m_run.value()},
            {"age_ms", InMilliseconds(event.m_age)},
            {"term", leader.m_claim.m_term.value()}});
}

}  // namespace

void LogFleetEvents(Leader& leader) {
  const TimePoint now = leader.m_runtime.m_clock.m_now();
  for (const FleetEvent& event : leader.m_fleet.m_events) {
    leader.m_runtime.m_metrics->Count(
        "daisyarch_fleet_events_total",
        std::string("event=\"") + event.m_name + "\"");
    if (std::string_view(event.m_name) == "job_started") {
      leader.m_runtime.m_metrics->RecordLatency("start", event.m_age);
    }
    if (TakeLine(leader, now)) LogOne(leader, event);
  }
  leader.m_fleet.m_events.clear();
}

}  // namespace daisyarch::fleet
