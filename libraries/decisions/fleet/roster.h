#pragma once

#include <vector>

#include "decisions/fleet/fleet.h"

namespace daisyarch::fleet {

// The roster names every worker that may run something. It is stored before
// a worker gets its first start, so that a later leader asks each of them,
// whether the platform lists it or not.

/// What a later leader needs to reach a worker.
struct RosterEntry {
  WorkerId m_worker;
  std::string m_address;
};

/// Workers that have to be stored before they get work.
std::vector<RosterEntry> MissingFromRoster(const Fleet& fleet);
/// Workers that are stored and no longer known.
std::vector<WorkerId> LeftInRoster(const Fleet& fleet);

void ApplyRosterStored(Fleet& fleet, const std::vector<RosterEntry>& stored);
void ApplyRosterRemoved(Fleet& fleet, const std::vector<WorkerId>& removed);
/// Takes over what an earlier leader stored.
void ApplyRosterLoaded(Fleet& fleet, const RosterEntry& entry);

}  // namespace daisyarch::fleet
