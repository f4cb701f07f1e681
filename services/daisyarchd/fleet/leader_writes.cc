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
constexpr Duration kRejectedWriteDelay = std::chrono::seconds(1);
constexpr Duration kPendingInterval = std::chrono::milliseconds(1000);
constexpr Duration kRemovalInterval = std::chrono::seconds(5);
// Progress is kept this much longer than the retention period, because a
// request may still be repeated after it.
constexpr std::int64_t kRetentionSlackMs = 30000;
constexpr std::size_t kMaximumEntriesPerWrite = 30;
// The progress in one transaction, and in one value of it. The store's limit of
// a value is 1 MiB, but the call also has to end in time on a link of 2 Mbit/s.
constexpr std::size_t kMaximumProgressBytes = 128UL * 1024;
constexpr Duration kPartRemovalInterval = std::chrono::milliseconds(200);

TimePoint Now(const Leader& leader) { return leader.m_runtime.m_clock.m_now(); }

StoreRevision ProgressRevision(const Leader& leader, const std::string& key) {
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

// Returns the progress encoded for one value of the store, without the
// checkpoints that do not fit.
std::string EncodeProgress(JobChange& change) {
  std::string value = WriteCbor(Encode(change.m_progress));
  if (value.size() <= kMaximumProgressBytes) return value;
  const std::size_t excess = value.size() - kMaximumProgressBytes;
  std::size_t checkpoints = 0;
  for (const TaskProgress& task : change.m_progress.m_tasks) {
    checkpoints += task.m_checkpoint.size();
  }
  const std::size_t removed = RemoveLongCheckpoints(
      change.m_progress, std::max(checkpoints, excess) - excess);
  LogEvent(LogLevel::kWarning, "checkpoints_not_stored",
           {{"job", change.m_key.value()},
            {"part", change.m_part.value()},
            {"count", std::uint64_t{removed}},
            {"value_bytes", std::uint64_t{value.size()}},
            {"maximum_bytes", std::uint64_t{kMaximumProgressBytes}}});
  return WriteCbor(Encode(change.m_progress));
}

// Each write expects the revision of the progress that it replaces, so that a
// write which the store applies late cannot overwrite a newer one.
void AddChange(Leader& leader, JobChange& change, std::string value,
               StoreTransaction& transaction) {
  const std::string key = ProgressPartKey(change.m_key, change.m_part);
  transaction.m_expectations.push_back({key, ProgressRevision(leader, key)});
  transaction.m_puts.push_back({key, std::move(value), StoreLeaseId()});
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
  std::size_t bytes = 0;
  writer.m_transaction_end = writer.m_next_change;
  while (writer.m_transaction_end < writer.m_batch.m_changes.size()) {
    JobChange& change = writer.m_batch.m_changes[writer.m_transaction_end];
    if (change.m_has_ended && change.m_progress.m_ended_unix_ms == 0) {
      change.m_progress.m_ended_unix_ms = leader.m_runtime.m_clock.m_unix_ms();
    }
    std::string value = EncodeProgress(change);
    entries += CountEntries(leader, change);
    bytes += value.size();
    const bool is_first = writer.m_transaction_end == writer.m_next_change;
    const bool is_full = entries > kMaximumTransactionEntries ||
                         bytes > kMaximumProgressBytes || writer.m_is_isolating;
    if (is_full && !is_first) break;
    AddChange(leader, change, std::move(value), writer.m_transaction);
    ++writer.m_transaction_end;
  }
}

// Lists the stored parts of an ended job for removal.
void ListObsoleteParts(Leader& leader, const JobKey& key) {
  auto& revisions = leader.m_progress_revisions;
  const std::string prefix = ProgressItemKey(key) + "/";
  for (auto next = revisions.lower_bound(prefix);
       next != revisions.end() &&
       next->first.compare(0, prefix.size(), prefix) == 0;
       ++next) {
    leader.m_obsolete_parts.insert(next->first);
  }
}

void RecordJobEnd(Leader& leader, const JobChange& change) {
  if (!change.m_has_ended) return;
  leader.m_fleet.m_ended_jobs[change.m_key] = change.m_progress.m_ended_unix_ms;
  leader.m_cancelled_jobs.erase(change.m_key);
  ListObsoleteParts(leader, change.m_key);
  LogEvent(LogLevel::kInfo, "job_ended",
           {{"job", change.m_key.value()},
            {"state", EnumNames<JobState>::kNames[static_cast<std::size_t>(
                          change.m_progress.m_state)]},
            {"term", leader.m_claim.m_term.value()}});
}

void FinishTransaction(Leader& leader, StoreRevision revision) {
  BatchWriter& writer = leader.m_writer;
  for (; writer.m_next_change < writer.m_transaction_end;
       ++writer.m_next_change) {
    const JobChange& change = writer.m_batch.m_changes[writer.m_next_change];
    leader.m_progress_revisions[ProgressPartKey(change.m_key, change.m_part)] =
        revision;
    RecordJobEnd(leader, change);
  }
}

bool HoldsPut(const std::vector<StoredItem>& items, const StorePut& put,
              StoreRevision& revision) {
  for (const StoredItem& item : items) {
    if (item.m_key != put.m_key || item.m_value != put.m_value) continue;
    revision = item.m_revision;
    return true;
  }
  return false;
}

// Returns true, and sets `revision`, if an earlier attempt of this transaction
// that had no answer took effect. One equal value may be older.
bool FindOwnWrite(const Leader& leader, const TransactionResult& result,
                  StoreRevision& revision) {
  const auto& puts = leader.m_writer.m_transaction.m_puts;
  return std::all_of(puts.begin(), puts.end(), [&](const StorePut& put) {
    return HoldsPut(result.m_current_items, put, revision);
  });
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
    leader.m_progress_revisions.erase(row.m_key);
  }
  for (const StoredItem& item : result.m_current_items) {
    if (item.m_key == kClaimKey) continue;
    leader.m_progress_revisions[item.m_key] = item.m_revision;
  }
}

