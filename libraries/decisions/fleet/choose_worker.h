#pragma once

#include <map>
#include <utility>
#include <vector>

#include "decisions/fleet/fleet.h"

namespace daisyarch::fleet {

/// One pass over the steps that wait: demands that fit nowhere are not tried
/// again.
struct PlacementPass {
  Fleet& m_fleet;
  TimePoint m_now;
  bool m_may_have_inherited_runs = false;
  bool m_has_ample_capacity =
      false;  ///< Much of the processors is not reserved.
  /// The job at hand runs nothing in a roomy fleet; whatever its first task
  /// disturbs, pacing alone has to protect.
  bool m_must_start_job = false;
  std::vector<std::pair<PoolId, const StepPlan*>> m_unplaceable;
  /// On how many workers each filler's image stands beside a serving image;
  /// serving image first. Counted when it is first needed.
  std::map<std::pair<ImageId, ImageId>, int> m_trials;
  bool m_has_trials = false;
};

/// What a task takes of the room that is reserved.
Resources ReservedDemand(const StepPlan& step);

/// The worker that suits the task best; nullptr when none has room.
Worker* ChooseWorker(PlacementPass& pass, const PoolId& pool,
                     const StepPlan& step, const TaskReference& task);

/// Notes where a filler was started, for the trials of unknown pairs.
void RecordTrial(PlacementPass& pass, const Worker& worker,
                 const StepPlan& step);

/// True when the step cannot be placed, as a step that is no harder to place
/// could not.
bool IsUnplaceable(const PlacementPass& pass, const PoolId& pool,
                   const StepPlan& step);
void RecordUnplaceable(PlacementPass& pass, const PoolId& pool,
                       const StepPlan& step);

}  // namespace daisyarch::fleet
