#include "decisions/fleet/roster.h"

#include <algorithm>

#include "decisions/fleet/earlier_lease.h"
#include "decisions/fleet/fencing.h"

namespace daisyarch::fleet {

namespace {
// Covers a worker's clock that runs 2% slow over the longest lease.
constexpr Duration kClockDriftSlack = std::chrono::milliseconds(300);

// Returns whether a lease that the worker had at its last answer may last.
bool MayHoldLease(const Fleet& fleet, const Worker& worker, TimePoint now) {
  return now < worker.m_clock_read_at + fleet.m_limits.m_longest_lease +
                   kClockDriftSlack;
}

bool HasUnstoredEnds(const Worker& worker) {
  return worker.m_applied_end != worker.m_stored_end ||
         worker.m_has_unapplied_ends;
}

// A leaving worker gets no new tasks. The next leader starts a task whose end
// is not stored again, unless it polls the worker first, so the worker is
// needed until its ends are stored.
bool IsNeededInRoster(const Worker& worker) {
  return !worker.m_listing.m_is_leaving || !worker.m_runs.empty() ||
         worker.m_state != WorkerState::kReady || worker.m_unknown_runs > 0 ||
         HasUnstoredEnds(worker);
}

// The time of day is read anew with each tick.
constexpr std::int64_t kRoundingMs = 100;

// Returns whether the entry tells a later leader what it has to know of the
// worker now. A lease may have ended earlier than stored.
bool IsUpToDate(const Fleet& fleet, const RosterEntry& entry,
                const Worker& worker) {
  const RosterEntry needed = RosterEntryOf(fleet, worker);
  return needed.m_address == entry.m_address &&
         needed.m_incarnation == entry.m_incarnation &&
         worker.m_are_leases_known &&
         needed.m_earlier_lease_until_unix_ms <=
             entry.m_earlier_lease_until_unix_ms + kRoundingMs;
}

}  // namespace

// An end that waits for its job is applied at a later report. Without one, the
// worker's lease expires, after which its ends count no more.
bool MayHaveUnstoredEnds(const Fleet& fleet, const Worker& worker,
                         TimePoint now) {
  if (worker.m_applied_end != worker.m_stored_end) return true;
  return worker.m_has_unapplied_ends && MayHoldLease(fleet, worker, now);
}

bool MayRunUnknownJobs(const Fleet& fleet, const Worker& worker,
                       TimePoint now) {
  return worker.m_awaits_jobs && MayHoldLease(fleet, worker, now);
}

std::vector<RosterEntry> MissingFromRoster(const Fleet& fleet) {
  std::vector<RosterEntry> missing;
  for (const Worker* worker : fleet.m_worker_index.m_roster_candidates) {
    ++fleet.m_work.m_workers;
    if (worker->m_is_in_roster || !IsNeededInRoster(*worker)) continue;
    // The end of a lease that an order to its earlier incarnation granted is
    // known once the worker has reported.
    if (!worker->m_are_leases_known) continue;
    missing.push_back(RosterEntryOf(fleet, *worker));
  }
  return missing;
}

std::vector<WorkerId> ObsoleteInRoster(const Fleet& fleet) {
  std::vector<WorkerId> obsolete(fleet.m_unknown_in_roster.begin(),
                                 fleet.m_unknown_in_roster.end());
  for (const Worker* worker : fleet.m_worker_index.m_roster_candidates) {
    ++fleet.m_work.m_workers;
    const WorkerId& id = worker->m_listing.m_worker;
    if (IsNeededInRoster(*worker) || fleet.m_roster.count(id) == 0) continue;
    obsolete.push_back(id);
  }
  return obsolete;
}

bool HasUnstoredLease(const Fleet& fleet, TimePoint now) {
  const WorkerSet& candidates = fleet.m_worker_index.m_roster_candidates;
  return std::any_of(candidates.begin(), candidates.end(),
                     [&fleet, now](const Worker* worker) {
                       ++fleet.m_work.m_workers;
                       return !worker->m_is_in_roster &&
                              now < EarlierLeaseEnd(fleet, *worker, now);
                     });
}

void BeginRosterRemoval(Fleet& fleet, const std::vector<WorkerId>& obsolete) {
  for (const WorkerId& id : obsolete) {
    Worker* worker = FindWorker(fleet, id);
    if (worker == nullptr) continue;
    worker->m_is_in_roster = false;
    UpdateWorkerIndex(fleet, *worker);
  }
}

void ApplyRosterStored(Fleet& fleet, const std::vector<RosterEntry>& stored) {
  for (const RosterEntry& entry : stored) {
    fleet.m_roster.insert(entry.m_worker);
    Worker* worker = FindWorker(fleet, entry.m_worker);
    if (worker == nullptr) {
      fleet.m_unknown_in_roster.insert(entry.m_worker);
      continue;
    }
    worker->m_roster_incarnation = entry.m_incarnation;
    // A worker that has changed meanwhile is stored again.
    if (!IsUpToDate(fleet, entry, *worker)) continue;
    worker->m_is_in_roster = true;
    UpdateWorkerIndex(fleet, *worker);
    fleet.m_needs_placement = true;
  }
}

void ApplyRosterRemoved(Fleet& fleet, const std::vector<WorkerId>& removed) {
  for (const WorkerId& id : removed) {
    fleet.m_roster.erase(id);
    fleet.m_unknown_in_roster.erase(id);
    Worker* worker = FindWorker(fleet, id);
    if (worker == nullptr) continue;
    worker->m_is_in_roster = false;
    UpdateWorkerIndex(fleet, *worker);
  }
}

void ApplyRosterLoaded(Fleet& fleet, const RosterEntry& entry,
                       TimePoint inherited_runs_until) {
  fleet.m_roster.insert(entry.m_worker);
  Worker& worker = AddWorker(fleet, entry.m_worker);
  RestoreRosterEntry(fleet, entry, worker, fleet.m_ticked_at);
  FenceWorker(fleet, worker);
  worker.m_is_listed = false;
  worker.m_is_in_roster = true;
  worker.m_inherited_runs_until =
      std::max(inherited_runs_until, worker.m_earlier_lease_until);
  UpdateWorkerIndex(fleet, worker);
  fleet.m_inherited_runs_end_at =
      std::max(fleet.m_inherited_runs_end_at, worker.m_inherited_runs_until);
}

namespace {

// Returns how much longer the worker may run tasks than for an ordinary lease;
// 0: no longer than that.
Duration LongRunsLeft(const Fleet& fleet, const Worker& worker, TimePoint now) {
  if (now < worker.m_inherited_runs_until) {
    return worker.m_inherited_runs_until - now;
  }
  const Duration left = EarlierLeaseEnd(fleet, worker, now) - now;
  return left > fleet.m_limits.m_lease + kClockDriftSlack ? left : Duration{};
}

}  // namespace

Handover HandoverOf(const Fleet& fleet, TimePoint now) {
  Handover handover;
  handover.m_term = fleet.m_term;
  for (const auto& [id, worker] : fleet.m_workers) {
    const Duration left = LongRunsLeft(fleet, worker, now);
    if (left == Duration{}) continue;
    handover.m_inherited_runs_ms[id] = ToMilliseconds(left);
  }
  return handover;
}

namespace {

// Returns when the leases of the previous leader and of those before it have
// expired. The previous leader may have granted its last lease just before it
// ended; the leases of those before it expire `m_inherited_lease` after its
// term was first seen.
TimePoint PreviousLeasesEndAt(const FleetLimits& limits,
                              const Predecessor& predecessor) {
  const TimePoint own =
      predecessor.m_ended_at + limits.m_lease + kClockDriftSlack;
  if (predecessor.m_has_drained_predecessors) return own;
  return std::max(own, predecessor.m_first_seen_at + limits.m_inherited_lease);
}

}  // namespace

TimePoint InheritedRunsUntil(const FleetLimits& limits,
                             const Predecessor& predecessor, Term term,
                             const WorkerId& worker, TimePoint now) {
  const Handover& handover = predecessor.m_handover;
  if (Next(handover.m_term) == term) {
    const auto inherited_runs = handover.m_inherited_runs_ms.find(worker);
    const Duration remaining =
        inherited_runs == handover.m_inherited_runs_ms.end()
            ? limits.m_lease + kClockDriftSlack
            : FromMilliseconds(inherited_runs->second);
    return now + remaining;
  }
  const TimePoint latest = now + limits.m_inherited_lease;
  if (predecessor.m_ended_at == TimePoint()) return latest;
  return std::min(latest, PreviousLeasesEndAt(limits, predecessor));
}

bool MayHaveInheritedRuns(const Fleet& fleet, TimePoint now) {
  const WorkerSet& workers = fleet.m_worker_index.m_inherited_runs;
  return std::any_of(workers.begin(), workers.end(),
                     [&fleet, now](const Worker* worker) {
                       ++fleet.m_work.m_workers;
                       return now < worker->m_inherited_runs_until ||
                              MayRunUnknownJobs(fleet, *worker, now);
                     });
}

void ApplyPredecessorEnded(Fleet& fleet, const Predecessor& predecessor) {
  // The handover names the workers with longer leases.
  if (Next(predecessor.m_handover.m_term) == fleet.m_term) return;
  const TimePoint end = PreviousLeasesEndAt(fleet.m_limits, predecessor);
  TimePoint last_end = end;
  for (Worker* worker : fleet.m_worker_index.m_inherited_runs) {
    worker->m_inherited_runs_until = std::min(
        worker->m_inherited_runs_until,
        std::max(end, EarlierLeaseEnd(fleet, *worker, fleet.m_ticked_at)));
    last_end = std::max(last_end, worker->m_inherited_runs_until);
  }
  fleet.m_inherited_runs_end_at =
      std::min(fleet.m_inherited_runs_end_at, last_end);
  fleet.m_needs_placement = true;
}

}  // namespace daisyarch::fleet
