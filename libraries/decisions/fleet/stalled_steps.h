#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "decisions/fleet/fleet.h"

namespace daisyarch::fleet {

/// Why no task of a released step makes progress.
enum class StallCause : std::uint8_t {
  /// The latest worker listing is too old to place tasks.
  kListingTooOld,
  /// The leader does not know which failure domains are evacuated.
  kEvacuationsTooOld,
  /// A run of an earlier leader may still be active.
  kEarlierLeader,
  /// No worker can take the next task.
  kNoWorker,
  /// A worker can take the next task, but it is not placed.
  kNotTried,
  /// All tasks are on a worker, and none is known to run.
  kStartUnconfirmed,
  /// The running tasks use no processor time.
  kNotWorking,
};

/// Returns the name of the cause in the log.
const char* NameOf(StallCause cause);

/// A released step that has unfinished tasks, none of which makes progress.
struct StalledStep {
  JobKey m_job;
  std::size_t m_step_run_index = 0;
  StallCause m_cause = StallCause::kNotTried;
  Duration m_stalled_for{};
  std::uint32_t m_waiting = 0;  ///< Tasks on no worker.
  std::uint32_t m_placed = 0;   ///< Tasks that may be on a worker.
  WorkerId m_worker;            ///< Of the first placed task, if any.
};

/// Numbers of tasks and workers by state.
struct FleetSummary {
  std::uint64_t m_waiting = 0;  ///< Only tasks of released steps.
  std::uint64_t m_starting = 0;
  std::uint64_t m_running = 0;
  std::uint64_t m_unconfirmed = 0;
  std::uint64_t m_stopping = 0;
  std::uint64_t m_ready_workers = 0;
  std::uint64_t m_other_workers = 0;
};

FleetSummary Summarize(const Fleet& fleet);

/// Returns at most `maximum_count` steps that have been stalled for at least
/// `minimum`. A step is stalled from the first call that finds it so, until a
/// call finds that one of its tasks makes progress.
std::vector<StalledStep> FindStalledSteps(Fleet& fleet, Duration minimum,
                                          std::size_t maximum_count,
                                          TimePoint now);

}  // namespace daisyarch::fleet
