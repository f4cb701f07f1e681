#include "fleet/node_leadership.h"

#include <algorithm>
#include <utility>

#include "base/stable_hash.h"
#include "decisions/fleet/late_start.h"
#include "fleet/store_keys.h"
#include "log/log.h"
#include "wire/fleet_fields.h"

namespace daisyarch::fleet {

namespace {

// Long enough to tolerate a slow answer of the store, short enough that work
// resumes soon after a leader has died.
constexpr Duration kClaimLeaseDuration = std::chrono::milliseconds(2000);
constexpr Duration kRenewalInterval = std::chrono::milliseconds(500);
constexpr Duration kClaimRetryDelay = std::chrono::milliseconds(300);
constexpr Duration kEndReportInterval = std::chrono::milliseconds(300);
// Covers a worker's clock that runs 2% slow over the longest lease.
constexpr Duration kInheritedLeaseSlack = std::chrono::milliseconds(500);
// How long after its claim has expired a leader that cannot reach the store
// keeps the leases of workers alive, so that running tasks continue.
constexpr Duration kIsolationLimit = std::chrono::seconds(6);
constexpr Duration kWorkerLease = std::chrono::seconds(4);
// Time from a placement decision to the task's start on the worker.
constexpr Duration kStartSlack = std::chrono::milliseconds(300);
// Granted leases are at most this share of the worker's own maximum; the rest
// allows for a late answer.
constexpr std::int64_t kLeasePercent = 80;
constexpr std::int64_t kPercent = 100;
// More than can begin while a start may take effect late.
constexpr std::size_t kKeptTerms = 64;

TimePoint Now(const FleetNode& node) { return node.m_runtime.m_clock.m_now(); }

bool NamesThisNode(const FleetNode& node, const std::string& value) {
  return value == node.m_runtime.m_settings.m_node.value();
}

void HandleClaimLost(FleetNode& node, const std::string& reason) {
  if (!node.m_leader || node.m_is_claim_loss_pending) return;
  node.m_is_claim_loss_pending = true;
  LogEvent(LogLevel::kWarning, "lead_lost",
           {{"term", node.m_claim.m_term.value()}, {"reason", reason}});
  // Deferred, because the caller may be the leader that is to be destroyed.
  node.m_runtime.m_clock.m_defer([&node] {
    node.m_is_claim_loss_pending = false;
    StepLeadership(node, LeadershipEvent::kClaimLost);
  });
}

void ApplyClaimChange(FleetNode& node, bool is_held, StoreRevision revision) {
  const bool was_held = node.m_is_claim_held;
  node.m_is_claim_held = is_held;
  if (!is_held && (was_held || node.m_vacant_since == TimePoint())) {
    node.m_vacant_since = Now(node);
  }
  if (!HoldsFleet(node.m_leadership)) return;
  const bool is_replaced = is_held && revision > node.m_claim.m_revision;
  if (is_replaced || (!is_held && revision > node.m_claim.m_revision)) {
    HandleClaimLost(
        node, "the leadership claim was removed or taken by another node");
  }
}

// The stored value: the number of the term and its leader.
std::string EncodeTerm(Term term, const NodeId& leader) {
  return std::to_string(term.value()) + " " + leader.value();
}

void ApplyTerm(FleetNode& node, const std::string& value,
               StoreRevision revision) {
  node.m_term_revision = revision;
  const Term term(std::strtoull(value.c_str(), nullptr, 10));
  if (term == node.m_last_term) return;
  node.m_last_term = term;
  node.m_term_seen_at = Now(node);
  node.m_terms_seen_at.emplace(term, Now(node));
  if (node.m_terms_seen_at.size() > kKeptTerms) {
    node.m_terms_seen_at.erase(node.m_terms_seen_at.begin());
  }
  const std::size_t space = value.find(' ');
  node.m_last_leader =
      NodeId(space == std::string::npos ? "" : value.substr(space + 1));
}

void ApplyDrainedTerm(FleetNode& node, const std::string& value) {
  node.m_drained_term = Term(std::strtoull(value.c_str(), nullptr, 10));
}

// Records that the leader process of the stored term is known to be gone.
void ApplyEndedTerm(FleetNode& node, const std::string& value) {
  const Term term(std::strtoull(value.c_str(), nullptr, 10));
  if (term <= node.m_ended_term) return;
  node.m_ended_term = term;
  node.m_ended_seen_at = Now(node);
  if (!node.m_leader || Next(term) != node.m_claim.m_term) return;
  Leader& leader = *node.m_leader;
  leader.m_predecessor.m_ended_at = Now(node);
  ApplyPredecessorEnded(leader.m_fleet, leader.m_predecessor);
}

// Called with the first listing, before this process has claimed leadership. If
// the last term names this node as leader, an earlier process of this node led
// in it and is gone. Storing this, and removing its claim, shortens the next
// leader's wait for its leases.
void ReportEarlierProcessEnd(FleetNode& node, bool is_held,
                             const std::string& leader,
                             StoreRevision revision) {
  if (node.m_has_checked_earlier_process) return;
  node.m_has_checked_earlier_process = true;
  const NodeId& self = node.m_runtime.m_settings.m_node;
  if (node.m_last_leader != self) return;
  StoreTransaction transaction;
  transaction.m_expectations.push_back({kTermKey, node.m_term_revision});
  transaction.m_puts.push_back({kEndedTermKey,
                                std::to_string(node.m_last_term.value()),
                                StoreLeaseId()});
  if (is_held && NodeId(leader) == self) {
    transaction.m_expectations.push_back({kClaimKey, revision});
    transaction.m_removals.push_back(kClaimKey);
  }
  LogEvent(LogLevel::kInfo, "earlier_lead_ended",
           {{"term", node.m_last_term.value()},
            {"store_revision", node.m_term_revision.value()}});
  node.m_runtime.m_store.m_commit(
      transaction, [](const Result<TransactionResult>& result) {
        // Without this write the claim expires with its lease.
        if (!result) LogError("lead_end_not_stored", result.assume_error());
      });
}

// A leader that has given up starts nothing any more, but its node lives on and
// is therefore the only one to know. The next leader, which may have claimed
// leadership already, need not wait for longer than one lease then.
void ReportGivenUpTerm(FleetNode& node) {
  const Term term = node.m_given_up_term;
  if (term == Term() || node.m_is_reporting_end) return;
  if (node.m_last_term > Next(term)) {
    node.m_given_up_term = Term();
    return;
  }
  if (Now(node) < node.m_next_end_report_at) return;
  node.m_next_end_report_at = Now(node) + kEndReportInterval;
  node.m_is_reporting_end = true;
  StoreTransaction transaction;
  transaction.m_expectations.push_back({kTermKey, node.m_term_revision});
  transaction.m_puts.push_back(
      {kEndedTermKey, std::to_string(term.value()), StoreLeaseId()});
  node.m_runtime.m_store.m_commit(
      transaction, [&node, term](const Result<TransactionResult>& result) {
        node.m_is_reporting_end = false;
        const bool is_stored = result && result.assume_value().m_is_applied;
        if (!is_stored || node.m_given_up_term != term) return;
        node.m_given_up_term = Term();
        LogEvent(LogLevel::kInfo, "lead_end_stored", {{"term", term.value()}});
      });
}

void ApplyHandover(FleetNode& node, const std::string& value) {
  auto handover = DecodeCbor<Handover>(value, "read handover", kHandoverKey);
  if (!handover)
    return LogError("handover_unreadable", handover.assume_error());
  node.m_handover = std::move(handover).assume_value();
}

void BeginClaim(FleetNode& node);
void BeginLoad(FleetNode& node);

// The next leader waits longer if a start of this one, of which it may not
// know, may still take effect.
void DropFleet(FleetNode& node) {
  const bool has_ended =
      node.m_leader && !MayAnyOrderStartLate(node.m_leader->m_fleet, Now(node));
  node.m_leader.reset();
  if (!has_ended || node.m_claim.m_term <= node.m_ended_term) return;
  node.m_given_up_term = node.m_ended_term = node.m_claim.m_term;
  node.m_ended_seen_at = Now(node);
}

void ReleaseClaim(FleetNode& node) {
  const StoreLeaseId lease = node.m_claim.m_lease;
  if (lease == StoreLeaseId()) return;
  node.m_claim.m_lease = StoreLeaseId();
  node.m_runtime.m_store.m_revoke_lease(lease, [](const auto& result) {
    // Without this call the lease expires by itself.
    if (!result) LogError("claim_not_released", result.assume_error());
  });
}

void HandleClaimFailure(FleetNode& node, const Error& error) {
  LogError("claim_failed", error);
  ReleaseClaim(node);
  StepLeadership(node, LeadershipEvent::kClaimFailed);
}

Predecessor PredecessorOf(const FleetNode& node) {
  Predecessor predecessor;
  predecessor.m_handover = node.m_handover;
  predecessor.m_first_seen_at = node.m_term_seen_at;
  predecessor.m_has_drained_predecessors =
      node.m_drained_term == node.m_last_term;
  if (node.m_ended_term == node.m_last_term) {
    predecessor.m_ended_at = node.m_ended_seen_at;
  }
  return predecessor;
}

// Returns whether the previous leader is known to start nothing any more.
bool HasPredecessorEnded(const LeadershipClaim& claim) {
  const Predecessor& predecessor = claim.m_predecessor;
  return predecessor.m_ended_at != TimePoint() ||
         Next(predecessor.m_handover.m_term) == claim.m_term;
}

void WriteClaim(FleetNode& node, TimePoint sent_at) {
  const Term term = Next(node.m_last_term);
  // The watch may report this claim before the store answers the commit, so
  // the predecessor is recorded first.
  node.m_claim.m_predecessor = PredecessorOf(node);
  StoreTransaction transaction;
  transaction.m_expectations = {{kClaimKey, StoreRevision()},
                                {kTermKey, node.m_term_revision}};
  transaction.m_puts = {
      {kClaimKey, node.m_runtime.m_settings.m_node.value(),
       node.m_claim.m_lease},
      {kTermKey, EncodeTerm(term, node.m_runtime.m_settings.m_node),
       StoreLeaseId()}};
  node.m_runtime.m_store.m_commit(
      transaction, [&node, term, sent_at](Result<TransactionResult> result) {
        if (!result) return HandleClaimFailure(node, result.assume_error());
        const TransactionResult& outcome = result.assume_value();
        if (!outcome.m_is_applied) {
          for (const StoredItem& item : outcome.m_current_items) {
            if (item.m_key == kTermKey) {
              ApplyTerm(node, item.m_value, item.m_revision);
            }
          }
          return HandleClaimFailure(
              node, Error{ErrorCode::kConflict, "claim leadership", kClaimKey,
                          "another node has claimed leadership first"});
        }
        node.m_claim.m_term = term;
        node.m_claim.m_revision = outcome.m_revision;
        node.m_claim.m_term_revision = outcome.m_revision;
        node.m_claim_valid_until = sent_at + kClaimLeaseDuration;
        StepLeadership(node, LeadershipEvent::kClaimed);
      });
}

void BeginClaim(FleetNode& node) {
  const TimePoint sent_at = Now(node);
  node.m_runtime.m_store.m_grant_lease(
      std::max(kClaimLeaseDuration,
               node.m_runtime.m_settings.m_store_lease_minimum),
      [&node, sent_at](Result<StoreLeaseId> result) {
        if (!result) return HandleClaimFailure(node, result.assume_error());
        node.m_claim = LeadershipClaim();
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
  // A previous leader that does not learn of the loss of its claim trusts the
  // claim until its lease expires, and grants worker leases that end at most
  // the isolation limit later.
  limits.m_inherited_lease =
      kClaimLeaseDuration + kIsolationLimit + kInheritedLeaseSlack;
  limits.m_longest_lease = settings.m_worker_lease_maximum;
  limits.m_maximum_target_overrun = settings.m_maximum_target_overrun;
  limits.m_maximum_listing_age = settings.m_leaving_grace_period - kStartSlack;
  limits.m_remote_slowdown = settings.m_remote_slowdown;
  return limits;
}

void BeginLoad(FleetNode& node) {
  LogEvent(LogLevel::kInfo, "lead_claimed",
           {{"term", node.m_claim.m_term.value()},
            {"store_revision", node.m_claim.m_revision.value()},
            {"processor_share_percent",
             static_cast<std::int64_t>(
                 node.m_runtime.m_settings.m_processor_share * kPercent)}});
  node.m_leader = std::make_shared<Leader>(Leader{node.m_runtime});
  node.m_leader->m_claim = node.m_claim;
  node.m_leader->m_predecessor = node.m_claim.m_predecessor;
  node.m_leader->m_fleet.m_limits = LimitsOf(node.m_runtime.m_settings);
  node.m_leader->m_fleet.m_terms_seen_at = node.m_terms_seen_at;
  if (!HasPredecessorEnded(node.m_claim)) {
    node.m_leader->m_inherits_jobs_until = Now(node) + kClaimLeaseDuration;
  }
  node.m_leader->m_on_claim_lost = [&node](const std::string& reason) {
    HandleClaimLost(node, reason);
  };
  node.m_leader->m_may_start_runs = [&node] {
    return MayStartWork(node.m_leadership) &&
           Now(node) < node.m_claim_valid_until;
  };
  LoadLeader(node.m_leader, node.m_routes, [&node] {
    const Leader& leader = *node.m_leader;
    const TimePoint runs_end_at = leader.m_fleet.m_inherited_runs_end_at;
    const Duration longest_wait = std::max(Duration{}, runs_end_at - Now(node));
    LogEvent(LogLevel::kInfo, "lead_loaded",
             {{"term", node.m_claim.m_term.value()},
              {"jobs", std::uint64_t{leader.m_fleet.m_jobs.size()}},
              {"roster", std::uint64_t{leader.m_fleet.m_roster.size()}},
              {"roster_revision", leader.m_roster_revision.value()},
              {"inherited_runs_ms", ToMilliseconds(longest_wait)}});
    StepLeadership(node, LeadershipEvent::kLoaded);
  });
}

// Renewing the lease does not show that the claim key was removed or replaced,
// so the key is read as well.
void RenewClaim(FleetNode& node) {
  node.m_is_renewing = true;
  const TimePoint sent_at = Now(node);
  const Term term = node.m_claim.m_term;
  auto check = [&node, sent_at,
                term](Result<std::optional<StoredItem>> result) {
    node.m_is_renewing = false;
    if (!result || node.m_claim.m_term != term) return;
    const auto& item = result.assume_value();
    const bool is_own = item && NamesThisNode(node, item->m_value) &&
                        item->m_revision == node.m_claim.m_revision;
    if (!is_own) return HandleClaimLost(node, "the claim key has changed");
    node.m_claim_valid_until = sent_at + kClaimLeaseDuration;
  };
  node.m_runtime.m_store.m_renew_lease(
      node.m_claim.m_lease, [&node, check](Result<StoreLeaseId> result) {
        if (!result) {
          node.m_is_renewing = false;
          if (result.assume_error().m_code == ErrorCode::kNotFound) {
            HandleClaimLost(node, "the lease of the claim has expired");
          }
          return;
        }
        node.m_runtime.m_store.m_read(kClaimKey, ReadFreshness::kCurrent,
                                      check);
      });
}

void TickClaim(FleetNode& node) {
  const TimePoint now = Now(node);
  if (!node.m_is_renewing && now >= node.m_next_renewal_at) {
    node.m_next_renewal_at = now + kRenewalInterval;
    RenewClaim(node);
  }
  if (node.m_leader && !node.m_is_writing_handover) {
    node.m_leader->m_fleet.m_lease_limit =
        node.m_claim_valid_until + kIsolationLimit;
  }
  const bool is_valid = now < node.m_claim_valid_until;
  StepLeadership(node, is_valid ? LeadershipEvent::kStoreRegained
                                : LeadershipEvent::kStoreLost);
  if (now >= node.m_claim_valid_until + kIsolationLimit) {
    HandleClaimLost(
        node, "the store was unreachable for longer than the isolation limit");
  }
}

void TickHandover(FleetNode& node) {
  if (node.m_is_writing_handover || !AreChangesStored(*node.m_leader)) return;
  node.m_is_writing_handover = true;
  WriteHandover(node.m_leader, [&node] {
    StepLeadership(node, LeadershipEvent::kHandedOver);
  });
}

}  // namespace

void WatchLeadership(FleetNode& node) {
  node.m_leadership_watch = std::make_shared<PrefixWatch>();
  PrefixWatch& watch = *node.m_leadership_watch;
  watch.m_prefix = kLeadershipPrefix;
  watch.m_on_listing = [&node](const std::vector<StoredItem>& items) {
    bool is_held = false;
    std::string leader;
    StoreRevision revision = node.m_leadership_watch->m_as_of;
    for (const StoredItem& item : items) {
      if (item.m_key == kTermKey) {
        ApplyTerm(node, item.m_value, item.m_revision);
      } else if (item.m_key == kHandoverKey) {
        ApplyHandover(node, item.m_value);
      } else if (item.m_key == kEndedTermKey) {
        ApplyEndedTerm(node, item.m_value);
      } else if (item.m_key == kDrainedTermKey) {
        ApplyDrainedTerm(node, item.m_value);
      } else if (item.m_key == kClaimKey) {
        is_held = true;
        leader = item.m_value;
        revision = item.m_revision;
      }
    }
    ApplyClaimChange(node, is_held, revision);
    ReportEarlierProcessEnd(node, is_held, leader, revision);
  };
  watch.m_on_changes = [&node](const std::vector<StoreChange>& changes) {
    for (const StoreChange& change : changes) {
      if (change.m_key == kTermKey && change.m_value) {
        ApplyTerm(node, *change.m_value, change.m_revision);
      } else if (change.m_key == kHandoverKey && change.m_value) {
        ApplyHandover(node, *change.m_value);
      } else if (change.m_key == kEndedTermKey && change.m_value) {
        ApplyEndedTerm(node, *change.m_value);
      } else if (change.m_key == kDrainedTermKey && change.m_value) {
        ApplyDrainedTerm(node, *change.m_value);
      } else if (change.m_key == kClaimKey) {
        ApplyClaimChange(node, change.m_value.has_value(), change.m_revision);
      }
    }
    TickLeadership(node);
  };
}

void TickLeadership(FleetNode& node) {
  const TimePoint now = Now(node);
  if (node.m_leadership == LeadershipState::kFollowing &&
      !node.m_is_claim_held && node.m_has_routes &&
      now >= node.m_next_claim_at) {
    const SiteSettings& settings = node.m_runtime.m_settings;
    const Duration delay = ClaimDelay(settings.m_processor_share,
                                      StableHash(settings.m_node.value()));
    // Without a configuration no node may claim, so the delays of all nodes
    // would have passed when it comes.
    const TimePoint open_since =
        std::max(node.m_vacant_since, node.m_routes_known_at);
    if (now >= open_since + delay) {
      StepLeadership(node, LeadershipEvent::kVacancySeen);
    }
  }
  if (node.m_leadership == LeadershipState::kLoading ||
      HoldsFleet(node.m_leadership)) {
    TickClaim(node);
  }
  ReportGivenUpTerm(node);
  if (node.m_leader) TickLeader(node.m_leader);
  if (node.m_leadership == LeadershipState::kHandingOver) TickHandover(node);
}

void StepLeadership(FleetNode& node, LeadershipEvent event) {
  LeadershipEffects effects;
  node.m_runtime.m_leadership_state_machine.Step(node.m_leadership, event,
                                                 effects);
  if (effects.m_must_wait_to_retry)
    node.m_next_claim_at = Now(node) + kClaimRetryDelay;
  if (effects.m_must_drop_fleet) DropFleet(node);
  if (effects.m_must_release_claim) ReleaseClaim(node);
  if (effects.m_must_claim) BeginClaim(node);
  if (effects.m_must_load_fleet) BeginLoad(node);
}

}  // namespace daisyarch::fleet
