#include "decisions/placement/worker_chart.h"

#include <algorithm>

namespace daisyarch {

namespace {

/// Enough doublings of kFirstQuarantine to reach kLongestQuarantine.
constexpr std::uint32_t kMaximumDoublings = 6;

bool ReachesFailureLimit(const WorkerContext& context) {
  return context.m_worker.m_consecutive_failures + 1 >=
         kFailuresBeforeQuarantine;
}

bool IsQuarantined(const WorkerContext& context) {
  return context.m_now < context.m_worker.m_quarantined_until;
}

bool WasQuarantined(const WorkerContext& context) {
  return context.m_worker.m_quarantine_count > 0;
}

void CountFailure(WorkerContext& context) {
  ++context.m_worker.m_consecutive_failures;
}

void ClearFailures(WorkerContext& context) {
  context.m_worker.m_consecutive_failures = 0;
}

void ResetQuarantineCount(WorkerContext& context) {
  context.m_worker.m_quarantine_count = 0;
}

void StartQuarantine(WorkerContext& context) {
  Worker& worker = context.m_worker;
  const std::uint32_t doublings =
      std::min(worker.m_quarantine_count, kMaximumDoublings);
  const Duration quarantine = kFirstQuarantine * (1 << doublings);
  worker.m_quarantined_until =
      context.m_now + std::min(quarantine, kLongestQuarantine);
  ++worker.m_quarantine_count;
}

}  // namespace

ChartBinding<WorkerContext> WorkerBinding() {
  return {
      {"unseen", "ready", "probing", "set_aside", "silent", "lapsed"},
      {"answered", "answer_timed_out", "leases_expired", "task_finished",
       "task_failed", "quarantine_ended"},
      {{"reaches_failure_limit", ReachesFailureLimit},
       {"is_quarantined", IsQuarantined},
       {"was_quarantined", WasQuarantined}},
      {{"count_failure", CountFailure},
       {"clear_failures", ClearFailures},
       {"reset_quarantine_count", ResetQuarantineCount},
       {"start_quarantine", StartQuarantine}},
  };
}

}  // namespace daisyarch
