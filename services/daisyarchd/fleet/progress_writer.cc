#include <algorithm>
#include <numeric>
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
// The progress in one transaction, and in one value of it. The store's limit of
// a value is 1 MiB, but the call also has to end in time on a link of 2 Mbit/s.
constexpr std::size_t kMaximumProgressBytes = 128UL * 1024;
// On a busy loop an answer is handled only turns later, so a batch that waits
// for answers before it sends on takes the longer the more has changed. Each
// transaction in flight has a connection, and all of them share the link.
constexpr std::size_t kMaximumOpenTransactions = 64;
constexpr std::size_t kMaximumOpenBytes = 1024UL * 1024;

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

// Returns the value without the longest checkpoints, so that it fits.
std::string RemoveCheckpoints(const JobChange& change,
                              const std::string& value) {
  auto decoded =
      DecodeCbor<JobProgress>(value, "shorten progress", change.m_key.value());
  if (!decoded) return value;
  JobProgress& progress = decoded.assume_value();
  const std::size_t excess = value.size() - kMaximumProgressBytes;
  std::size_t checkpoints = 0;
  for (const TaskProgress& task : progress.m_tasks) {
    checkpoints += task.m_checkpoint.size();
  }
  const std::size_t removed =
      RemoveLongCheckpoints(progress, std::max(checkpoints, excess) - excess);
  LogEvent(LogLevel::kWarning, "checkpoints_not_stored",
           {{"job", change.m_key.value()},
            {"part", change.m_part.value()},
            {"count", std::uint64_t{removed}},
            {"value_bytes", std::uint64_t{value.size()}},
            {"maximum_bytes", std::uint64_t{kMaximumProgressBytes}}});
  return WriteCbor(Encode(progress));
}

// Returns the value that stores the change.
std::string ValueOf(Leader& leader, JobChange& change) {
  if (change.m_has_ended) {
    if (change.m_progress.m_ended_unix_ms == 0) {
      change.m_progress.m_ended_unix_ms = leader.m_runtime.m_clock.m_unix_ms();
    }
    EncodedRows late_starts;
    ReplaceRows(late_starts, change.m_progress.m_tasks);
    return WriteProgress(change.m_progress, late_starts);
  }
  const EncodedRows& rows =
      leader.m_encoded_rows[ProgressPartKey(change.m_key, change.m_part)];
  leader.m_load.m_written_rows += rows.size();
  std::string value = WriteProgress(change.m_progress, rows);
  if (value.size() <= kMaximumProgressBytes) return value;
  return RemoveCheckpoints(change, value);
}

// Each write expects the revision of the progress that it replaces, so that a
// write which the store applies late cannot overwrite a newer one.
void AddChange(Leader& leader, const JobChange& change, std::string value,
               StoreTransaction& transaction) {
  const std::string key = ProgressPartKey(change.m_key, change.m_part);
  leader.m_load.m_written_bytes += value.size();
  transaction.m_expectations.push_back({key, ProgressRevision(leader, key)});
  transaction.m_puts.push_back({key, std::move(value), StoreLeaseId()});
  if (!change.m_has_ended) return;
  transaction.m_removals.push_back(JobItemKey(change.m_key));
  if (leader.m_cancelled_jobs.count(change.m_key) > 0) {
    transaction.m_removals.push_back(CancelItemKey(change.m_key));
  }
}

bool FollowsOpenParts(const BatchWriter& writer, std::size_t index) {
  return writer.m_batch.m_changes[index].m_moves_rows && !writer.m_open.empty();
}

std::size_t CountOpenBytes(const BatchWriter& writer) {
  return std::accumulate(writer.m_open.begin(), writer.m_open.end(),
                         std::size_t{0},
                         [](std::size_t sum, const auto& entry) {
                           return sum + entry.second.m_value_bytes;
                         });
}

bool MaySendNext(const BatchWriter& writer) {
  return writer.m_next_change < writer.m_batch.m_changes.size() &&
         writer.m_open.size() < kMaximumOpenTransactions &&
         CountOpenBytes(writer) < kMaximumOpenBytes &&
         !FollowsOpenParts(writer, writer.m_next_change);
}

// Fills the transaction with the changes of its range.
void FillTransaction(Leader& leader, ProgressTransaction& open) {
  open.m_transaction = {};
  open.m_transaction.m_expectations.push_back(ClaimExpectation(leader));
  for (std::size_t index = open.m_begin; index < open.m_end; ++index) {
    JobChange& change = leader.m_writer.m_batch.m_changes[index];
    AddChange(leader, change, ValueOf(leader, change), open.m_transaction);
  }
}

// Returns a transaction of as many of the next changes as it may hold.
ProgressTransaction MakeTransaction(Leader& leader) {
  BatchWriter& writer = leader.m_writer;
  std::vector<JobChange>& changes = writer.m_batch.m_changes;
  ProgressTransaction open;
  open.m_begin = open.m_end = writer.m_next_change;
  open.m_transaction.m_expectations.push_back(ClaimExpectation(leader));
  std::size_t entries = 1;
  std::size_t bytes = 0;
  for (; open.m_end < changes.size(); ++open.m_end) {
    JobChange& change = changes[open.m_end];
    std::string value = ValueOf(leader, change);
    entries += CountEntries(leader, change);
    bytes += value.size();
    const bool is_full = entries > kMaximumTransactionEntries ||
                         bytes > kMaximumProgressBytes ||
                         FollowsOpenParts(writer, open.m_end);
    if (is_full && open.m_end > open.m_begin) break;
    open.m_value_bytes += value.size();
    AddChange(leader, change, std::move(value), open.m_transaction);
  }
  return open;
}

