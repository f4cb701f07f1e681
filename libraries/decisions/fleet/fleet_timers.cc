#include <algorithm>

#include "decisions/fleet/fleet.h"

namespace daisyarch::fleet {

namespace {

constexpr Duration kRankingInterval = std::chrono::milliseconds(250);
constexpr Duration kStopRepeat = std::chrono::milliseconds(500);
constexpr Duration kStopSweep = std::chrono::milliseconds(100);
// A worker where nothing runs is looked at this rarely.
constexpr Duration kIdleLook = std::chrono::seconds(10);

void SendLook(Fleet& fleet, Worker& worker, TimePoint now) {
  LookOrder look;
  look.m_worker = worker.m_listing.m_worker;
  look.m_look = ++worker.m_look;
  look.m_token = worker.m_token;
  look.m_acknowledged = worker.m_stored_end;
  worker.m_acknowledged_end = worker.m_stored_end;
  // A worker that does not answer must not be granted more: an unanswered
  // look may have arrived, and its lease would never be certainly over.
  look.m_has_lease = worker.m_has_clock &&
                     worker.m_state == WorkerState::kReady &&
                     now < fleet.m_grants_end_at;
  if (look.m_has_lease) {
    look.m_lease_until = LeaseGrantedAt(fleet, worker, now);
    worker.m_lease_until = std::max(worker.m_lease_until, look.m_lease_until);
  }
  if (look.m_has_lease) {
    look.m_wait = fleet.m_limits.m_look_wait;
    // Serving tasks beside fillers are watched more closely.
    if (!worker.m_serving.empty() && !worker.m_fillers.empty()) {
      look.m_wait /= 2;
    }
  }
  worker.m_is_looking = true;
  worker.m_look_sent_at = now;
  fleet.m_orders.push_back(look);
}

void RepeatStops(Fleet& fleet, Worker& worker, TimePoint now) {
  std::vector<TaskReference> unanswered;
  for (const TaskReference& reference : worker.m_runs) {
    Job* job = nullptr;
    const Task* task = FindTask(fleet, reference, job);
    if (task == nullptr || task->m_state != RunState::kStopping) continue;
    if (now - task->m_stop_sent_at < kStopRepeat) continue;
    unanswered.push_back(reference);
  }
  for (const TaskReference& reference : unanswered) {
    SendStop(fleet, *FindJob(fleet, reference.m_job), reference, now);
  }
}

void TickWorker(Fleet& fleet, Worker& worker, TimePoint now) {
  if (worker.m_state != WorkerState::kLapsed && worker.m_has_clock &&
      !worker.m_runs.empty() && worker.m_state != WorkerState::kReady &&
      now >= LeaseEndOf(worker)) {
    StepWorker(fleet, worker, WorkerEvent::kLeaseLapsed);
  }
  if (worker.m_doubt_ends_at != TimePoint() && now >= worker.m_doubt_ends_at) {
    worker.m_doubt_ends_at = TimePoint();
    StepWorker(fleet, worker, WorkerEvent::kLeaseLapsed);
  }
  if (worker.m_is_looking || now < worker.m_next_look_at) return;
  const bool has_ends = worker.m_acknowledged_end < worker.m_stored_end;
  const bool is_idle = worker.m_state == WorkerState::kReady &&
                       worker.m_runs.empty() && worker.m_strays == 0;
  if (is_idle && !has_ends && now - worker.m_look_sent_at < kIdleLook) return;
  SendLook(fleet, worker, now);
}

}  // namespace

void TickFleet(Fleet& fleet, TimePoint now, std::int64_t unix_ms) {
  while (!fleet.m_timed.empty() &&
         std::get<0>(*fleet.m_timed.begin()) <= unix_ms) {
    const auto [due, key, turn] = *fleet.m_timed.begin();
    fleet.m_timed.erase(fleet.m_timed.begin());
    Job* job = FindJob(fleet, key);
    if (job != nullptr && !HasSettled(*job)) ReleaseSteps(fleet, *job, turn);
  }
  if (now >= fleet.m_next_ranking_at) {
    fleet.m_next_ranking_at = now + kRankingInterval;
    RefreshRanks(fleet, now);
  }
  for (auto& entry : fleet.m_workers) TickWorker(fleet, entry.second, now);
  if (now >= fleet.m_next_stop_repeat_at) {
    fleet.m_next_stop_repeat_at = now + kStopSweep;
    for (auto& [id, worker] : fleet.m_workers) {
      if (worker.m_state == WorkerState::kReady) {
        RepeatStops(fleet, worker, now);
      }
    }
  }
  if (now >= fleet.m_next_filler_pass_at && !fleet.m_waiting_fillers.empty()) {
    fleet.m_needs_placement = true;
  }
  if (fleet.m_unseen_ends_at != TimePoint() && now >= fleet.m_unseen_ends_at) {
    fleet.m_unseen_ends_at = TimePoint();
    fleet.m_needs_placement = true;
  }
}

}  // namespace daisyarch::fleet
