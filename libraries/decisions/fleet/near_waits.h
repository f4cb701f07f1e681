#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/ids.h"
#include "base/time.h"

namespace daisyarch::fleet {

/// A job and the index of one of its step runs.
using StepRunKey = std::pair<JobKey, std::size_t>;

/// A rack of a pool.
using PoolRack = std::pair<PoolId, std::string>;

/// Tasks of one step run that wait for a worker near their data. The tasks of a
/// step are alike, so that the waits are counted and belong to no task.
struct NearWait {
  PoolRack m_rack;
  TimePoint m_begun_at{};
  /// When each of the waits ends, the earliest first; fixed when it begins.
  std::vector<TimePoint> m_ends;
};

/// The waits that have begun and are not over; see near_place.h. Of this leader
/// only.
struct NearWaits {
  std::map<StepRunKey, NearWait> m_by_step_run;
  std::map<PoolRack, std::uint32_t> m_tasks_by_rack;
  /// The earliest end of each step run's waits.
  std::set<std::pair<TimePoint, StepRunKey>> m_timers;
};

/// Waits of one step run that have begun, or are over.
struct NearWaitEvent {
  std::string m_rack;
  std::uint32_t m_tasks = 0;
  /// Of waits that begin: tasks that wait for the rack already, and the
  /// expected gain of the step over an immediate start elsewhere.
  std::uint32_t m_ahead = 0;
  Duration m_expected_gain{};
  Duration
      m_wait{};  ///< The longest that they may take, or how long they took.
};

}  // namespace daisyarch::fleet
