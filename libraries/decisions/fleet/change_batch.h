#pragma once

#include <map>
#include <vector>

#include "decisions/fleet/fleet.h"

namespace daisyarch::fleet {

/// What of one job is to be stored.
struct JobChange {
  JobKey m_key;
  JobProgress m_progress;
  bool m_has_settled = false;
};

/// Changes that are stored together, and the ends that they rest on.
struct ChangeBatch {
  std::vector<JobChange> m_jobs;
  struct AppliedEnd {
    Incarnation m_incarnation;
    OutcomeNumber m_end;
  };
  std::map<WorkerId, AppliedEnd> m_ends;
};

/// Takes every change; at most one batch is under way.
ChangeBatch TakeChanges(Fleet& fleet);

/// Acknowledges ends and drops settled jobs once the whole batch is stored.
void ApplyStored(Fleet& fleet, const ChangeBatch& batch);

}  // namespace daisyarch::fleet
