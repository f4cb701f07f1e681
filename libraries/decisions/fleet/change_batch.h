#pragma once

#include <map>
#include <vector>

#include "decisions/fleet/fleet.h"
#include "decisions/fleet/job_progress.h"

namespace daisyarch::fleet {

/// What has changed in one part of a job's progress.
struct JobChange {
  JobKey m_key;
  ProgressPart m_part;
  /// Holds the changed rows, which replace those stored earlier; see
  /// TakeProgress().
  JobProgress m_progress;
  bool m_has_ended = false;  ///< Its other parts are obsolete once stored.
  /// Removes rows from the stored part 0 that belong to the parts before it in
  /// the batch, so it may only be sent once these are stored.
  bool m_moves_rows = false;
};

/// Changes that are stored together, and the last applied ended run of each
/// worker, which can be acknowledged once they are stored.
struct ChangeBatch {
  /// Part 0 of a job, if it has changed, follows the job's other parts.
  std::vector<JobChange> m_changes;
  struct AppliedEnd {
    Incarnation m_incarnation;
    OutcomeNumber m_end;
  };
  std::map<WorkerId, AppliedEnd> m_ends;
};

/// Takes all changes. At most one batch may be in progress.
ChangeBatch TakeChanges(Fleet& fleet);

/// Acknowledges the ended runs and removes the ended jobs of a batch that is
/// wholly stored.
void ApplyStoredBatch(Fleet& fleet, const ChangeBatch& batch);

}  // namespace daisyarch::fleet
