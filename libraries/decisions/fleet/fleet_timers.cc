#include <algorithm>

#include "decisions/fleet/acknowledgement.h"
#include "decisions/fleet/fleet.h"
#include "decisions/fleet/late_start.h"
#include "decisions/fleet/near_place.h"
#include "decisions/fleet/occurrences.h"

namespace daisyarch::fleet {

namespace {

constexpr Duration kRankingInterval = std::chrono::milliseconds(250);
constexpr Duration kStopRepeatInterval = std::chrono::milliseconds(500);
constexpr Duration kStopRetryInterval = std::chrono::milliseconds(100);

void SendPoll(Fleet& fleet, Worker& worker, TimePoint now) {
  PollOrder poll;
  poll.m_worker = worker.m_listing.m_worker;
  poll.m_poll_number = ++worker.m_poll_number;
  poll.m_token = worker.m_token;
  poll.m_acknowledged = EndToAcknowledge(fleet, worker, now);
  RecordAcknowledgement(worker, poll);
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
    poll.m_wait = std::clamp<Duration>(worker.m_late_start_check_at - now,
                                       Duration{}, fleet.m_limits.m_poll_wait);
    // Workers that mix serving and best-effort tasks are polled more often.
    if (!worker.m_serving.empty() && !worker.m_best_effort_images.empty()) {
      poll.m_wait /= 2;
    }
  }
  worker.m_is_polling = true;
  worker.m_poll_sent_at = now;
  fleet.m_orders.push_back(poll);
}

// Repeats a stop order whose run has not ended, once its worker is in contact.
void RepeatStop(Fleet& fleet, const TaskReference& reference, TimePoint now) {
  Job* job = nullptr;
  const Task* task = FindTask(fleet, reference, job);
  if (task == nullptr || task->m_state != RunState::kStopping) return;
  const Worker* worker = FindWorker(fleet, task->m_worker);
  if (worker == nullptr) return;
  if (worker->m_state != WorkerState::kReady) {
    fleet.m_stop_repeats.emplace(now + kStopRetryInterval, reference);
  } else if (now - task->m_stop_sent_at >= kStopRepeatInterval) {
    SendStop(fleet, *job, reference, now);
  }
}

void RepeatStops(Fleet& fleet, TimePoint now) {
  while (!fleet.m_stop_repeats.empty() &&
         fleet.m_stop_repeats.begin()->first <= now) {
    const TaskReference reference = fleet.m_stop_repeats.begin()->second;
    fleet.m_stop_repeats.erase(fleet.m_stop_repeats.begin());
    RepeatStop(fleet, reference, now);
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
  if (now < NextPollAt(worker)) return false;
  if (PostponePoll(fleet, worker, now)) return false;
  SendPoll(fleet, worker, now);
  return true;
}

// Ticks the workers whose timers have expired until enough polls are sent.
void TickWorkers(Fleet& fleet, TimePoint now) {
  const WorkerTimers& timers = fleet.m_worker_index.m_timers;
  std::size_t polls_left = fleet.m_limits.m_polls_per_pass;
  fleet.m_has_due_polls = false;
  // Each worker once, even if its timer stays due. A tick may change the timers
  // of other workers as well.
  for (auto next = timers.begin();
       next != timers.end() && next->first <= now;) {
    if (polls_left == 0) {
      fleet.m_has_due_polls = true;
      return;
    }
    const auto timer = *next;
    ++fleet.m_work.m_workers;
    if (TickWorker(fleet, *timer.second, now)) --polls_left;
    UpdateWorkerIndex(fleet, *timer.second);
    next = timers.upper_bound(timer);
  }
}

}  // namespace

void SetTime(Fleet& fleet, TimePoint now, std::int64_t unix_ms) {
  fleet.m_ticked_at = now;
  fleet.m_unix_offset_ms = unix_ms - ToMilliseconds(now.time_since_epoch());
}

void TickFleet(Fleet& fleet, TimePoint now, std::int64_t unix_ms) {
  SetTime(fleet, now, unix_ms);
  FreeDoneTasks(fleet, now);
  ReleaseDueOccurrences(fleet, unix_ms);
  if (now >= fleet.m_next_ranking_at) {
    const bool is_ranked = RefreshRanks(fleet, now);
    fleet.m_next_ranking_at = is_ranked ? now + kRankingInterval : now;
    ForgetLateStarts(fleet, now);
    // No event marks the end of some obstacles, such as a quarantine.
    if (HasSteps(fleet.m_waiting_reserved) || !fleet.m_resends.empty()) {
      fleet.m_needs_placement = true;
    }
  }
  TickWorkers(fleet, now);
  RepeatStops(fleet, now);
  if (EndNearWaits(fleet, now)) fleet.m_needs_placement = true;
  if (now >= fleet.m_next_best_effort_pass_at &&
      HasSteps(fleet.m_waiting_best_effort)) {
    fleet.m_needs_placement = true;
  }
  if (fleet.m_inherited_runs_end_at != TimePoint() &&
      now >= fleet.m_inherited_runs_end_at) {
    fleet.m_inherited_runs_end_at = TimePoint();
    fleet.m_needs_placement = true;
  }
}

}  // namespace daisyarch::fleet
