#pragma once

#include <vector>

#include "decisions/fleet/fleet.h"

namespace daisyarch::fleet {

// The roster is the stored list of workers that may run tasks. A worker is
// added before its first start, so that a later leader polls each of them,
// whether the platform lists it or not.

/// A worker and the address at which a later leader can poll it.
struct RosterEntry {
  WorkerId m_worker;
  std::string m_address;
};

/// Returns the workers that have to be stored before they get tasks.
std::vector<RosterEntry> MissingFromRoster(const Fleet& fleet);
/// Returns the stored workers that may run nothing any more.
std::vector<WorkerId> ObsoleteInRoster(const Fleet& fleet);

void ApplyRosterStored(Fleet& fleet, const std::vector<RosterEntry>& stored);
void ApplyRosterRemoved(Fleet& fleet, const std::vector<WorkerId>& removed);
/// Adds a worker that an earlier leader stored. Until `unseen_until` it may
/// run that leader's tasks, unless it reports otherwise.
void ApplyRosterLoaded(Fleet& fleet, const RosterEntry& entry,
                       TimePoint inherited_runs_until);

/// State that a leader in an orderly stop stores for the next one.
struct Handover {
  Term m_term;  ///< Of the leader that stopped.
  /// Workers that never reported to it, and for how many milliseconds they may
  /// still run tasks of earlier leaders.
  std::map<WorkerId, std::int64_t> m_inherited_runs_ms;
};

Handover HandoverOf(const Fleet& fleet, TimePoint now);

/// What a new leader knows of the previous one.
struct Predecessor {
  Handover m_handover;          ///< Of the latest orderly stop.
  TimePoint m_first_seen_at{};  ///< When this node first saw its term.
  /// No worker runs tasks that the leaders before it started.
  bool m_has_drained_predecessors = false;
  TimePoint m_ended_at{};  ///< When its process was known to have ended; 0: not
                           ///< known.
};

/// Returns until when a worker may run tasks of earlier leaders after a
/// takeover at `now`. A leader without an orderly stop may be cut off and go
/// on.
TimePoint InheritedRunsUntil(const FleetLimits& limits,
                             const Predecessor& predecessor, Term term,
                             const WorkerId& worker, TimePoint now);

/// Returns whether a worker that has not reported yet may run tasks that an
/// earlier leader started.
bool MayHaveInheritedRuns(const Fleet& fleet, TimePoint now);

/// Applies that the process of the previous leader has ended, which shortens
/// the wait for workers that have not reported.
void ApplyPredecessorEnded(Fleet& fleet, const Predecessor& predecessor);

}  // namespace daisyarch::fleet
