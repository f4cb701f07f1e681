#include "decisions/fleet/worker_index.h"

#include <algorithm>
#include <tuple>

#include "decisions/fleet/fleet.h"

namespace daisyarch::fleet {

namespace {

// Share of the reserved processors that is assumed busy. Under this assumption,
// best-effort tasks still get their whole demand.
constexpr std::int64_t kBusyPercentOfReserved = 50;
constexpr std::int64_t kPercent = 100;
constexpr std::int64_t kFitScale = 1000;
constexpr TimePoint kNever = TimePoint::max();
// Poll interval of a worker that runs nothing.
constexpr Duration kIdlePollInterval = std::chrono::seconds(10);

TimePoint LeaseCheckAt(const Worker& worker) {
  const bool may_lapse = worker.m_state != WorkerState::kLapsed &&
                         worker.m_state != WorkerState::kReady &&
                         worker.m_has_clock && !worker.m_runs.empty();
  return may_lapse ? LeaseEndOf(worker) : kNever;
}

TimePoint StartCheckAt(Fleet& fleet, const Worker& worker) {
  TimePoint at = kNever;
  if (worker.m_state == WorkerState::kReady) return at;
  for (const TaskReference& reference : worker.m_runs) {
    Job* job = nullptr;
    const Task* task = FindTask(fleet, reference, job);
    if (task == nullptr ||
        task->m_start_confirmation != StartConfirmation::kUnconfirmed) {
      continue;
    }
    at = std::min(at, task->m_unconfirmed_until);
  }
  return at;
}

void SetTimer(WorkerIndex& index, Worker& worker, TimePoint at) {
  TimePoint& set_at = worker.m_indexed.m_timer_at;
  if (set_at == at) return;
  if (set_at != kNever) index.m_timers.erase({set_at, &worker});
  if (at != kNever) index.m_timers.emplace(at, &worker);
  set_at = at;
}

void SetMember(WorkerSet& set, Worker& worker, bool& was_member,
               bool is_member) {
  if (was_member == is_member) return;
  was_member = is_member;
  if (is_member) {
    set.insert(&worker);
  } else {
    set.erase(&worker);
  }
}

void SetRoom(IndexedPool& pool, Worker& worker, const RoomFigures& room) {
  pool.m_by_free.emplace(room.m_free, &worker);
  if (!room.m_is_closed) pool.m_by_idle.emplace(room.m_idle, &worker);
  pool.m_by_fit.emplace(room.m_fit, &worker);
}

void RemoveRoom(IndexedPool& pool, Worker& worker) {
  const RoomFigures& room = worker.m_indexed.m_room;
  pool.m_by_free.erase({room.m_free, &worker});
  if (!room.m_is_closed) pool.m_by_idle.erase({room.m_idle, &worker});
  pool.m_by_fit.erase({room.m_fit, &worker});
}

void SetLabels(Worker& worker, IndexedPool* pool) {
  IndexedWorker& indexed = worker.m_indexed;
  static const std::vector<std::string> none;
  const auto& labels = pool == nullptr ? none : worker.m_listing.m_labels;
  if (pool == indexed.m_pool && labels == indexed.m_labels) return;
  for (const std::string& label : indexed.m_labels) {
    auto& by_label = indexed.m_pool->m_by_label;
    const auto workers = by_label.find(label);
    if (workers == by_label.end()) continue;
    workers->second.erase(&worker);
    if (workers->second.empty()) by_label.erase(workers);
  }
  for (const std::string& label : labels) {
    pool->m_by_label[label].insert(&worker);
  }
  indexed.m_labels = labels;
}

void SetPool(WorkerIndex& index, Worker& worker) {
  IndexedWorker& indexed = worker.m_indexed;
  IndexedPool* pool = nullptr;
  RoomFigures room;
  if (IsInService(worker)) {
    pool = &index.m_pools[worker.m_listing.m_pool];
    const Millicores capacity = worker.m_listing.m_capacity.m_processors;
    room = {(capacity - worker.m_used.m_processors).value(),
            AssumedIdleProcessors(worker), FitScore(worker),
            IsClosedToBestEffort(worker)};
    pool->m_largest = std::max(pool->m_largest, capacity.value());
  }
  SetLabels(worker, pool);
  if (pool == indexed.m_pool && room == indexed.m_room) return;
  if (indexed.m_pool != nullptr) RemoveRoom(*indexed.m_pool, worker);
  if (pool != nullptr) SetRoom(*pool, worker, room);
  indexed.m_pool = pool;
  indexed.m_room = room;
}

void SetListed(WorkerIndex& index, Worker& worker, Millicores capacity,
               Millicores reserved) {
  IndexedWorker& indexed = worker.m_indexed;
  index.m_listed_capacity += capacity - indexed.m_capacity;
  index.m_listed_reserved += reserved - indexed.m_reserved;
  indexed.m_capacity = capacity;
  indexed.m_reserved = reserved;
}

}  // namespace

TimePoint NextPollAt(const Worker& worker) {
  if (worker.m_is_polling) return kNever;
  const bool is_idle = worker.m_state == WorkerState::kReady &&
                       worker.m_runs.empty() && worker.m_unknown_runs == 0;
  const bool has_listed_ends = worker.m_first_listed_end != OutcomeNumber();
  if (!is_idle || has_listed_ends) return worker.m_next_poll_at;
  return std::max(worker.m_next_poll_at,
                  std::min(worker.m_poll_sent_at + kIdlePollInterval,
                           worker.m_late_start_check_at));
}

bool WorkerFigureOrder::operator()(const Entry& left,
                                   const Entry& right) const {
  if (left.first != right.first) return left.first < right.first;
  // A search by the figure alone comes before all workers with it.
  if (right.second == nullptr) return false;
  if (left.second == nullptr) return true;
  return left.second->m_listing.m_worker < right.second->m_listing.m_worker;
}

bool IsInService(const Worker& worker) {
  return worker.m_state == WorkerState::kReady && worker.m_is_listed &&
         worker.m_is_in_roster && worker.m_has_clock &&
         // Its report has room for the end of one more run.
         worker.m_listed_ends + worker.m_runs.size() < kMaximumListedEnds &&
         worker.m_unknown_runs == 0 && !worker.m_listing.m_is_leaving &&
         !worker.m_is_evacuated;
}

bool IsClosedToBestEffort(const Worker& worker) {
  return std::any_of(worker.m_headrooms.begin(), worker.m_headrooms.end(),
                     [](const ServingHeadroom& serving) {
                       return IsHeadroomTooLow(serving.m_headroom);
                     });
}

// Reservations are sized for peaks, so part of them is idle as well.
std::int64_t AssumedIdleProcessors(const Worker& worker) {
  const std::int64_t busy =
      worker.m_used.m_processors.value() * kBusyPercentOfReserved / kPercent;
  return (worker.m_listing.m_capacity.m_processors -
          worker.m_best_effort_demand)
             .value() -
         busy;
}

std::int64_t FitScore(const Worker& worker) {
  const std::int64_t whole = std::max<std::int64_t>(
      1, worker.m_listing.m_capacity.m_processors.value());
  const std::int64_t left =
      (worker.m_listing.m_capacity.m_processors - worker.m_used.m_processors)
          .value();
  return left * kFitScale / whole;
}

bool WorkerNumberOrder::operator()(const Worker* left,
                                   const Worker* right) const {
  return left->m_number < right->m_number;
}

bool WorkerTimerOrder::operator()(const Timer& left, const Timer& right) const {
  return std::tie(left.first, left.second->m_number) <
         std::tie(right.first, right.second->m_number);
}

void UpdateWorkerIndex(Fleet& fleet, Worker& worker) {
  WorkerIndex& index = fleet.m_worker_index;
  worker.m_is_evacuated =
      IsEvacuated(fleet.m_evacuations, worker.m_listing.m_failure_domain);
  SetTimer(index, worker,
           std::min({NextPollAt(worker), LeaseCheckAt(worker),
                     StartCheckAt(fleet, worker)}));
  IndexedWorker& indexed = worker.m_indexed;
  SetMember(index.m_roster_candidates, worker, indexed.m_is_roster_candidate,
            !worker.m_is_in_roster || worker.m_listing.m_is_leaving);
  SetMember(index.m_unstored_ends, worker, indexed.m_has_unstored_ends,
            worker.m_applied_end != worker.m_stored_end);
  SetMember(
      index.m_inherited_runs, worker, indexed.m_has_inherited_runs,
      worker.m_inherited_runs_until != TimePoint() || worker.m_awaits_jobs);
  SetMember(index.m_without_entry, worker, indexed.m_is_without_entry,
            !worker.m_has_entry);
  SetMember(index.m_mixed, worker, indexed.m_is_mixed,
            !worker.m_serving.empty() && !worker.m_best_effort_images.empty());
  SetPool(index, worker);
  if (worker.m_is_listed && !worker.m_is_evacuated) {
    SetListed(index, worker, worker.m_listing.m_capacity.m_processors,
              worker.m_used.m_processors);
  } else {
    SetListed(index, worker, Millicores(), Millicores());
  }
}

void RemoveFromIndex(Fleet& fleet, Worker& worker) {
  WorkerIndex& index = fleet.m_worker_index;
  SetTimer(index, worker, kNever);
  SetListed(index, worker, Millicores(), Millicores());
  if (worker.m_indexed.m_pool != nullptr) {
    RemoveRoom(*worker.m_indexed.m_pool, worker);
    SetLabels(worker, nullptr);
    worker.m_indexed.m_pool = nullptr;
  }
  for (WorkerSet* set :
       {&index.m_roster_candidates, &index.m_unstored_ends,
        &index.m_inherited_runs, &index.m_without_entry, &index.m_mixed}) {
    set->erase(&worker);
  }
}

}  // namespace daisyarch::fleet
