#pragma once

#include <deque>
#include <optional>
#include <vector>

#include "base/time.h"
#include "decisions/ownership/journal_record.h"

namespace daisyarch {

/// Number of values in the ring that holds a partition's journal.
constexpr std::size_t kJournalRingSize = 64;
/// A snapshot is due after this many batches.
constexpr std::uint64_t kBatchesPerSnapshot = 32;
/// Limit on the estimated size of a batch, well below the store's limit of 1 MB
/// per value.
constexpr std::size_t kMaximumBatchBytes = 512UL * 1024;
/// Minimum time between the starts of two commits of a partition.
constexpr Duration kMinimumCommitInterval = std::chrono::milliseconds(250);

/// What the writer is doing.
enum class JournalPhase {
  kIdle,
  kWriting,      ///< A compare-and-swap is in flight.
  kReadingBack,  ///< Its outcome is open until the slot has been read back.
  kFenced,       ///< Another owner has written; no more writes may follow.
};

/// Writes records in groups, one compare-and-swap at a time. Each write expects
/// the version that the writer knows for its ring slot, which fences a replaced
/// owner no matter how late its writes arrive.
struct JournalWriter {
  NodeId m_node;
  Incarnation m_incarnation;
  Epoch m_epoch;
  JournalPhase m_phase = JournalPhase::kIdle;
  SequenceNumber m_next_sequence{1};
  SequenceNumber m_snapshot_through;  ///< The last batch in the snapshot.
  std::vector<StoreVersion> m_slot_versions =
      std::vector<StoreVersion>(kJournalRingSize);
  std::deque<JournalRecord> m_queue;
  JournalBatch m_in_flight;
  TimePoint m_last_write_start{};
};

/// Returns the ring slot of a sequence number.
std::size_t SlotOf(SequenceNumber sequence);

/// One compare-and-swap to send.
struct JournalWrite {
  std::size_t m_slot = 0;
  StoreVersion m_expected;
  JournalBatch m_batch;
};

/// The content of the slot of the write in flight, as read back.
struct JournalReadBack {
  StoreVersion m_version;
  std::optional<JournalBatch> m_batch;
};

/// The outcome of the write in flight.
enum class WriteOutcome { kCommitted, kRetry, kFenced };

/// Queues a record for one of the next groups.
void AppendRecord(JournalWriter& writer, JournalRecord record);

/// Returns the next group to write. Returns nothing while no record is queued,
/// a write is in flight, the writer is fenced, the last write started less than
/// kMinimumCommitInterval ago, or the ring is full until the next snapshot.
std::optional<JournalWrite> StartWrite(JournalWriter& writer, TimePoint now);

/// Returns the write in flight again, unchanged. It expects the same version,
/// so it cannot take effect twice.
JournalWrite RepeatWrite(JournalWriter& writer);

/// Completes a write that the store confirmed with its new version.
void FinishWrite(JournalWriter& writer, StoreVersion version);

/// Marks the outcome of the write as open after a conflict or a lost answer;
/// the slot has to be read back.
void BeginReadBack(JournalWriter& writer);

/// Determines the outcome of the write from the content of its slot.
WriteOutcome FinishReadBack(JournalWriter& writer,
                            const JournalReadBack& found);

/// Returns true when a snapshot through the batch in flight should be taken.
bool IsSnapshotDue(const JournalWriter& writer);

/// Completes a snapshot: the slots of batches up to `sequence` may be
/// overwritten.
void FinishSnapshot(JournalWriter& writer, SequenceNumber sequence);

}  // namespace daisyarch