// Returns the range of a map by key that holds the job's parts but part 0.
template <typename Value>
auto LaterParts(std::map<std::string, Value>& items, const JobKey& key) {
  const std::string first = ProgressItemKey(key);
  // '0' is the character after '/'.
  return std::make_pair(items.lower_bound(first + "/"),
                        items.lower_bound(first + "0"));
}

// Lists the stored parts of an ended job for removal.
void ListObsoleteParts(Leader& leader, const JobKey& key) {
  const auto [begin, end] = LaterParts(leader.m_progress_revisions, key);
  for (auto next = begin; next != end; ++next) {
    leader.m_obsolete_parts.insert(next->first);
  }
}

void ForgetRows(Leader& leader, const JobKey& key) {
  const auto [begin, end] = LaterParts(leader.m_encoded_rows, key);
  leader.m_encoded_rows.erase(begin, end);
  leader.m_encoded_rows.erase(ProgressItemKey(key));
}

void RecordJobEnd(Leader& leader, const JobChange& change) {
  if (!change.m_has_ended) return;
  leader.m_fleet.m_ended_jobs[change.m_key] = change.m_progress.m_ended_unix_ms;
  leader.m_cancelled_jobs.erase(change.m_key);
  ListObsoleteParts(leader, change.m_key);
  ForgetRows(leader, change.m_key);
  LogEvent(LogLevel::kInfo, "job_ended",
           {{"job", change.m_key.value()},
            {"state", EnumNames<JobState>::kNames[static_cast<std::size_t>(
                          change.m_progress.m_state)]},
            {"term", leader.m_claim.m_term.value()}});
}

