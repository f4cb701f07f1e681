#include <algorithm>

#include "decisions/fleet/fleet.h"

namespace daisyarch::fleet {

namespace {

constexpr Duration kRankingInterval = std::chrono::milliseconds(250);
constexpr Duration kStopRepeatInterval = std::chrono::milliseconds(500);
constexpr Duration kStopSweepInterval = std::chrono::milliseconds(100);
// Poll interval of a worker that runs nothing.
constexpr Duration kIdlePollInterval = std::chrono::seconds(10);

bool HasEndsToAcknowledge(const Worker& worker) {
  return worker.m_first_listed_end != OutcomeNumber() &&
         worker.m_first_listed_end <= worker.m_stored_end;
}

void SendPoll(Fleet& fleet, Worker& worker, TimePoint now) {
  PollOrder poll;
  poll.m_worker = worker.m_listing.m_worker;
  poll.m_poll_number = ++worker.m_poll_number;
  poll.m_token = worker.m_token;
  // A worker that has restarted numbers its ended runs anew, so it would forget
  // ended runs that it has not reported.
  if (worker.m_is_incarnation_confirmed && HasEndsToAcknowledge(worker)) {
    poll.m_acknowledged = worker.m_stored_end;
  }
  // The lease of a worker that does not answer is not extended: an unanswered
  // poll may still have reached it, so the leader could never be sure that the
  // lease has expired.
  poll.m_has_lease = worker.m_has_clock &&
                     worker.m_state == WorkerState::kReady &&
                     now < fleet.m_lease_limit;
  if (poll.m_has_lease) {
    poll.m_lease_until = LeaseDeadlineAt(fleet, worker, now);
    worker.m_lease_until = std::max(worker.m_lease_until, poll.m_lease_until);
  }
  if (poll.m_has_lease) {
    poll.m_wait = fleet.m_limits.m_poll_wait;
    // Workers that mix serving and best-effort tasks are polled more often.
    if (!worker.m_serving.empty() && !worker.m_best_effort_images.empty()) {
      poll.m_wait /= 2;
    }
  }
  worker.m_is_polling = true;
  worker.m_poll_sent_at = now;
  fleet.m_orders.push_back(poll);
}

void RepeatStops(Fleet& fleet, Worker& worker, TimePoint now) {
  std::vector<TaskReference> unanswered;
  for (const TaskReference& reference : worker.m_runs) {
    Job* job = nullptr;
    const Task* task = FindTask(fleet, reference, job);
    if (task == nullptr || task->m_state != RunState::kStopping) continue;
    if (now - task->m_stop_sent_at < kStopRepeatInterval) continue;
    unanswered.push_back(reference);
  }
  for (const TaskReference& reference : unanswered) {
    SendStop(fleet, *FindJob(fleet, reference.m_job), reference, now);
  }
}

// Interrupts the unconfirmed starts that can no longer take effect.
void AbandonExpiredStarts(Fleet& fleet, Worker& worker, TimePoint now) {
  const std::set<TaskReference> runs = worker.m_runs;
  for (const TaskReference& reference : runs) {
    Job* job = nullptr;
    const Task* task = FindTask(fleet, reference, job);
    if (task == nullptr || now < task->m_unconfirmed_until) continue;
    AbandonStart(fleet, *job, reference);
  }
}

// Returns whether a poll was sent.
bool TickWorker(Fleet& fleet, Worker& worker, TimePoint now) {
  if (worker.m_state != WorkerState::kLapsed && worker.m_has_clock &&
      !worker.m_runs.empty() && worker.m_state != WorkerState::kReady &&
      now >= LeaseEndOf(worker)) {
    StepWorker(fleet, worker, WorkerEvent::kLeaseLapsed);
  }
  if (worker.m_state != WorkerState::kReady) {
    AbandonExpiredStarts(fleet, worker, now);
  }
  if (worker.m_is_polling || now < worker.m_next_poll_at) return false;
  const bool has_listed_ends = worker.m_first_listed_end != OutcomeNumber();
  const bool is_idle = worker.m_state == WorkerState::kReady &&
                       worker.m_runs.empty() && worker.m_unknown_runs == 0;
  if (is_idle && !has_listed_ends &&
      now - worker.m_poll_sent_at < kIdlePollInterval) {
    return false;
  }
  SendPoll(fleet, worker, now);
  return true;
}

// Ticks the workers in turn, from the one after the worker that was polled
// last, until enough polls are sent.
void TickWorkers(Fleet& fleet, TimePoint now) {
  fleet.m_has_due_polls = false;
  std::size_t polls_left = fleet.m_limits.m_polls_per_pass;
  auto position = fleet.m_workers.upper_bound(fleet.m_last_polled);
  for (std::size_t count = fleet.m_workers.size(); count > 0; --count) {
    if (position == fleet.m_workers.end()) position = fleet.m_workers.begin();
    if (TickWorker(fleet, position->second, now)) {
      fleet.m_last_polled = position->first;
      if (--polls_left == 0) {
        fleet.m_has_due_polls = count > 1;
        return;
      }
    }
    ++position;
  }
}

}  // namespace

void TickFleet(Fleet& fleet, TimePoint now, std::int64_t unix_ms) {
  while (!fleet.m_pending_occurrences.empty() &&
         std::get<0>(*fleet.m_pending_occurrences.begin()) <= unix_ms) {
    const auto [due, key, occurrence] = *fleet.m_pending_occurrences.begin();
    fleet.m_pending_occurrences.erase(fleet.m_pending_occurrences.begin());
    Job* job = FindJob(fleet, key);
    if (job != nullptr && !HasEnded(*job))
      ReleaseSteps(fleet, *job, occurrence);
  }
  if (now >= fleet.m_next_ranking_at) {
    fleet.m_next_ranking_at = now + kRankingInterval;
    RefreshRanks(fleet, now);
    // No event marks the end of some obstacles, such as a quarantine.
    if (!fleet.m_waiting_reserved.empty()) fleet.m_needs_placement = true;
  }
  TickWorkers(fleet, now);
  if (now >= fleet.m_next_stop_repeat_at) {
    fleet.m_next_stop_repeat_at = now + kStopSweepInterval;
    for (auto& [id, worker] : fleet.m_workers) {
      if (worker.m_state == WorkerState::kReady) {
        RepeatStops(fleet, worker, now);
      }
    }
  }
  if (now >= fleet.m_next_best_effort_pass_at &&
      !fleet.m_waiting_best_effort.empty()) {
    fleet.m_needs_placement = true;
  }
  if (fleet.m_inherited_runs_end_at != TimePoint() &&
      now >= fleet.m_inherited_runs_end_at) {
    fleet.m_inherited_runs_end_at = TimePoint();
    fleet.m_needs_placement = true;
  }
}

}  // namespace daisyarch::fleet
