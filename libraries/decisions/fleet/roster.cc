#include "decisions/fleet/roster.h"

namespace daisyarch::fleet {

std::vector<RosterEntry> MissingFromRoster(const Fleet& fleet) {
  std::vector<RosterEntry> missing;
  for (const auto& [id, worker] : fleet.m_workers) {
    if (worker.m_is_in_roster) continue;
    missing.push_back({id, worker.m_listing.m_address});
  }
  return missing;
}

std::vector<WorkerId> LeftInRoster(const Fleet& fleet) {
  std::vector<WorkerId> left;
  for (const WorkerId& id : fleet.m_roster) {
    if (fleet.m_workers.count(id) == 0) left.push_back(id);
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
  for (const WorkerId& id : removed) fleet.m_roster.erase(id);
}

void ApplyRosterLoaded(Fleet& fleet, const RosterEntry& entry) {
  fleet.m_roster.insert(entry.m_worker);
  Worker& worker = fleet.m_workers[entry.m_worker];
  worker.m_listing.m_worker = entry.m_worker;
  worker.m_listing.m_address = entry.m_address;
  worker.m_token = FirstToken(fleet.m_term);
  worker.m_is_listed = false;
  worker.m_is_in_roster = true;
}

}  // namespace daisyarch::fleet
