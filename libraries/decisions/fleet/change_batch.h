#pragma once

#include <map>
#include <vector>

#include "decisions/fleet/fleet.h"

namespace daisyarch::fleet {

/// Progress of one job to store.
struct JobChange {
  JobKey m_key;
  JobProgress m_progress;
  bool m_has_ended = false;
};

/// Changes that are stored together, and the last applied ended run of each
/// worker, which can be acknowledged once they are stored.
struct ChangeBatch {
  std::vector<JobChange> m_jobs;
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
