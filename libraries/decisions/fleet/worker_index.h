#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/ids.h"
#include "base/resources.h"
#include "base/strong_id.h"
#include "base/time.h"

namespace daisyarch::fleet {

struct Fleet;
struct Worker;

/// Number of a worker of one leader, in the order in which they became known;
/// never reused.
using WorkerNumber = StrongId<struct WorkerNumberTag, std::uint64_t>;

/// Orders workers by number, so that every run of a seed walks them alike.
struct WorkerNumberOrder {
  bool operator()(const Worker* left, const Worker* right) const;
};
using WorkerSet = std::set<Worker*, WorkerNumberOrder>;

/// Orders timers by time, then by the worker's number.
struct WorkerTimerOrder {
  using Timer = std::pair<TimePoint, Worker*>;
  bool operator()(const Timer& left, const Timer& right) const;
};
using WorkerTimers = std::set<WorkerTimerOrder::Timer, WorkerTimerOrder>;

/// Orders workers by a figure of each, then by id.
struct WorkerFigureOrder {
  using Entry = std::pair<std::int64_t, Worker*>;
  bool operator()(const Entry& left, const Entry& right) const;
};
using WorkersByFigure = std::set<WorkerFigureOrder::Entry, WorkerFigureOrder>;

/// Figures of a worker that placement looks for.
struct RoomFigures {
  std::int64_t m_free = 0;   ///< Processors that are not reserved.
  std::int64_t m_idle = 0;   ///< Processors that are assumed idle.
  std::int64_t m_fit = 0;    ///< See FitScore().
  bool m_is_closed = false;  ///< See IsClosedToBestEffort().

  friend bool operator==(const RoomFigures& left, const RoomFigures& right) {
    return left.m_free == right.m_free && left.m_idle == right.m_idle &&
           left.m_fit == right.m_fit && left.m_is_closed == right.m_is_closed;
  }
};

/// The workers of a pool that may get tasks, unless they are in quarantine.
struct IndexedPool {
  WorkersByFigure m_by_free;
  /// Without those that are closed to best-effort tasks.
  WorkersByFigure m_by_idle;
  WorkersByFigure m_by_fit;
  std::map<std::string, WorkerSet> m_by_label;
  /// The most processors that a worker of the pool has had.
  std::int64_t m_largest = 1;
};

/// What the index holds of one worker.
struct IndexedWorker {
  TimePoint m_timer_at = TimePoint::max();  ///< max(): none is set.
  Millicores m_capacity;  ///< Counted in WorkerIndex::m_listed_capacity.
  Millicores m_reserved;  ///< Counted in WorkerIndex::m_listed_reserved.
  /// In WorkerIndex::m_roster_candidates and the sets after it.
  bool m_is_roster_candidate = false;
  bool m_has_unstored_ends = false;
  bool m_has_inherited_runs = false;
  bool m_is_without_entry = false;
  bool m_is_mixed = false;
  IndexedPool* m_pool = nullptr;  ///< Null: it may get no tasks.
  RoomFigures m_room;             ///< In that pool.
  /// In IndexedPool::m_by_label of that pool.
  std::vector<std::string> m_labels;
};

/// The workers that periodic work concerns, so that a tick or a report costs
/// the same in a small fleet and in a large one. Every function that changes a
/// worker ends with UpdateWorkerIndex().
struct WorkerIndex {
  WorkerTimers m_timers;  ///< When each worker needs attention next.
  /// Workers that are not in the stored roster, or that may have to leave it.
  WorkerSet m_roster_candidates;
  /// Workers with ended runs that are applied, but not stored.
  WorkerSet m_unstored_ends;
  /// Workers that may hold runs of an earlier leader.
  WorkerSet m_inherited_runs;
  /// Workers that the platform does not list.
  WorkerSet m_without_entry;
  /// Workers that run both serving and best-effort tasks.
  WorkerSet m_mixed;
  Millicores m_listed_capacity;  ///< Sum over the listed, less the evacuated.
  Millicores m_listed_reserved;
  std::map<PoolId, IndexedPool> m_pools;
};

/// Returns when the worker is polled next; TimePoint::max() while a poll waits
/// for its answer.
TimePoint NextPollAt(const Worker& worker);

/// Returns whether the worker may get tasks once it is in no quarantine.
bool IsInService(const Worker& worker);

/// Returns the processors of the worker that are assumed idle; negative if it
/// has too few.
std::int64_t AssumedIdleProcessors(const Worker& worker);

/// Returns the share of the worker's processors that is not reserved, in
/// thousandths.
std::int64_t FitScore(const Worker& worker);

/// Returns whether the worker's serving tasks are known to tolerate no further
/// best-effort task.
bool IsClosedToBestEffort(const Worker& worker);

/// Takes over the worker's present state.
void UpdateWorkerIndex(Fleet& fleet, Worker& worker);

/// Removes the worker, before it is destroyed.
void RemoveFromIndex(Fleet& fleet, Worker& worker);

}  // namespace daisyarch::fleet
