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
    handover.m_unseen_ms[id] = InMilliseconds(worker.m_unseen_until - now);
  }
  return handover;
}

Duration UnseenAfter(const FleetLimits& limits, const Handover& handover,
                     Term term, const WorkerId& worker) {
  const bool is_orderly = Next(handover.m_term) == term;
  if (!is_orderly) return limits.m_inherited_lease;
  const auto unseen = handover.m_unseen_ms.find(worker);
  if (unseen != handover.m_unseen_ms.end()) {
    return FromMilliseconds(unseen->second);
  }
  return limits.m_lease + kClockDriftSlack;
}

}  // namespace daisyarch::fleet
