#include <algorithm>
#include <utility>

#include "fleet/leader.h"
#include "fleet/store_keys.h"
#include "log/log.h"
#include "wire/fleet_fields.h"

namespace daisyarch::fleet {

namespace {

constexpr Duration kPendingInterval = std::chrono::milliseconds(1000);
constexpr Duration kRemovalInterval = std::chrono::seconds(5);
// Progress is kept this much longer than the retention period, because a
// request may still be repeated after it.
constexpr std::int64_t kRetentionSlackMs = 30000;
constexpr std::size_t kMaximumEntriesPerWrite = 30;
constexpr Duration kPartRemovalInterval = std::chrono::milliseconds(200);

TimePoint Now(const Leader& leader) { return leader.m_runtime.m_clock.m_now(); }

}  // namespace

StoreExpectation ClaimExpectation(const Leader& leader) {
  return {kClaimKey, leader.m_claim.m_revision};
}

void WriteHandover(const LeaderPointer& leader,
                   std::function<void()> on_written) {
  // The handover may take effect long before its answer arrives, and the next
  // leader then waits for one lease only.
  Fleet& fleet = leader->m_fleet;
  fleet.m_lease_limit =
      std::min(fleet.m_lease_limit, Now(*leader) + fleet.m_limits.m_lease);
  StoreTransaction transaction;
  transaction.m_expectations.push_back(ClaimExpectation(*leader));
  transaction.m_puts.push_back(
      {kHandoverKey, WriteCbor(Encode(HandoverOf(fleet, Now(*leader)))),
       StoreLeaseId()});
  leader->m_runtime.m_store.m_commit(
      transaction, [on_written = std::move(on_written)](
                       const Result<TransactionResult>& result) {
        if (!result) LogError("handover_not_stored", result.assume_error());
        on_written();
      });
}

void WriteDrainedTerm(const LeaderPointer& leader) {
  if (leader->m_has_sent_drained_term || !leader->m_has_worker_listing) return;
  if (MayHaveInheritedRuns(leader->m_fleet, Now(*leader))) return;
  // A run that the worker reported may have been adopted meanwhile.
  if (HasUnstoredLease(leader->m_fleet, Now(*leader))) return;
  leader->m_has_sent_drained_term = true;
  StoreTransaction transaction;
  transaction.m_expectations.push_back(ClaimExpectation(*leader));
  transaction.m_puts.push_back({kDrainedTermKey,
                                std::to_string(leader->m_claim.m_term.value()),
                                StoreLeaseId()});
  const std::weak_ptr<Leader> weak = leader;
  leader->m_runtime.m_store.m_commit(
      transaction, [weak](const Result<TransactionResult>& result) {
        const LeaderPointer self = weak.lock();
        if (!self || (result && result.assume_value().m_is_applied)) return;
        self->m_has_sent_drained_term = false;
      });
}

namespace {

// Takes over the revision that a rejected write found.
void UpdatePendingRevision(Leader& leader, const TransactionResult& result) {
  leader.m_pending_revision = StoreRevision();
  for (const StoredItem& item : result.m_current_items) {
    if (item.m_key == kPendingKey) leader.m_pending_revision = item.m_revision;
  }
}

}  // namespace

void WritePendingCounts(const LeaderPointer& leader) {
  const TimePoint now = Now(*leader);
  if (leader->m_is_writing_pending || now < leader->m_next_pending_at) return;
  leader->m_next_pending_at = now + kPendingInterval;
  const auto pending = CountPending(leader->m_fleet);
  if (pending == leader->m_stored_pending_counts) return;
  leader->m_is_writing_pending = true;
  // Without an answer, the write may have taken effect or not.
  leader->m_stored_pending_counts.reset();
  StoreTransaction transaction;
  transaction.m_expectations.push_back(ClaimExpectation(*leader));
  // An earlier write that the store applies late must not replace this one.
  transaction.m_expectations.push_back(
      {kPendingKey, leader->m_pending_revision});
  transaction.m_puts.push_back(
      {kPendingKey, WriteCbor(FieldWriter::Write(pending)), StoreLeaseId()});
  const std::weak_ptr<Leader> weak = leader;
  leader->m_runtime.m_store.m_commit(
      transaction, [weak, pending](const Result<TransactionResult>& result) {
        const LeaderPointer self = weak.lock();
        if (!self) return;
        self->m_is_writing_pending = false;
        if (!result) return;
        const TransactionResult& outcome = result.assume_value();
        if (!outcome.m_is_applied) {
          UpdatePendingRevision(*self, outcome);
          self->m_next_pending_at = Now(*self);
          return;
        }
        self->m_pending_revision = outcome.m_revision;
        self->m_stored_pending_counts = pending;
      });
}

namespace {

// Returns the keys of the next obsolete items.
std::vector<std::string> ObsoleteItems(const Leader& leader) {
  const std::int64_t oldest =
      leader.m_runtime.m_clock.m_unix_ms() - kRetentionSlackMs -
      ToMilliseconds(leader.m_runtime.m_settings.m_state_retention);
  std::vector<std::string> keys;
  for (const std::string& key : leader.m_obsolete_parts) {
    if (keys.size() == kMaximumEntriesPerWrite) return keys;
    keys.push_back(key);
  }
  for (const auto& [key, ended] : leader.m_fleet.m_ended_jobs) {
    if (keys.size() == kMaximumEntriesPerWrite) return keys;
    if (ended <= oldest) keys.push_back(ProgressItemKey(key));
  }
  return keys;
}

void ForgetItems(Leader& leader, const std::vector<std::string>& keys) {
  for (const std::string& key : keys) {
    leader.m_progress_revisions.erase(key);
    if (leader.m_obsolete_parts.erase(key) > 0) continue;
    leader.m_fleet.m_ended_jobs.erase(
        JobKey(key.substr(kProgressPrefix.size())));
  }
}

}  // namespace

void RemoveOldProgress(const LeaderPointer& leader) {
  const TimePoint now = Now(*leader);
  if (leader->m_is_removing || now < leader->m_next_removal_at) return;
  leader->m_next_removal_at =
      now + (leader->m_obsolete_parts.empty() ? kRemovalInterval
                                              : kPartRemovalInterval);
  const std::vector<std::string> removed = ObsoleteItems(*leader);
  if (removed.empty()) return;
  StoreTransaction transaction;
  transaction.m_expectations.push_back(ClaimExpectation(*leader));
  transaction.m_removals = removed;
  leader->m_is_removing = true;
  const std::weak_ptr<Leader> weak = leader;
  leader->m_runtime.m_store.m_commit(
      transaction, [weak, removed](const Result<TransactionResult>& result) {
        const LeaderPointer self = weak.lock();
        if (!self) return;
        self->m_is_removing = false;
        if (!result || !result.assume_value().m_is_applied) return;
        ForgetItems(*self, removed);
      });
}

}  // namespace daisyarch::fleet
