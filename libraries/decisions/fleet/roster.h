#pragma once

#include <vector>

#include "decisions/fleet/fleet.h"

namespace daisyarch::fleet {

// The roster is the stored list of workers that may run tasks. A worker is
// added before its first start, so that a later leader polls each of them,
// whether the platform lists it or not.

/// What a later leader has to know of a worker.
struct RosterEntry {
  WorkerId m_worker;
  std::string m_address;      ///< Where the worker can be polled.
  Incarnation m_incarnation;  ///< 0: not known.
  /// Until then the worker may hold a lease that an order to an earlier
  /// incarnation granted; 0: it holds none.
  std::int64_t m_earlier_lease_until_unix_ms = 0;
};

/// Returns the workers that have to be stored before they get tasks.
std::vector<RosterEntry> MissingFromRoster(const Fleet& fleet);
/// Returns the workers in the stored roster that a later leader need not poll:
/// they can run no tasks any more, and everything that they reported is stored.
std::vector<WorkerId> ObsoleteInRoster(const Fleet& fleet);

/// Returns whether ended runs of a worker that has reported may be missing from
/// the store, although it could still report them to the next leader.
bool MayHaveUnstoredEnds(const Fleet& fleet, const Worker& worker,
                         TimePoint now);

/// Returns whether the worker may run a task of a job that is not known yet.
bool MayRunUnknownJobs(const Fleet& fleet, const Worker& worker, TimePoint now);

/// Returns whether a worker may hold a lease that an order to an earlier
/// incarnation granted and that is not in the stored roster.
bool HasUnstoredLease(const Fleet& fleet, TimePoint now);

/// Records that the removal of these workers is about to be sent. They get no
/// tasks until they are stored again, as the removal may take effect at any
/// time from now on.
void BeginRosterRemoval(Fleet& fleet, const std::vector<WorkerId>& obsolete);

void ApplyRosterStored(Fleet& fleet, const std::vector<RosterEntry>& stored);
void ApplyRosterRemoved(Fleet& fleet, const std::vector<WorkerId>& removed);
/// Adds a worker that an earlier leader stored. Until `inherited_runs_until` it
/// may run tasks of earlier leaders, unless it reports otherwise.
void ApplyRosterLoaded(Fleet& fleet, const RosterEntry& entry,
                       TimePoint inherited_runs_until);

/// State that a leader stores for the next one in an orderly stop.
struct Handover {
  Term m_term;  ///< Of the leader that stopped.
  /// Workers that may run tasks of this leader or of earlier ones for longer
  /// than a lease, and for how many milliseconds.
  std::map<WorkerId, std::int64_t> m_inherited_runs_ms;
};

Handover HandoverOf(const Fleet& fleet, TimePoint now);

/// A new leader's information about the previous leader.
struct Predecessor {
  Handover m_handover;          ///< Of the latest orderly stop.
  TimePoint m_first_seen_at{};  ///< When this node first saw its term.
  /// No worker runs tasks of the leaders before the previous one.
  bool m_has_drained_predecessors = false;
  TimePoint m_ended_at{};  ///< When its process was known to have ended; 0: not
                           ///< known.
};

/// Returns until when a worker may run tasks of earlier leaders after a
/// takeover at `now`. A leader without an orderly stop may be cut off from the
/// store and still extend leases.
TimePoint InheritedRunsUntil(const FleetLimits& limits,
                             const Predecessor& predecessor, Term term,
                             const WorkerId& worker, TimePoint now);

/// Returns whether a worker may hold runs that an earlier leader started and
/// that are not assigned to their tasks: it has not reported yet, or their jobs
/// are not known yet.
bool MayHaveInheritedRuns(const Fleet& fleet, TimePoint now);

/// Shortens the wait for workers that have not reported, once the process of
/// the previous leader is known to have ended.
void ApplyPredecessorEnded(Fleet& fleet, const Predecessor& predecessor);

}  // namespace daisyarch::fleet
