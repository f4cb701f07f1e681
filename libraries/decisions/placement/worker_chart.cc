#include "decisions/placement/worker_chart.h"

#include <algorithm>

namespace daisyarch {

namespace {

constexpr std::uint32_t kMaximumDoublings = 6;

bool FailsEverything(const WorkerContext& context) {
  return context.m_worker.m_failures_in_row + 1 >= kFailuresBeforeSetAside;
}

bool BackOffLasts(const WorkerContext& context) {
  return context.m_now < context.m_worker.m_set_aside_until;
}

bool WasSetAside(const WorkerContext& context) {
  return context.m_worker.m_set_aside_count > 0;
}

void CountFailure(WorkerContext& context) {
  ++context.m_worker.m_failures_in_row;
}

void ClearFailures(WorkerContext& context) {
  context.m_worker.m_failures_in_row = 0;
}

void ForgetSetAsides(WorkerContext& context) {
  context.m_worker.m_set_aside_count = 0;
}

void StartBackOff(WorkerContext& context) {
  Worker& worker = context.m_worker;
  const std::uint32_t doublings =
      std::min(worker.m_set_aside_count, kMaximumDoublings);
  const Duration back_off = kFirstSetAside * (1 << doublings);
  worker.m_set_aside_until =
      context.m_now + std::min(back_off, kLongestSetAside);
  ++worker.m_set_aside_count;
}

}  // namespace

ChartBinding<WorkerContext> WorkerBinding() {
  return {
      {"unseen", "ready", "probing", "set_aside", "silent", "lapsed"},
      {"answered", "missed", "leases_ran_out", "task_finished", "task_failed",
       "back_off_ended"},
      {{"fails_everything", FailsEverything},
       {"back_off_lasts", BackOffLasts},
       {"was_set_aside", WasSetAside}},
      {{"count_failure", CountFailure},
       {"clear_failures", ClearFailures},
       {"forget_set_asides", ForgetSetAsides},
       {"start_back_off", StartBackOff}},
  };
}

}  // namespace daisyarch
