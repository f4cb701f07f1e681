#include <algorithm>
#include <utility>

#include "fleet/leader.h"
#include "fleet/store_keys.h"
#include "log/log.h"
#include "wire/fleet_fields.h"

namespace daisyarch::fleet {

namespace {

// Changes that no client waits for are batched for this long.
constexpr Duration kWriteInterval = std::chrono::milliseconds(60);
constexpr Duration kWriteRetryDelay = std::chrono::milliseconds(100);
constexpr Duration kPendingInterval = std::chrono::milliseconds(1000);
constexpr Duration kRemovalInterval = std::chrono::seconds(5);
// Progress is kept this much longer than the retention period, because a
// request may still be repeated after it.
constexpr std::int64_t kRetentionSlackMs = 30000;
constexpr std::size_t kMaximumEntriesPerWrite = 30;

TimePoint Now(const Leader& leader) { return leader.m_runtime.m_clock.m_now(); }

StoreRevision ProgressRevision(const Leader& leader, const JobKey& key) {
  const auto found = leader.m_progress_revisions.find(key);
  return found == leader.m_progress_revisions.end() ? StoreRevision()
                                                    : found->second;
}

// Returns the number of transaction entries for the change.
std::size_t CountEntries(const Leader& leader, const JobChange& change) {
  constexpr std::size_t kExpectAndPut = 2;
  if (!change.m_has_ended) return kExpectAndPut;
  return kExpectAndPut + 1 + leader.m_cancelled_jobs.count(change.m_key);
}

// Each write expects the revision of the progress that it replaces, so that a
// write which the store applies late cannot overwrite a newer one.
void AddChange(Leader& leader, JobChange& change,
               StoreTransaction& transaction) {
  const std::string key = ProgressItemKey(change.m_key);
  if (change.m_has_ended && change.m_progress.m_ended_unix_ms == 0) {
    change.m_progress.m_ended_unix_ms = leader.m_runtime.m_clock.m_unix_ms();
  }
  transaction.m_expectations.push_back(
      {key, ProgressRevision(leader, change.m_key)});
  transaction.m_puts.push_back(
      {key, WriteCbor(Encode(change.m_progress)), StoreLeaseId()});
  if (!change.m_has_ended) return;
  transaction.m_removals.push_back(JobItemKey(change.m_key));
  if (leader.m_cancelled_jobs.count(change.m_key) > 0) {
    transaction.m_removals.push_back(CancelItemKey(change.m_key));
  }
}

void BuildTransaction(Leader& leader) {
  BatchWriter& writer = leader.m_writer;
  writer.m_transaction = {};
  writer.m_transaction.m_expectations.push_back(ClaimExpectation(leader));
  std::size_t entries = 1;
  writer.m_transaction_end = writer.m_next_job;
  while (writer.m_transaction_end < writer.m_batch.m_jobs.size()) {
    JobChange& change = writer.m_batch.m_jobs[writer.m_transaction_end];
    entries += CountEntries(leader, change);
    if (entries > kMaximumTransactionEntries) break;
    AddChange(leader, change, writer.m_transaction);
    ++writer.m_transaction_end;
  }
}

void RecordJobEnd(Leader& leader, const JobChange& change) {
  if (!change.m_has_ended) return;
  leader.m_fleet.m_ended_jobs[change.m_key] = change.m_progress.m_ended_unix_ms;
  leader.m_cancelled_jobs.erase(change.m_key);
  LogEvent(LogLevel::kInfo, "job_ended",
           {{"job", change.m_key.value()},
            {"state", EnumNames<JobState>::kNames[static_cast<std::size_t>(
                          change.m_progress.m_state)]},
            {"term", leader.m_claim.m_term.value()}});
}

void FinishTransaction(Leader& leader, StoreRevision revision) {
  BatchWriter& writer = leader.m_writer;
  for (; writer.m_next_job < writer.m_transaction_end; ++writer.m_next_job) {
    const JobChange& change = writer.m_batch.m_jobs[writer.m_next_job];
    leader.m_progress_revisions[change.m_key] = revision;
    RecordJobEnd(leader, change);
  }
}

// Returns true, and sets `revision`, if an earlier attempt of this transaction
// that had no answer took effect.
bool FindOwnWrite(const Leader& leader, const TransactionResult& result,
                  StoreRevision& revision) {
  for (const StoredItem& item : result.m_current_items) {
    for (const StorePut& put : leader.m_writer.m_transaction.m_puts) {
      if (put.m_key != item.m_key || put.m_value != item.m_value) continue;
      revision = item.m_revision;
      return true;
    }
  }
  return false;
}

bool IsClaimHeld(const Leader& leader, const TransactionResult& result) {
  for (const StoredItem& item : result.m_current_items) {
    if (item.m_key != kClaimKey) continue;
    return item.m_revision == leader.m_claim.m_revision;
  }
  return false;
}

// Takes over the revisions that the rejected transaction found. Progress that
// it expected and that is absent has none.
void UpdateProgressRevisions(Leader& leader, const TransactionResult& result) {
  for (const StoreExpectation& row :
       leader.m_writer.m_transaction.m_expectations) {
    if (row.m_key == kClaimKey) continue;
    leader.m_progress_revisions.erase(
        JobKey(row.m_key.substr(kProgressPrefix.size())));
  }
  for (const StoredItem& item : result.m_current_items) {
    if (item.m_key == kClaimKey) continue;
    leader.m_progress_revisions[JobKey(
        item.m_key.substr(kProgressPrefix.size()))] = item.m_revision;
  }
}

void SendTransaction(const LeaderPointer& leader);

void HandleTransactionResult(const LeaderPointer& leader,
                             const Result<TransactionResult>& result) {
  BatchWriter& writer = leader->m_writer;
  writer.m_is_commit_in_flight = false;
  if (!result) {
    writer.m_retry_at = Now(*leader) + kWriteRetryDelay;
    return;
  }
  const TransactionResult& outcome = result.assume_value();
  StoreRevision revision = outcome.m_revision;
  if (!outcome.m_is_applied) {
    if (!IsClaimHeld(*leader, outcome)) {
      return leader->m_on_claim_lost(
          "a write found that the store no longer holds this node's claim");
    }
    if (!FindOwnWrite(*leader, outcome, revision)) {
      UpdateProgressRevisions(*leader, outcome);
      BuildTransaction(*leader);
      writer.m_retry_at = Now(*leader) + kWriteRetryDelay;
      return;
    }
  }
  FinishTransaction(*leader, revision);
  if (writer.m_next_job < writer.m_batch.m_jobs.size()) {
    BuildTransaction(*leader);
    return SendTransaction(leader);
  }
  ApplyStoredBatch(leader->m_fleet, writer.m_batch);
  writer.m_batch = {};
  RequestSchedulingPass(leader);
}

void SendTransaction(const LeaderPointer& leader) {
  leader->m_writer.m_is_commit_in_flight = true;
  const std::weak_ptr<Leader> weak = leader;
  leader->m_runtime.m_store.m_commit(
      leader->m_writer.m_transaction,
      [weak](const Result<TransactionResult>& result) {
        const LeaderPointer self = weak.lock();
        if (self) HandleTransactionResult(self, result);
      });
}

bool HasUnstoredOutcomes(const Fleet& fleet) {
  for (const auto& entry : fleet.m_workers) {
    if (entry.second.m_applied_end != entry.second.m_stored_end) return true;
  }
  return false;
}

}  // namespace

StoreExpectation ClaimExpectation(const Leader& leader) {
  return {kClaimKey, leader.m_claim.m_revision};
}

void WriteChanges(const LeaderPointer& leader) {
  Fleet& fleet = leader->m_fleet;
  BatchWriter& writer = leader->m_writer;
  if (writer.m_is_commit_in_flight) return;
  if (fleet.m_is_storing) {
    if (Now(*leader) >= writer.m_retry_at) SendTransaction(leader);
    return;
  }
  if (fleet.m_changed_jobs.empty() && !HasUnstoredOutcomes(fleet)) return;
  if (!fleet.m_has_urgent_change && Now(*leader) < leader->m_next_write_at) {
    return;
  }
  leader->m_next_write_at = Now(*leader) + kWriteInterval;
  writer.m_batch = TakeChanges(fleet);
  writer.m_next_job = 0;
  if (writer.m_batch.m_jobs.empty()) {
    return ApplyStoredBatch(fleet, writer.m_batch);
  }
  BuildTransaction(*leader);
  SendTransaction(leader);
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

void RemoveOldProgress(const LeaderPointer& leader) {
  const TimePoint now = Now(*leader);
  if (leader->m_is_removing || now < leader->m_next_removal_at) return;
  leader->m_next_removal_at = now + kRemovalInterval;
  const std::int64_t oldest =
      leader->m_runtime.m_clock.m_unix_ms() - kRetentionSlackMs -
      ToMilliseconds(leader->m_runtime.m_settings.m_state_retention);
  StoreTransaction transaction;
  std::vector<JobKey> removed;
  for (const auto& [key, ended] : leader->m_fleet.m_ended_jobs) {
    if (ended > oldest || removed.size() == kMaximumEntriesPerWrite) continue;
    removed.push_back(key);
    transaction.m_removals.push_back(ProgressItemKey(key));
  }
  if (removed.empty()) return;
  transaction.m_expectations.push_back(ClaimExpectation(*leader));
  leader->m_is_removing = true;
  const std::weak_ptr<Leader> weak = leader;
  leader->m_runtime.m_store.m_commit(
      transaction, [weak, removed](const Result<TransactionResult>& result) {
        const LeaderPointer self = weak.lock();
        if (!self) return;
        self->m_is_removing = false;
        if (!result || !result.assume_value().m_is_applied) return;
        for (const JobKey& key : removed) {
          self->m_fleet.m_ended_jobs.erase(key);
          self->m_progress_revisions.erase(key);
        }
      });
}

}  // namespace daisyarch::fleet
