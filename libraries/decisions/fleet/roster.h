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
std::vector<WorkerId> ObsoleteInRoster(const Fleet& fleet);

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
  std::map<WorkerId, std::int64_t> m_inherited_runs_ms;
};

Handover HandoverOf(const Fleet& fleet, TimePoint now);

/// What a new leader knows of the one before.
struct Predecessor {
  Handover m_handover;          ///< If it stopped in order.
  TimePoint m_first_seen_at{};  ///< When this node first saw it lead.
  /// No worker runs anything that a leader before it started.
  bool m_has_drained_predecessors = false;
  TimePoint m_ended_at{};  ///< When its process was known to be gone, or 0.
};

/// Until when a worker may run tasks unseen after a take-over at `now`. A
/// leader that did not stop in order may be cut off and go on.
TimePoint InheritedRunsUntil(const FleetLimits& limits,
                             const Predecessor& predecessor, Term term,
                             const WorkerId& worker, TimePoint now);

/// True while a worker that has not answered yet may run what an earlier
/// leader started.
bool MayHaveInheritedRuns(const Fleet& fleet, TimePoint now);

/// Takes over that the process of the leader before is gone.
void ApplyPredecessorEnded(Fleet& fleet, const Predecessor& predecessor);

}  // namespace daisyarch::fleet
