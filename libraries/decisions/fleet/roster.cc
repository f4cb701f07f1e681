#include "decisions/fleet/roster.h"

#include <algorithm>

namespace daisyarch::fleet {

namespace {
// Covers a worker's clock that runs 2% slow over the longest lease.
constexpr Duration kClockDriftSlack = std::chrono::milliseconds(300);

// A leaving worker gets nothing more; once it runs nothing, a later leader has
// no reason to wait for it.
bool MayRunAnything(const Worker& worker) {
  return !worker.m_listing.m_is_leaving || !worker.m_runs.empty() ||
         worker.m_state != WorkerState::kReady || worker.m_strays > 0;
}

}  // namespace

std::vector<RosterEntry> MissingFromRoster(const Fleet& fleet) {
  std::vector<RosterEntry> missing;
  for (const auto& [id, worker] : fleet.m_workers) {
    if (worker.m_is_in_roster || !MayRunAnything(worker)) continue;
    missing.push_back({id, worker.m_listing.m_address});
  }
  return missing;
}

std::vector<WorkerId> LeftInRoster(const Fleet& fleet) {
  std::vector<WorkerId> left;
  for (const WorkerId& id : fleet.m_roster) {
    const auto worker = fleet.m_workers.find(id);
    const bool is_needed =
        worker != fleet.m_workers.end() && MayRunAnything(worker->second);
    if (!is_needed) left.push_back(id);
  }
  return left;
}

void ApplyRosterStored(Fleet& fleet, const std::vector<RosterEntry>& stored) {
  for (const RosterEntry& entry : stored) {
    fleet.m_roster.insert(entry.m_worker);
    Worker* worker = FindWorker(fleet, entry.m_worker);
    // One that moved meanwhile is stored anew.
    if (worker == nullptr || worker->m_listing.m_address != entry.m_address) {
      continue;
    }
    worker->m_is_in_roster = true;
    fleet.m_needs_placement = true;
  }
}

void ApplyRosterRemoved(Fleet& fleet, const std::vector<WorkerId>& removed) {
  for (const WorkerId& id : removed) {
    fleet.m_roster.erase(id);
    Worker* worker = FindWorker(fleet, id);
    if (worker != nullptr) worker->m_is_in_roster = false;
  }
}

void ApplyRosterLoaded(Fleet& fleet, const RosterEntry& entry,
                       TimePoint unseen_until) {
  fleet.m_roster.insert(entry.m_worker);
  Worker& worker = fleet.m_workers[entry.m_worker];
  worker.m_listing.m_worker = entry.m_worker;
  worker.m_listing.m_address = entry.m_address;
  worker.m_token = FirstToken(fleet.m_term);
  worker.m_is_listed = false;
  worker.m_is_in_roster = true;
  worker.m_unseen_until = unseen_until;
  fleet.m_unseen_ends_at = std::max(fleet.m_unseen_ends_at, unseen_until);
}

Handover HandoverOf(const Fleet& fleet, TimePoint now) {
  Handover handover;
  handover.m_term = fleet.m_term;
  for (const auto& [id, worker] : fleet.m_workers) {
    if (worker.m_unseen_until <= now) continue;
    handover.m_unseen_ms[id] = ToMilliseconds(worker.m_unseen_until - now);
  }
  return handover;
}

namespace {

// Its last grant may have left it just before it ended. What the leaders
// before it granted is over that long after it began to lead.
TimePoint EndOfGrants(const FleetLimits& limits,
                      const Predecessor& predecessor) {
  const TimePoint own =
      predecessor.m_ended_at + limits.m_lease + kClockDriftSlack;
  if (predecessor.m_has_settled) return own;
  return std::max(own, predecessor.m_seen_at + limits.m_inherited_lease);
}

}  // namespace

TimePoint UnseenUntil(const FleetLimits& limits, const Predecessor& predecessor,
                      Term term, const WorkerId& worker, TimePoint now) {
  const Handover& handover = predecessor.m_handover;
  if (Next(handover.m_term) == term) {
    const auto unseen = handover.m_unseen_ms.find(worker);
    const Duration left = unseen == handover.m_unseen_ms.end()
                              ? limits.m_lease + kClockDriftSlack
                              : FromMilliseconds(unseen->second);
    return now + left;
  }
  const TimePoint latest = now + limits.m_inherited_lease;
  if (predecessor.m_ended_at == TimePoint()) return latest;
  return std::min(latest, EndOfGrants(limits, predecessor));
}

bool MayRunUnseen(const Fleet& fleet, TimePoint now) {
  return std::any_of(
      fleet.m_workers.begin(), fleet.m_workers.end(),
      [now](const auto& entry) { return now < entry.second.m_unseen_until; });
}

void ApplyPredecessorEnded(Fleet& fleet, const Predecessor& predecessor) {
  const TimePoint end = EndOfGrants(fleet.m_limits, predecessor);
  fleet.m_unseen_ends_at = std::min(fleet.m_unseen_ends_at, end);
  for (auto& [id, worker] : fleet.m_workers) {
    worker.m_unseen_until = std::min(worker.m_unseen_until, end);
  }
  fleet.m_needs_placement = true;
}

}  // namespace daisyarch::fleet