void FinishTransaction(Leader& leader, const ProgressTransaction& open,
                       StoreRevision revision) {
  for (std::size_t index = open.m_begin; index < open.m_end; ++index) {
    const JobChange& change = leader.m_writer.m_batch.m_changes[index];
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
bool FindOwnWrite(const StoreTransaction& transaction,
                  const TransactionResult& result, StoreRevision& revision) {
  const auto& puts = transaction.m_puts;
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
void UpdateProgressRevisions(Leader& leader,
                             const StoreTransaction& transaction,
                             const TransactionResult& result) {
  for (const StoreExpectation& row : transaction.m_expectations) {
    if (row.m_key == kClaimKey) continue;
    leader.m_progress_revisions.erase(row.m_key);
  }
  for (const StoredItem& item : result.m_current_items) {
    if (item.m_key == kClaimKey) continue;
    leader.m_progress_revisions[item.m_key] = item.m_revision;
  }
}

// Leaves a rejected change to a later batch, so that it does not hold up the
// others. The ends that it tells of are not known, so none is acknowledged.
void SetChangeAside(Leader& leader, JobChange& change) {
  LogEvent(LogLevel::kError, "progress_rejected",
           {{"job", change.m_key.value()},
            {"part", change.m_part.value()},
            {"term", leader.m_claim.m_term.value()}});
  change.m_has_ended = false;
  leader.m_writer.m_batch.m_ends.clear();
  leader.m_writer.m_is_incomplete = true;
  leader.m_next_write_at = Now(leader) + kRejectedWriteDelay;
  Job* job = FindJob(leader.m_fleet, change.m_key);
  if (job == nullptr) return;
  job->m_changed_parts[change.m_part];
  leader.m_fleet.m_changed_jobs.insert(change.m_key);
}

// A store that rejects a transaction rejects it again. Its changes are sent one
// by one, which shows the one at fault.
void DivideTransaction(Leader& leader, ProgressTransaction& open) {
  BatchWriter& writer = leader.m_writer;
  const std::size_t begin = open.m_begin;
  const std::size_t end = open.m_end;
  for (std::size_t index = begin; index < end; ++index) {
    ProgressTransaction& single = writer.m_open[index];
    single.m_begin = index;
    single.m_end = index + 1;
    single.m_retry_at = Now(leader) + kWriteRetryDelay;
    FillTransaction(leader, single);
  }
}

// Only the first of several errors in a row is logged.
void RecordWriteError(Leader& leader, const Error& error) {
  leader.m_runtime.m_metrics->IncrementCounter(
      "daisyarch_progress_write_errors_total", "");
  if (!leader.m_writer.m_is_failing) LogError("progress_not_stored", error);
  leader.m_writer.m_is_failing = true;
}

// Returns whether the transaction is over.
bool HandleWriteError(Leader& leader, ProgressTransaction& open,
                      const Error& error) {
  RecordWriteError(leader, error);
  open.m_retry_at = Now(leader) + kWriteRetryDelay;
  if (error.m_code != ErrorCode::kInvalidArgument) return false;
  if (open.m_end - open.m_begin > 1) {
    DivideTransaction(leader, open);
    return false;
  }
  SetChangeAside(leader, leader.m_writer.m_batch.m_changes[open.m_begin]);
  return true;
}

// Returns whether the transaction is over.
bool HandleAnswer(const LeaderPointer& leader, ProgressTransaction& open,
                  const TransactionResult& outcome) {
  leader->m_writer.m_is_failing = false;
  StoreRevision revision = outcome.m_revision;
  if (!outcome.m_is_applied) {
    if (!IsClaimHeld(*leader, outcome)) {
      leader->m_on_claim_lost(
          "a write found that the store no longer holds this node's claim");
      return false;
    }
    if (!FindOwnWrite(open.m_transaction, outcome, revision)) {
      UpdateProgressRevisions(*leader, open.m_transaction, outcome);
      FillTransaction(*leader, open);
      open.m_retry_at = Now(*leader) + kWriteRetryDelay;
      return false;
    }
  }
  FinishTransaction(*leader, open, revision);
  return true;
}

void ContinueBatch(const LeaderPointer& leader);

void HandleTransactionResult(const LeaderPointer& leader, std::size_t begin,
                             const Result<TransactionResult>& result) {
  const TimePoint began_at = Now(*leader);
  auto& transactions = leader->m_writer.m_open;
  ProgressTransaction& open = transactions.at(begin);
  open.m_is_in_flight = false;
  const bool is_over =
      result ? HandleAnswer(leader, open, result.assume_value())
             : HandleWriteError(*leader, open, result.assume_error());
  if (is_over) {
    transactions.erase(begin);
    ContinueBatch(leader);
  }
  leader->m_load.m_write_time += Now(*leader) - began_at;
}

void SendTransaction(const LeaderPointer& leader, ProgressTransaction& open) {
  open.m_is_in_flight = true;
  const std::weak_ptr<Leader> weak = leader;
  leader->m_runtime.m_store.m_commit(
      open.m_transaction,
      [weak, begin = open.m_begin](const Result<TransactionResult>& result) {
        const LeaderPointer self = weak.lock();
        if (self) HandleTransactionResult(self, begin, result);
      });
}

// Sends the next transactions of the batch, or completes it. Their keys differ,
// so they may be applied in any order.
void ContinueBatch(const LeaderPointer& leader) {
  BatchWriter& writer = leader->m_writer;
  while (MaySendNext(writer)) {
    ProgressTransaction next = MakeTransaction(*leader);
    writer.m_next_change = next.m_end;
    ProgressTransaction& open = writer.m_open[next.m_begin];
    open = std::move(next);
    SendTransaction(leader, open);
  }
  if (!writer.m_open.empty()) return;
  ++leader->m_load.m_batches;
  leader->m_load.m_longest_batch = std::max(leader->m_load.m_longest_batch,
                                            Now(*leader) - writer.m_began_at);
  ApplyStoredBatch(leader->m_fleet, writer.m_batch);
  if (!writer.m_is_incomplete) {
    ForgetStoredStarts(leader->m_start_writer.m_open, writer.m_last_batch);
  }
  writer.m_batch = {};
  RequestSchedulingPass(leader);
}

// Takes the changes of the fleet and begins to store them.
void BeginBatch(const LeaderPointer& leader) {
  BatchWriter& writer = leader->m_writer;
  writer.m_batch = TakeChanges(leader->m_fleet);
  writer.m_last_batch = Next(writer.m_last_batch);
  writer.m_is_incomplete = false;
  writer.m_next_change = 0;
  writer.m_began_at = Now(*leader);
  for (const JobChange& change : writer.m_batch.m_changes) {
    if (change.m_has_ended) continue;
    const auto& changed = change.m_progress.m_tasks;
    leader->m_load.m_encoded_rows += changed.size();
    ReplaceRows(
        leader->m_encoded_rows[ProgressPartKey(change.m_key, change.m_part)],
        changed);
  }
  if (writer.m_batch.m_changes.empty()) {
    return ApplyStoredBatch(leader->m_fleet, writer.m_batch);
  }
  ContinueBatch(leader);
}

void RetryTransactions(const LeaderPointer& leader) {
  for (auto& [begin, open] : leader->m_writer.m_open) {
    if (open.m_is_in_flight || Now(*leader) < open.m_retry_at) continue;
    SendTransaction(leader, open);
  }
}

}  // namespace

void WriteChanges(const LeaderPointer& leader) {
  const Fleet& fleet = leader->m_fleet;
  if (fleet.m_is_storing) return RetryTransactions(leader);
  if (fleet.m_changed_jobs.empty() &&
      fleet.m_worker_index.m_unstored_ends.empty()) {
    return;
  }
  if (!fleet.m_has_urgent_change && Now(*leader) < leader->m_next_write_at) {
    return;
  }
  const TimePoint began_at = Now(*leader);
  leader->m_next_write_at = began_at + kWriteInterval;
  BeginBatch(leader);
  leader->m_load.m_write_time += Now(*leader) - began_at;
}

}  // namespace daisyarch::fleet
