#pragma once

#include <deque>
#include <optional>
#include <vector>

#include "base/time.h"
#include "decisions/ownership/journal_record.h"

namespace daisyarch {

/// Values of the ring that holds a partition's journal.
constexpr std::size_t kJournalRingSize = 64;
/// A snapshot is due after this many batches.
constexpr std::uint64_t kBatchesPerSnapshot = 32;
/// A batch stays well below the store's limit of 1 MB a value.
constexpr std::size_t kMaximumBatchBytes = 512UL * 1024;
/// Two commits of a partition start at least this far apart under load.
constexpr Duration kMinimumCommitInterval = std::chrono::milliseconds(250);

/// What the writer waits for.
enum class JournalPhase {
  kIdle,
  kWriting,      ///< A compare-and-swap is on its way.
  kReadingBack,  ///< Its answer was lost; a read tells whether it landed.
  kFenced,       ///< Another owner wrote; nothing more may be written.
};

/// Writes records in groups, one compare-and-swap at a time, each on a slot
/// of a ring whose version it knows. The chain of versions fences an owner
/// that was replaced, however late its writes arrive.
struct JournalWriter {
  NodeId m_node;
  Incarnation m_incarnation;
  Epoch m_epoch;
  JournalPhase m_phase = JournalPhase::kIdle;
  SequenceNumber m_next_sequence{1};
  SequenceNumber m_snapshot_through;
  std::vector<StoreVersion> m_slot_versions =
      std::vector<StoreVersion>(kJournalRingSize);
  std::deque<JournalRecord> m_queue;
  JournalBatch m_in_flight;
  TimePoint m_last_write_start{};
};

/// The ring slot of a sequence number.
std::size_t SlotOf(SequenceNumber sequence);

/// One compare-and-swap to send.
struct JournalWrite {
  std::size_t m_slot = 0;
  StoreVersion m_expected;
  JournalBatch m_batch;
};

/// What a read of the slot in flight found.
struct JournalReadBack {
  StoreVersion m_version;
  std::optional<JournalBatch> m_batch;
};

/// What became of the write in flight.
enum class WriteOutcome { kCommitted, kRetry, kFenced };

/// Adds a record; it becomes durable with the next group.
void AppendRecord(JournalWriter& writer, JournalRecord record);

/// The next group to write, if one is due: none while another is in flight,
/// within the interval, or while the ring waits for a snapshot.
std::optional<JournalWrite> StartWrite(JournalWriter& writer, TimePoint now);

/// The write in flight again, unchanged; the same version is expected, so
/// that it cannot land twice.
JournalWrite RepeatWrite(JournalWriter& writer);

/// The store confirmed the write.
void FinishWrite(JournalWriter& writer, StoreVersion version);

/// The write conflicted, or its answer was lost: read the slot back.
void BeginReadBack(JournalWriter& writer);

/// Decides from the slot's content what became of the write.
WriteOutcome FinishReadBack(JournalWriter& writer,
                            const JournalReadBack& found);

/// True when a snapshot through the batch in flight should be taken.
bool IsSnapshotDue(const JournalWriter& writer);

/// Slots through `sequence` may be written over.
void FinishSnapshot(JournalWriter& writer, SequenceNumber sequence);

}  // namespace daisyarch
