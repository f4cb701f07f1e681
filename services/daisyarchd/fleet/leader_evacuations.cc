#include <set>
#include <utility>

#include "decisions/fleet/evacuation.h"
#include "fleet/leader.h"
#include "log/log.h"

namespace daisyarch::fleet {

namespace {

// Of the age that a start may still rely on: one call that is never answered,
// and the listing after it, keep no start back.
constexpr int kWaitDivisor = 4;
constexpr Duration kListTimeout = std::chrono::milliseconds(700);

TimePoint Now(const Leader& leader) { return leader.m_runtime.m_clock.m_now(); }

const std::string& PrefixOf(const Leader& leader) {
  return leader.m_runtime.m_codec.m_evacuation_prefix;
}

FailureDomainId DomainOf(const Leader& leader, const std::string& key) {
  return FailureDomainId(key.substr(PrefixOf(leader).size()));
}

void LogChange(const Leader& leader, const EvacuationChange& change) {
  const char* name =
      change.m_is_evacuated ? "domain_evacuated" : "domain_returned";
  leader.m_runtime.m_metrics->IncrementCounter(
      "daisyarch_fleet_events_total", std::string("event=\"") + name + "\"");
  LogEvent(
      LogLevel::kInfo, name,
      {{"domain", change.m_domain.value()},
       {"workers", std::uint64_t{change.m_workers}},
       {"runs", std::uint64_t{change.m_runs}},
       {"store_revision", leader.m_evacuations_watch->m_as_of.value()},
       {"known_age_ms",
        ToMilliseconds(Now(leader) - leader.m_evacuations_watch->m_sent_at)},
       {"term", leader.m_claim.m_term.value()}});
}

void ApplyDomains(const LeaderPointer& leader,
                  const std::set<FailureDomainId>& domains) {
  Fleet& fleet = leader->m_fleet;
  const auto changes =
      ApplyEvacuations(fleet, domains, leader->m_evacuations_watch->m_sent_at);
  for (const EvacuationChange& change : changes) LogChange(*leader, change);
  // Also without changes: this node may have led before.
  leader->m_runtime.m_metrics->SetGauge("daisyarch_leader_evacuated_domains",
                                        static_cast<double>(domains.size()));
  if (!changes.empty()) RequestSchedulingPass(leader);
}

void ApplyEvacuationListing(const LeaderPointer& leader,
                            const std::vector<StoredItem>& items) {
  std::set<FailureDomainId> domains;
  for (const StoredItem& item : items) {
    domains.insert(DomainOf(*leader, item.m_key));
  }
  ApplyDomains(leader, domains);
}

void ApplyEvacuationChanges(const LeaderPointer& leader,
                            const std::vector<StoreChange>& changes) {
  std::set<FailureDomainId> domains = leader->m_fleet.m_evacuations.m_domains;
  for (const StoreChange& change : changes) {
    const FailureDomainId domain = DomainOf(*leader, change.m_key);
    if (change.m_value) {
      domains.insert(domain);
    } else {
      domains.erase(domain);
    }
  }
  ApplyDomains(leader, domains);
}

// An answer without changes shows that there were none.
void FinishCall(const LeaderPointer& leader) {
  Evacuations& evacuations = leader->m_fleet.m_evacuations;
  const bool was_known = AreEvacuationsKnown(evacuations, Now(*leader));
  evacuations.m_known_at = leader->m_evacuations_watch->m_known_at;
  if (!was_known) RequestSchedulingPass(leader);
  if (std::exchange(leader->m_last_evacuations_succeeded, true)) return;
  LogEvent(LogLevel::kInfo, "evacuations_regained",
           {{"domains", std::uint64_t{evacuations.m_domains.size()}},
            {"store_revision", leader->m_evacuations_watch->m_as_of.value()}});
}

// Logs one line when calls start to fail.
void HandleFailure(Leader& leader, const Error& error) {
  // Watches may fail where a listing does not.
  leader.m_evacuations_watch->m_has_listing = false;
  if (!std::exchange(leader.m_last_evacuations_succeeded, false)) return;
  LogError("evacuations_lost", error);
}

}  // namespace

void StartEvacuationsWatch(const LeaderPointer& leader) {
  const auto& period = leader->m_runtime.m_settings.m_evacuation_period;
  if (!period || PrefixOf(*leader).empty()) return;
  const Duration maximum_age = MaximumEvacuationsAge(*period);
  leader->m_fleet.m_evacuations.m_maximum_age = maximum_age;
  auto watch = std::make_shared<PrefixWatch>();
  watch->m_prefix = PrefixOf(*leader);
  watch->m_wait = maximum_age / kWaitDivisor;
  watch->m_list_timeout = kListTimeout;
  const std::weak_ptr<Leader> weak = leader;
  watch->m_on_listing = [weak](const std::vector<StoredItem>& items) {
    const LeaderPointer self = weak.lock();
    if (self) ApplyEvacuationListing(self, items);
  };
  watch->m_on_changes = [weak](const std::vector<StoreChange>& changes) {
    const LeaderPointer self = weak.lock();
    if (self) ApplyEvacuationChanges(self, changes);
  };
  watch->m_on_answer = [weak] {
    const LeaderPointer self = weak.lock();
    if (self) FinishCall(self);
  };
  watch->m_on_failure = [weak](const Error& error) {
    const LeaderPointer self = weak.lock();
    if (self) HandleFailure(*self, error);
  };
  leader->m_evacuations_watch = std::move(watch);
}

void TickEvacuationsWatch(const LeaderPointer& leader) {
  if (!leader->m_evacuations_watch) return;
  TickWatch(leader->m_evacuations_watch, leader->m_runtime.m_store,
            leader->m_runtime.m_clock.m_now);
}

}  // namespace daisyarch::fleet
