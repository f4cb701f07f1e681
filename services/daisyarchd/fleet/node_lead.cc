#include "fleet/node_lead.h"

#include <algorithm>
#include <utility>

#include "base/stable_hash.h"
#include "fleet/store_keys.h"
#include "log/log.h"
#include "wire/fleet_fields.h"

namespace daisyarch::fleet {

namespace {

// Long enough to bear a slow answer, short enough that work starts again
// soon after a leader died.
constexpr Duration kClaimTerm = std::chrono::milliseconds(2000);
constexpr Duration kRenewalInterval = std::chrono::milliseconds(500);
constexpr Duration kClaimRetry = std::chrono::milliseconds(300);
// A worker's clock may run 2% slow over the longest lease.
constexpr Duration kClockDriftSlack = std::chrono::milliseconds(500);
// A leader without the store keeps what runs alive for so long.
constexpr Duration kIsolationLimit = std::chrono::seconds(6);
constexpr Duration kWorkerLease = std::chrono::seconds(4);
// From the decision to the task's start on the worker.
constexpr Duration kStartSlack = std::chrono::milliseconds(300);
// Leaves room for a late answer below the worker's own maximum.
constexpr std::int64_t kLeasePercent = 80;
constexpr std::int64_t kPercent = 100;

TimePoint Now(const FleetNode& node) { return node.m_runtime.m_clock.m_now(); }

bool IsOwnValue(const FleetNode& node, const std::string& value) {
  return value == node.m_runtime.m_settings.m_node.value();
}

void LoseClaim(FleetNode& node, const std::string& reason) {
  if (!node.m_leader || node.m_is_losing_claim) return;
  node.m_is_losing_claim = true;
  LogEvent(LogLevel::kWarning, "lead_lost",
           {{"term", node.m_claim.m_term.value()}, {"reason", reason}});
  // The leader may be what calls this.
  node.m_runtime.m_clock.m_defer([&node] {
    node.m_is_losing_claim = false;
    StepLead(node, LeadershipEvent::kClaimLost);
  });
}

void SeeHolder(FleetNode& node, bool is_held, StoreRevision revision) {
  const bool was_held = node.m_is_held;
  node.m_is_held = is_held;
  if (!is_held && (was_held || node.m_vacant_since == TimePoint())) {
    node.m_vacant_since = Now(node);
  }
  if (!HoldsFleet(node.m_leadership)) return;
  const bool is_other = is_held && revision > node.m_claim.m_revision;
  if (is_other || (!is_held && revision > node.m_claim.m_revision)) {
    LoseClaim(node, "the claim was taken away");
  }
}

// The number of the term, and who leads in it.
std::string TermValue(Term term, const NodeId& leader) {
  return std::to_string(term.value()) + " " + leader.value();
}

void SeeTerm(FleetNode& node, const std::string& value,
             StoreRevision revision) {
  node.m_term_revision = revision;
  const Term term(std::strtoull(value.c_str(), nullptr, 10));
  if (term == node.m_last_term) return;
  node.m_last_term = term;
  node.m_term_seen_at = Now(node);
  const std::size_t space = value.find(' ');
  node.m_last_leader =
      NodeId(space == std::string::npos ? "" : value.substr(space + 1));
}

void SeeSettled(FleetNode& node, const std::string& value) {
  node.m_settled_term = Term(std::strtoull(value.c_str(), nullptr, 10));
}

// The process that leads in this term is known to be gone.
void SeeEnded(FleetNode& node, const std::string& value) {
  const Term term(std::strtoull(value.c_str(), nullptr, 10));
  if (term <= node.m_ended_term) return;
  node.m_ended_term = term;
  node.m_ended_seen_at = Now(node);
  if (!node.m_leader || Next(term) != node.m_claim.m_term) return;
  Leader& leader = *node.m_leader;
  leader.m_predecessor.m_ended_at = Now(node);
  ApplyPredecessorEnded(leader.m_fleet, leader.m_predecessor);
}

// A process that finds its own node leading, though it never claimed, knows
// that the process before it is gone; nobody has to wait for the lease.
void ReportEnd(FleetNode& node, bool is_held, const std::string& holder,
               StoreRevision revision) {
  if (node.m_has_reported_end) return;
  node.m_has_reported_end = true;
  const NodeId& self = node.m_runtime.m_settings.m_node;
  if (node.m_last_leader != self) return;
  StoreTransaction transaction;
  transaction.m_expectations.push_back({kTermKey, node.m_term_revision});
  transaction.m_puts.push_back(
      {kEndedKey, std::to_string(node.m_last_term.value()), StoreLeaseId()});
  if (is_held && NodeId(holder) == self) {
    transaction.m_expectations.push_back({kHolderKey, revision});
    transaction.m_removals.push_back(kHolderKey);
  }
  LogEvent(LogLevel::kInfo, "earlier_lead_ended",
           {{"term", node.m_last_term.value()},
            {"store_revision", node.m_term_revision.value()}});
  node.m_runtime.m_store.m_commit(
      transaction, [](const Result<TransactionResult>& result) {
        // The claim then runs out by itself.
        if (!result) LogError("lead_end_not_stored", result.assume_error());
      });
}

void SeeHandover(FleetNode& node, const std::string& value) {
  auto handover = DecodeCbor<Handover>(value, "read handover", kHandoverKey);
  if (!handover)
    return LogError("handover_unreadable", handover.assume_error());
  node.m_handover = std::move(handover).assume_value();
}

void BeginClaim(FleetNode& node);
void BeginLoad(FleetNode& node);

void DropFleet(FleetNode& node) { node.m_leader.reset(); }

void ReleaseClaim(FleetNode& node) {
  const StoreLeaseId lease = node.m_claim.m_lease;
  if (lease == StoreLeaseId()) return;
  node.m_claim.m_lease = StoreLeaseId();
  node.m_runtime.m_store.m_end_lease(lease, [](const auto& result) {
    // The lease then runs out by itself.
    if (!result) LogError("claim_not_released", result.assume_error());
  });
}

void FailClaim(FleetNode& node, const Error& error) {
  LogError("claim_failed", error);
  ReleaseClaim(node);
  StepLead(node, LeadershipEvent::kClaimFailed);
}

Predecessor PredecessorOf(const FleetNode& node) {
  Predecessor predecessor;
  predecessor.m_handover = node.m_handover;
  predecessor.m_first_seen_at = node.m_term_seen_at;
  predecessor.m_has_drained_predecessors =
      node.m_settled_term == node.m_last_term;
  if (node.m_ended_term == node.m_last_term) {
    predecessor.m_ended_at = node.m_ended_seen_at;
  }
  return predecessor;
}

void WriteClaim(FleetNode& node, TimePoint sent_at) {
  const Term term = Next(node.m_last_term);
  // The watch may tell of this claim before the store's answer does.
  node.m_claim.m_predecessor = PredecessorOf(node);
  StoreTransaction transaction;
  transaction.m_expectations = {{kHolderKey, StoreRevision()},
                                {kTermKey, node.m_term_revision}};
  transaction.m_puts = {
      {kHolderKey, node.m_runtime.m_settings.m_node.value(),
       node.m_claim.m_lease},
      {kTermKey, TermValue(term, node.m_runtime.m_settings.m_node),
       StoreLeaseId()}};
  node.m_runtime.m_store.m_commit(
      transaction, [&node, term, sent_at](Result<TransactionResult> result) {
        if (!result) return FailClaim(node, result.assume_error());
        const TransactionResult& outcome = result.assume_value();
        if (!outcome.m_is_applied) {
          for (const StoredItem& item : outcome.m_found) {
            if (item.m_key == kTermKey) {
              SeeTerm(node, item.m_value, item.m_revision);
            }
          }
          return FailClaim(node, Error{ErrorCode::kConflict, "claim lead",
                                       kHolderKey, "another node came first"});
        }
        node.m_claim.m_term = term;
        node.m_claim.m_revision = outcome.m_revision;
        node.m_claim.m_term_revision = outcome.m_revision;
        node.m_claim_valid_until = sent_at + kClaimTerm;
        StepLead(node, LeadershipEvent::kClaimed);
      });
}

void BeginClaim(FleetNode& node) {
  const TimePoint sent_at = Now(node);
  node.m_runtime.m_store.m_grant_lease(
      std::max(kClaimTerm, node.m_runtime.m_settings.m_store_lease_minimum),
      [&node, sent_at](Result<StoreLeaseId> result) {
        if (!result) return FailClaim(node, result.assume_error());
        node.m_claim = Claim();
        node.m_claim.m_lease = result.assume_value();
        if (node.m_leadership != LeadershipState::kClaiming) {
          return ReleaseClaim(node);
        }
        WriteClaim(node, sent_at);
      });
}

FleetLimits LimitsOf(const SiteSettings& settings) {
  FleetLimits limits;
  limits.m_lease = std::min(
      kWorkerLease, settings.m_worker_lease_maximum * kLeasePercent / kPercent);
  // A claim that was taken away is held on to for a term.
  limits.m_inherited_lease = kClaimTerm + kIsolationLimit + kClockDriftSlack;
  limits.m_longest_lease = settings.m_worker_lease_maximum;
  limits.m_maximum_target_overrun = settings.m_harm;
  limits.m_maximum_listing_age = settings.m_leaving - kStartSlack;
  limits.m_remote_slowdown = settings.m_far_factor;
  return limits;
}

void BeginLoad(FleetNode& node) {
  LogEvent(LogLevel::kInfo, "lead_claimed",
           {{"term", node.m_claim.m_term.value()},
            {"store_revision", node.m_claim.m_revision.value()}});
  node.m_leader = std::make_shared<Leader>(Leader{node.m_runtime});
  node.m_leader->m_claim = node.m_claim;
  node.m_leader->m_predecessor = node.m_claim.m_predecessor;
  node.m_leader->m_fleet.m_limits = LimitsOf(node.m_runtime.m_settings);
  node.m_leader->m_on_claim_lost = [&node](const std::string& reason) {
    LoseClaim(node, reason);
  };
  node.m_leader->m_may_start = [&node] {
    return MayStartWork(node.m_leadership) &&
           Now(node) < node.m_claim_valid_until;
  };
  LoadLeader(node.m_leader, node.m_routes, [&node] {
    LogEvent(LogLevel::kInfo, "lead_loaded",
             {{"term", node.m_claim.m_term.value()},
              {"jobs", std::uint64_t{node.m_leader->m_fleet.m_jobs.size()}}});
    StepLead(node, LeadershipEvent::kLoaded);
  });
}

// The lease alone does not show a claim that was taken away, so the key is
// read as well.
void Renew(FleetNode& node) {
  node.m_is_renewing = true;
  const TimePoint sent_at = Now(node);
  const Term term = node.m_claim.m_term;
  auto check = [&node, sent_at,
                term](Result<std::optional<StoredItem>> result) {
    node.m_is_renewing = false;
    if (!result || node.m_claim.m_term != term) return;
    const auto& item = result.assume_value();
    const bool is_own = item && IsOwnValue(node, item->m_value) &&
                        item->m_revision == node.m_claim.m_revision;
    if (!is_own) return LoseClaim(node, "the claim is gone");
    node.m_claim_valid_until = sent_at + kClaimTerm;
  };
  node.m_runtime.m_store.m_renew_lease(
      node.m_claim.m_lease, [&node, check](Result<StoreLeaseId> result) {
        if (!result) {
          node.m_is_renewing = false;
          if (result.assume_error().m_code == ErrorCode::kNotFound) {
            LoseClaim(node, "the lease has ended");
          }
          return;
        }
        node.m_runtime.m_store.m_read(kHolderKey, ReadFreshness::kCurrent,
                                      check);
      });
}

void TickClaim(FleetNode& node) {
  const TimePoint now = Now(node);
  if (!node.m_is_renewing && now >= node.m_next_renewal_at) {
    node.m_next_renewal_at = now + kRenewalInterval;
    Renew(node);
  }
  if (node.m_leader) {
    node.m_leader->m_fleet.m_lease_limit =
        node.m_claim_valid_until + kIsolationLimit;
  }
  const bool is_valid = now < node.m_claim_valid_until;
  StepLead(node, is_valid ? LeadershipEvent::kStoreRegained
                          : LeadershipEvent::kStoreLost);
  if (now >= node.m_claim_valid_until + kIsolationLimit) {
    LoseClaim(node, "the store was away for too long");
  }
}

void TickHandover(FleetNode& node) {
  if (node.m_is_writing_handover || !HasStoredAll(*node.m_leader)) return;
  node.m_is_writing_handover = true;
  WriteHandover(node.m_leader,
                [&node] { StepLead(node, LeadershipEvent::kHandedOver); });
}

}  // namespace

void WatchLead(FleetNode& node) {
  node.m_lead_watch = std::make_shared<PrefixWatch>();
  PrefixWatch& watch = *node.m_lead_watch;
  watch.m_prefix = kLeadPrefix;
  watch.m_on_listing = [&node](const std::vector<StoredItem>& items) {
    bool is_held = false;
    std::string holder;
    StoreRevision revision = node.m_lead_watch->m_as_of;
    for (const StoredItem& item : items) {
      if (item.m_key == kTermKey) {
        SeeTerm(node, item.m_value, item.m_revision);
      } else if (item.m_key == kHandoverKey) {
        SeeHandover(node, item.m_value);
      } else if (item.m_key == kEndedKey) {
        SeeEnded(node, item.m_value);
      } else if (item.m_key == kSettledKey) {
        SeeSettled(node, item.m_value);
      } else if (item.m_key == kHolderKey) {
        is_held = true;
        holder = item.m_value;
        revision = item.m_revision;
      }
    }
    SeeHolder(node, is_held, revision);
    ReportEnd(node, is_held, holder, revision);
  };
  watch.m_on_changes = [&node](const std::vector<StoreChange>& changes) {
    for (const StoreChange& change : changes) {
      if (change.m_key == kTermKey && change.m_value) {
        SeeTerm(node, *change.m_value, change.m_revision);
      } else if (change.m_key == kHandoverKey && change.m_value) {
        SeeHandover(node, *change.m_value);
      } else if (change.m_key == kEndedKey && change.m_value) {
        SeeEnded(node, *change.m_value);
      } else if (change.m_key == kSettledKey && change.m_value) {
        SeeSettled(node, *change.m_value);
      } else if (change.m_key == kHolderKey) {
        SeeHolder(node, change.m_value.has_value(), change.m_revision);
      }
    }
    TickLead(node);
  };
}

void TickLead(FleetNode& node) {
  const TimePoint now = Now(node);
  if (node.m_leadership == LeadershipState::kFollowing && !node.m_is_held &&
      node.m_has_routes && now >= node.m_may_claim_at) {
    const SiteSettings& settings = node.m_runtime.m_settings;
    const Duration delay = ClaimDelay(settings.m_processor_share,
                                      StableHash(settings.m_node.value()));
    if (now >= node.m_vacant_since + delay) {
      StepLead(node, LeadershipEvent::kVacancySeen);
    }
  }
  if (node.m_leadership == LeadershipState::kLoading ||
      HoldsFleet(node.m_leadership)) {
    TickClaim(node);
  }
  if (node.m_leader) TickLeader(node.m_leader);
  if (node.m_leadership == LeadershipState::kHandingOver) TickHandover(node);
}

void StepLead(FleetNode& node, LeadershipEvent event) {
  LeadershipEffects effects;
  node.m_runtime.m_leadership_machine.Step(node.m_leadership, event, effects);
  if (effects.m_must_wait_to_retry)
    node.m_may_claim_at = Now(node) + kClaimRetry;
  if (effects.m_must_drop_fleet) DropFleet(node);
  if (effects.m_must_release_claim) ReleaseClaim(node);
  if (effects.m_must_claim) BeginClaim(node);
  if (effects.m_must_load_fleet) BeginLoad(node);
}

}  // namespace daisyarch::fleet
