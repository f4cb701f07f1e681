#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "decisions/fleet/fleet.h"

// How long a task waits for a worker near its data while workers elsewhere have
// room; see docs/design/near-places.md.

namespace daisyarch::fleet {

/// Room that the end of a run gives. The run ends between the two moments, each
/// of which is as likely.
struct ExpectedRoom {
  Duration m_earliest{};
  Duration m_latest{};
  double m_places = 0;  ///< Tasks that it is room for; may be a fraction.
};

/// What decides on the wait of a step.
struct NearOutlook {
  std::vector<ExpectedRoom> m_rooms;
  std::uint32_t m_ahead = 0;  ///< Tasks that wait for the same rack already.
  Duration m_gain{};          ///< By which a task near its data ends sooner.
  Duration m_longest{};       ///< No wait may be longer.
};

/// A wait of all waiting tasks of a step.
struct PayingWait {
  Duration m_wait{};
  Duration m_expected_gain{};  ///< Over an immediate start elsewhere.
};

/// Returns how long this many alike tasks of a step wait for places near their
/// data; none if they gain nothing from it.
std::optional<PayingWait> DecideNearWait(const NearOutlook& outlook,
                                         std::size_t tasks);

/// Returns whether tasks of the step may wait for a worker near their data.
bool MayWaitForNearPlace(const Fleet& fleet, const StepPlan& step);

/// Returns what is known of the places near the data of the step run's tasks.
NearOutlook OutlookOf(Fleet& fleet, const Job& job, std::size_t step_run_index,
                      const IndexedPool& pool, TimePoint now);

/// Returns whether all waiting tasks of the step run are to wait on, so that
/// placement need not look for a worker. Ends their waits if the rack has no
/// worker in service.
bool AllWaitForNearPlace(Fleet& fleet, const Job& job,
                         std::size_t step_run_index, const IndexedPool& pool,
                         TimePoint now);

/// Returns whether the next waiting task of the step run is to wait instead of
/// starting on `chosen`; not if it has run before. Decides on the waits of a
/// step run once.
bool WaitsForNearPlace(Fleet& fleet, Job& job, std::size_t step_run_index,
                       const Task& task, const IndexedPool& pool,
                       const Worker& chosen, TimePoint now);

/// Ends one wait of the step run, if it has any and the worker is near.
void RecordNearStart(Fleet& fleet, const Job& job, std::size_t step_run_index,
                     const Worker& worker, TimePoint now);

/// Ends the waits whose end has come. Returns whether there were any.
bool EndNearWaits(Fleet& fleet, TimePoint now);

}  // namespace daisyarch::fleet
