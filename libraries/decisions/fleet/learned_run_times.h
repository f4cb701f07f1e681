#pragma once

#include <vector>

#include "decisions/fleet/run_time_model.h"

namespace daisyarch::fleet {

/// What is stored of the run times of steps that are learned together.
struct StoredRunTime {
  RunTimeKey m_key;
  LearnedRunTime m_learned;
};

/// What is stored of a worker that is known to be slow or fast.
struct StoredSlowness {
  WorkerId m_worker;
  WorkerSlowness m_slowness;
};

/// What a leader has learned of run times, in the form that is stored for the
/// next one. Bounded, whatever the number of queues and workers.
struct LearnedRunTimes {
  std::vector<StoredRunTime> m_run_times;  ///< The latest.
  std::vector<StoredSlowness> m_workers;   ///< The furthest from usual.
};

LearnedRunTimes LearnedRunTimesOf(const RunTimeModel& model);

/// Returns whether a leader that takes over `stored` would expect other run
/// times by so much that it would decide otherwise.
bool HasChangedEnough(const LearnedRunTimes& stored,
                      const LearnedRunTimes& learned);

/// Takes over what an earlier leader has learned, except where this one has
/// samples of its own. Ignores figures that are out of range.
void ApplyLearnedRunTimes(RunTimeModel& model, const LearnedRunTimes& learned);

}  // namespace daisyarch::fleet
