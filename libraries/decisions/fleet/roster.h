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
/// Takes over what an earlier leader stored. The worker may run its tasks
/// until `unseen_until`, whether it answers or not.
void ApplyRosterLoaded(Fleet& fleet, const RosterEntry& entry,
                       TimePoint unseen_until);

/// What a leader that stops in order tells the next one.
struct Handover {
  Term m_term;  ///< Of the leader that stopped.
  /// Workers that it never heard from, and for how long they may still run
  /// tasks of the leaders before it, in milliseconds.
  std::map<WorkerId, std::int64_t> m_unseen_ms;
};

Handover HandoverOf(const Fleet& fleet, TimePoint now);

/// How long a worker may run tasks unseen after a take-over. Without a
/// handover of the term before, the earlier leader may be cut off and go on.
Duration UnseenAfter(const FleetLimits& limits, const Handover& handover,
                     Term term, const WorkerId& worker);

}  // namespace daisyarch::fleet
