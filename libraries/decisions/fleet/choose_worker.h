#pragma once

#include <map>
#include <utility>
#include <vector>

#include "decisions/fleet/fleet.h"

namespace daisyarch::fleet {

/// State of one pass over the waiting steps. A demand that fits on no worker is
/// tried once per pass.
struct PlacementPass {
  Fleet& m_fleet;
  TimePoint m_now;
  bool m_may_have_inherited_runs = false;
  bool m_has_ample_capacity = false;  ///< Few processors are reserved.
  /// The current job has no placed task although the fleet has ample capacity.
  /// Its next task is then placed regardless of interference, and throttling
  /// alone protects the serving tasks.
  bool m_must_start_job = false;
  std::size_t m_starts_left = 0;  ///< Tasks that the pass may still start.
  std::vector<std::pair<PoolId, const StepPlan*>> m_unplaceable;
  /// Number of workers that each serving image shares with each best-effort
  /// image; the serving image comes first in the key. Counted on first use.
  std::map<std::pair<ImageId, ImageId>, int> m_trials;
  bool m_has_trials = false;
};

/// Returns the resources that a task reserves; no processors for a best-effort
/// task.
Resources ReservedDemand(const StepPlan& step);

/// Returns the best worker for the task; nullptr if none can take it.
Worker* ChooseWorker(PlacementPass& pass, const PoolId& pool,
                     const StepPlan& step, const TaskReference& task);

/// Returns whether the tasks reserve so few processors that a job without
/// placed tasks need not wait for a better worker.
bool HasAmpleCapacity(const Fleet& fleet);

/// Counts the start of a best-effort task as a trial of its pairs.
void RecordTrial(PlacementPass& pass, const Worker& worker,
                 const StepPlan& step);

/// Returns whether a step that is no harder to place has failed in this pass.
bool IsUnplaceable(const PlacementPass& pass, const PoolId& pool,
                   const StepPlan& step);
/// Records that the step fits on no worker in this pass.
void RecordUnplaceable(PlacementPass& pass, const PoolId& pool,
                       const StepPlan& step);

}  // namespace daisyarch::fleet
