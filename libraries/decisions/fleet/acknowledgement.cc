#include "decisions/fleet/acknowledgement.h"

#include <algorithm>

#include "decisions/fleet/ended_runs.h"
#include "decisions/fleet/fencing.h"
#include "decisions/fleet/late_start.h"

namespace daisyarch::fleet {

namespace {

// Poll interval that extends leases while ended runs cannot be stored, or
// starts are not answered.
constexpr Duration kLeasePollInterval = std::chrono::milliseconds(300);
// A worker with ended runs that are not acknowledged answers polls at once.
constexpr Duration kWithheldPollInterval = std::chrono::milliseconds(100);

// A report that shows the run answers its start as well.
bool IsUnanswered(Fleet& fleet, const Worker& worker,
                  const TaskReference& reference) {
  const FoundRun found = FindRun(fleet, reference);
  return found.m_task != nullptr &&
         IsRunOnWorker(*found.m_task, worker, found.m_task->m_run) &&
         found.m_task->m_start_confirmation == StartConfirmation::kPending;
}

// A worker that has restarted numbers its ended runs anew, so it would forget
// ended runs that it has not reported.
bool HasEndToAcknowledge(const Worker& worker) {
  return worker.m_is_incarnation_confirmed &&
         worker.m_first_listed_end != OutcomeNumber() &&
         worker.m_first_listed_end <= worker.m_stored_end;
}

}  // namespace

// Forgets the starts that a report or an end has answered meanwhile, so that
// each is looked up about once.
bool AwaitsStartAnswer(Fleet& fleet, Worker& worker) {
  auto& starts = worker.m_unanswered_starts;
  while (!starts.empty() && !IsUnanswered(fleet, worker, *starts.begin())) {
    starts.erase(starts.begin());
  }
  return !starts.empty();
}

OutcomeNumber AcknowledgeableEnd(Fleet& fleet, Worker& worker, TimePoint now) {
  const bool may_be_forgotten =
      MayTakeOrderLate(fleet, worker.m_listing.m_worker, now) ||
      AwaitsStartAnswer(fleet, worker);
  return may_be_forgotten ? OutcomeNumber() : worker.m_stored_end;
}

OutcomeNumber EndToAcknowledge(Fleet& fleet, Worker& worker, TimePoint now) {
  if (!HasEndToAcknowledge(worker)) return {};
  return AcknowledgeableEnd(fleet, worker, now);
}

// A worker answers at once while it has unacknowledged ended runs, so the next
// poll waits until these can be acknowledged.
Duration UnacknowledgedPollInterval(Fleet& fleet, Worker& worker,
                                    const WorkerReport& report, TimePoint now) {
  if (report.m_ended.empty()) return Duration{};
  const OutcomeNumber last = report.m_ended.back().m_number;
  if (worker.m_stored_end < last) return kLeasePollInterval;
  return AcknowledgeableEnd(fleet, worker, now) < last ? kWithheldPollInterval
                                                       : Duration{};
}

// The worker would answer at once and list the same ends again.
bool PostponePoll(Fleet& fleet, Worker& worker, TimePoint now) {
  const TimePoint latest = worker.m_clock_read_at + kLeasePollInterval;
  if (worker.m_state != WorkerState::kReady || now >= latest) return false;
  if (!HasEndToAcknowledge(worker) || !AwaitsStartAnswer(fleet, worker)) {
    return false;
  }
  worker.m_next_poll_at = latest;
  return true;
}

void ResumePoll(Fleet& fleet, Worker& worker, TimePoint now) {
  if (worker.m_is_polling) return;
  if (EndToAcknowledge(fleet, worker, now) == OutcomeNumber()) return;
  const TimePoint earliest =
      std::max(now, worker.m_clock_read_at + PollSpacing(fleet, worker));
  worker.m_next_poll_at = std::min(worker.m_next_poll_at, earliest);
}

void RecordAcknowledgement(Worker& worker, const PollOrder& poll) {
  worker.m_poll_acknowledged = poll.m_acknowledged;
  if (poll.m_acknowledged == OutcomeNumber()) return;
  worker.m_acknowledging_token = poll.m_token;
}

// Those before it that have no answer carry lower tokens.
void RecordAcknowledgementAnswered(Worker& worker) {
  if (worker.m_poll_acknowledged == OutcomeNumber()) return;
  worker.m_acknowledging_token = FencingToken();
}

void OutrankAcknowledgement(Fleet& fleet, Worker& worker) {
  if (worker.m_acknowledging_token < worker.m_token) return;
  RaiseOrderToken(fleet, worker);
}

}  // namespace daisyarch::fleet