void SendTransaction(const LeaderPointer& leader);

// Sends the next transaction of the batch, or completes it.
void ContinueBatch(const LeaderPointer& leader) {
  BatchWriter& writer = leader->m_writer;
  if (writer.m_next_change < writer.m_batch.m_changes.size()) {
    BuildTransaction(*leader);
    return SendTransaction(leader);
  }
  ApplyStoredBatch(leader->m_fleet, writer.m_batch);
  writer.m_batch = {};
  writer.m_is_isolating = false;
  RequestSchedulingPass(leader);
}

// Leaves a rejected change to a later batch, so that it does not hold up the
// others. The ends that it tells of are not known, so none is acknowledged.
void SetChangeAside(Leader& leader) {
  BatchWriter& writer = leader.m_writer;
  JobChange& change = writer.m_batch.m_changes[writer.m_next_change++];
  LogEvent(LogLevel::kError, "progress_rejected",
           {{"job", change.m_key.value()},
            {"part", change.m_part.value()},
            {"term", leader.m_claim.m_term.value()}});
  change.m_has_ended = false;
  writer.m_batch.m_ends.clear();
  leader.m_next_write_at = Now(leader) + kRejectedWriteDelay;
  Job* job = FindJob(leader.m_fleet, change.m_key);
  if (job == nullptr) return;
  job->m_changed_parts.insert(change.m_part);
  leader.m_fleet.m_changed_jobs.insert(change.m_key);
}

// Only the first of several errors in a row is logged. A store that rejects a
// transaction rejects it again, so its changes are then sent one by one, which
// shows the one at fault.
void HandleWriteError(const LeaderPointer& leader, const Error& error) {
  BatchWriter& writer = leader->m_writer;
  writer.m_retry_at = Now(*leader) + kWriteRetryDelay;
  leader->m_runtime.m_metrics->IncrementCounter(
      "daisyarch_progress_write_errors_total", "");
  if (!writer.m_is_failing) LogError("progress_not_stored", error);
  writer.m_is_failing = true;
  if (error.m_code != ErrorCode::kInvalidArgument) return;
  if (writer.m_is_isolating) {
    SetChangeAside(*leader);
    return ContinueBatch(leader);
  }
  writer.m_is_isolating = true;
  BuildTransaction(*leader);
}

void HandleTransactionResult(const LeaderPointer& leader,
                             const Result<TransactionResult>& result) {
  BatchWriter& writer = leader->m_writer;
  writer.m_is_commit_in_flight = false;
  if (!result) return HandleWriteError(leader, result.assume_error());
  writer.m_is_failing = false;
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
  ContinueBatch(leader);
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
  writer.m_next_change = 0;
  if (writer.m_batch.m_changes.empty()) {
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
