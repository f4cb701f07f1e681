#include "decisions/fleet/start_answer.h"

#include "decisions/fleet/ended_runs.h"

namespace daisyarch::fleet {

namespace {

// A later incarnation began after the last reading of this one's clock, and no
// worker's clock runs fast. An answer of this one shows a higher reading, also
// if it is late, unless it had just begun when its clock was read.
bool MayComeFromLaterIncarnation(const Worker& worker, const StartOrder& order,
                                 const StartAnswer& answer, TimePoint now) {
  if (!answer.m_clock || !worker.m_has_clock) return false;
  if (order.m_incarnation != worker.m_listing.m_incarnation) return false;
  const TimePoint read_after =
      worker.m_clock_began_after + FromMilliseconds(worker.m_clock.value());
  return FromMilliseconds(answer.m_clock->value()) <= now - read_after;
}

}  // namespace

// The later incarnation has clipped the order's deadline to the longest lease,
// and may take other orders to the former one until these are too late.
StartOutcome ApplyStartAnswer(Fleet& fleet, const StartOrder& order,
                              const StartAnswer& answer, TimePoint now) {
  const Worker* worker = FindWorker(fleet, order.m_worker);
  const bool is_in_doubt =
      answer.m_outcome == StartOutcome::kStarted && worker != nullptr &&
      MayComeFromLaterIncarnation(*worker, order, answer, now);
  if (!is_in_doubt) {
    ApplyStartOutcome(fleet, order, answer.m_outcome, now);
    return answer.m_outcome;
  }
  fleet.m_events.push_back(
      {"start_answered_after_restart", order.m_task.m_job, order.m_worker,
       order.m_run, FromMilliseconds(answer.m_clock->value()), order.m_task});
  Job* job = FindJob(fleet, order.m_task.m_job);
  if (job != nullptr) RecordJobStart(fleet, *job);
  ApplyStartOutcome(fleet, order, StartOutcome::kUnanswered, now);
  return StartOutcome::kUnanswered;
}

}  // namespace daisyarch::fleet
