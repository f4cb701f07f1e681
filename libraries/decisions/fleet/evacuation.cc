#include "decisions/fleet/evacuation.h"

#include <algorithm>
#include <iterator>

#include "decisions/fleet/fleet.h"
#include "decisions/fleet/late_start.h"

namespace daisyarch::fleet {

namespace {

// Time from a start's dispatch to its effect at the worker.
constexpr Duration kStartSlack = std::chrono::milliseconds(300);
// Under a short bound, starts still leave in this part of it.
constexpr int kMinimumAgeDivisor = 4;

EvacuationChange ChangeDomain(Fleet& fleet, const FailureDomainId& domain) {
  auto& domains = fleet.m_evacuations.m_domains;
  EvacuationChange change{domain, domains.erase(domain) == 0};
  if (change.m_is_evacuated) domains.insert(domain);
  for (auto& [id, worker] : fleet.m_workers) {
    if (worker.m_listing.m_failure_domain != domain) continue;
    ++change.m_workers;
    change.m_runs += worker.m_runs.size();
    UpdateWorkerIndex(fleet, worker);
  }
  return change;
}

}  // namespace

Duration MaximumEvacuationsAge(Duration bound) {
  return std::max(bound / kMinimumAgeDivisor,
                  bound - kStartSlack - kMaximumDispatchTime);
}

bool AreEvacuationsKnown(const Evacuations& evacuations, TimePoint now) {
  if (!evacuations.m_maximum_age) return true;
  return evacuations.m_known_at != TimePoint() &&
         now - evacuations.m_known_at <= *evacuations.m_maximum_age;
}

bool IsEvacuated(const Evacuations& evacuations,
                 const FailureDomainId& domain) {
  return evacuations.m_domains.count(domain) > 0;
}

std::vector<EvacuationChange> ApplyEvacuations(
    Fleet& fleet, const std::set<FailureDomainId>& domains,
    TimePoint known_at) {
  Evacuations& evacuations = fleet.m_evacuations;
  evacuations.m_known_at = std::max(evacuations.m_known_at, known_at);
  std::vector<FailureDomainId> changed;
  std::set_symmetric_difference(
      domains.begin(), domains.end(), evacuations.m_domains.begin(),
      evacuations.m_domains.end(), std::back_inserter(changed));
  std::vector<EvacuationChange> changes;
  changes.reserve(changed.size());
  for (const FailureDomainId& domain : changed) {
    changes.push_back(ChangeDomain(fleet, domain));
  }
  if (!changes.empty()) fleet.m_needs_placement = true;
  return changes;
}

}  // namespace daisyarch::fleet
