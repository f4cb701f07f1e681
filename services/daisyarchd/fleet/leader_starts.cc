#include <algorithm>
#include <cstddef>
#include <iterator>
#include <utility>

#include "fleet/leader.h"
#include "fleet/store_keys.h"
#include "log/log.h"
#include "wire/fleet_fields.h"

namespace daisyarch::fleet {

namespace {

constexpr Duration kWriteRetryDelay = std::chrono::milliseconds(100);
// The next leader holds the tasks of starts that the journal names, so starts
// that are over do not stay there for long.
constexpr Duration kClearingInterval = std::chrono::milliseconds(50);

// While the store is silent, held starts are checked this often.
constexpr Duration kCheckInterval = std::chrono::milliseconds(200);

TimePoint Now(const Leader& leader) { return leader.m_runtime.m_clock.m_now(); }

// Takes the starts back whose tasks or workers have changed, or that are too
// old.
void WithholdOutdated(const LeaderPointer& leader,
                      std::vector<StartOrder>& starts) {
  const TimePoint now = Now(*leader);
  const auto first = std::stable_partition(
      starts.begin(), starts.end(), [&](const StartOrder& start) {
        return IsStartCurrent(leader->m_fleet, start, now);
      });
  const std::vector<StartOrder> outdated(std::make_move_iterator(first),
                                         std::make_move_iterator(starts.end()));
  starts.erase(first, starts.end());
  for (const StartOrder& start : outdated) WithholdStart(leader, start);
}

void TakeWaiting(StartWriter& writer) {
  if (writer.m_waiting.empty()) return;
  const auto end =
      writer.m_waiting.begin() + static_cast<std::ptrdiff_t>(NameWaitingStarts(
                                     writer.m_open, writer.m_waiting));
  writer.m_writing.insert(writer.m_writing.end(),
                          std::make_move_iterator(writer.m_waiting.begin()),
                          std::make_move_iterator(end));
  writer.m_waiting.erase(writer.m_waiting.begin(), end);
}

// Sends the starts that the stored journal names. Some may have to wait for a
// newer listing, and the turn may become long while the others are sent.
void SendNamed(const LeaderPointer& leader) {
  StartWriter& writer = leader->m_start_writer;
  if (writer.m_named.empty()) return;
  std::vector<StartOrder> waiting;
  for (StartOrder& start : std::exchange(writer.m_named, {})) {
    const TimePoint now = Now(*leader);
    if (!IsStartCurrent(leader->m_fleet, start, now)) {
      WithholdStart(leader, start);
    } else if (!MayStartsLeave(*leader)) {
      waiting.push_back(std::move(start));
    } else {
      ++leader->m_load.m_written_starts;
      leader->m_load.m_start_hold += now - start.m_sent_at;
      SendStart(leader, std::move(start));
    }
  }
  writer.m_named = std::move(waiting);
  CallRelays(leader);
}

// Takes over the revisions that a rejected write found. An earlier attempt
// without an answer may have been applied.
void HandleRejection(Leader& leader, const TransactionResult& result) {
  StartWriter& writer = leader.m_start_writer;
  writer.m_revision = StoreRevision();
  bool is_claim_held = false;
  for (const StoredItem& item : result.m_current_items) {
    if (item.m_key == kStartsKey) writer.m_revision = item.m_revision;
    if (item.m_key != kClaimKey) continue;
    is_claim_held = item.m_revision == leader.m_claim.m_revision;
  }
  if (is_claim_held) return;
  leader.m_on_claim_lost(
      "a write found that the store no longer holds this node's claim");
}

void HandleResult(const LeaderPointer& leader,
                  const Result<TransactionResult>& result) {
  StartWriter& writer = leader->m_start_writer;
  writer.m_is_in_flight = false;
  if (!result) {
    LogError("starts_not_stored", result.assume_error());
    writer.m_next_at = Now(*leader) + kWriteRetryDelay;
    writer.m_open.m_is_journal_outdated = true;
  } else if (!result.assume_value().m_is_applied) {
    HandleRejection(*leader, result.assume_value());
    writer.m_open.m_is_journal_outdated = true;
  } else {
    writer.m_revision = result.assume_value().m_revision;
    writer.m_named.insert(writer.m_named.end(),
                          std::make_move_iterator(writer.m_writing.begin()),
                          std::make_move_iterator(writer.m_writing.end()));
    writer.m_writing.clear();
  }
  WriteStarts(leader);
}

bool IsStored(const Leader& leader, BatchNumber batch) {
  const BatchNumber last = leader.m_writer.m_last_batch;
  return batch < last || (batch == last && !leader.m_fleet.m_is_storing);
}

// The outcomes of starts that left together come one soon after the other.
bool IsClearingDue(const StartWriter& writer, TimePoint now) {
  if (!writer.m_open.m_is_journal_outdated) return false;
  if (now < writer.m_next_clearing_at) return false;
  return writer.m_open.m_starts.empty() ||
         now >= writer.m_sent_at + kClearingInterval;
}

void SendJournal(const LeaderPointer& leader) {
  StartWriter& writer = leader->m_start_writer;
  const TimePoint now = Now(*leader);
  const StartJournal journal = JournalOf(leader->m_fleet, writer.m_open, now);
  StoreTransaction transaction;
  // An earlier write that the store applies late must not replace this one.
  transaction.m_expectations = {ClaimExpectation(*leader),
                                {kStartsKey, writer.m_revision}};
  transaction.m_puts = {
      {kStartsKey, WriteCbor(Encode(journal)), StoreLeaseId()}};
  writer.m_is_in_flight = true;
  writer.m_open.m_is_journal_outdated = false;
  writer.m_sent_at = now;
  ++leader->m_load.m_start_writes;
  const std::weak_ptr<Leader> weak = leader;
  leader->m_runtime.m_store.m_commit(
      transaction, [weak](const Result<TransactionResult>& result) {
        const LeaderPointer self = weak.lock();
        if (self) HandleResult(self, result);
      });
}

}  // namespace

void HoldStart(Leader& leader, StartOrder order) {
  AddOpenStart(leader.m_start_writer.m_open, order);
  leader.m_start_writer.m_waiting.push_back(std::move(order));
}

void WriteStarts(const LeaderPointer& leader) {
  StartWriter& writer = leader->m_start_writer;
  SendNamed(leader);
  const TimePoint now = Now(*leader);
  if (now >= writer.m_next_check_at) {
    writer.m_next_check_at = now + kCheckInterval;
    WithholdOutdated(leader, writer.m_waiting);
    WithholdOutdated(leader, writer.m_writing);
  }
  if (writer.m_is_in_flight || now < writer.m_next_at) return;
  if (!IsStored(*leader, writer.m_inherited_batch)) return;
  TakeWaiting(writer);
  if (writer.m_writing.empty()) {
    if (!IsClearingDue(writer, now)) return;
    writer.m_next_clearing_at = now + kClearingInterval;
  }
  SendJournal(leader);
}

void LoadStarts(const LeaderPointer& leader, std::function<void()> on_loaded) {
  const std::weak_ptr<Leader> weak = leader;
  leader->m_runtime.m_store.m_read(
      kStartsKey, ReadFreshness::kCurrent,
      [weak, on_loaded = std::move(on_loaded)](
          const Result<std::optional<StoredItem>>& result) {
        const LeaderPointer self = weak.lock();
        if (!self) return;
        if (!result) {
          return self->m_on_claim_lost("cannot read the start journal");
        }
        const auto& item = result.assume_value();
        if (!item) return on_loaded();
        StartWriter& writer = self->m_start_writer;
        writer.m_revision = item->m_revision;
        const auto journal = DecodeCbor<StartJournal>(
            item->m_value, "read start journal", item->m_key);
        if (!journal) {
          LogError("start_journal_unreadable", journal.assume_error());
        } else if (RestoreJournal(self->m_fleet, journal.assume_value())) {
          writer.m_inherited_batch = Next(self->m_writer.m_last_batch);
        }
        on_loaded();
      });
}

}  // namespace daisyarch::fleet
