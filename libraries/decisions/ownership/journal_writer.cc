#include "decisions/ownership/journal_writer.h"

#include <algorithm>
#include <utility>

namespace daisyarch {

namespace {

bool IsRingFull(const JournalWriter& writer) {
  return writer.m_next_sequence.value() - writer.m_snapshot_through.value() >
         kJournalRingSize;
}

std::vector<JournalRecord> TakeGroup(std::deque<JournalRecord>& queue) {
  std::vector<JournalRecord> group;
  std::size_t bytes = 0;
  while (!queue.empty()) {
    bytes += EstimateSize(queue.front());
    if (!group.empty() && bytes > kMaximumBatchBytes) break;
    group.push_back(std::move(queue.front()));
    queue.pop_front();
  }
  return group;
}

}  // namespace

std::size_t SlotOf(SequenceNumber sequence) {
  return sequence.value() % kJournalRingSize;
}

void AppendRecord(JournalWriter& writer, JournalRecord record) {
  writer.m_queue.push_back(std::move(record));
}

std::optional<JournalWrite> StartWrite(JournalWriter& writer, TimePoint now) {
  if (writer.m_phase != JournalPhase::kIdle) return std::nullopt;
  if (writer.m_queue.empty()) return std::nullopt;
  if (IsRingFull(writer)) return std::nullopt;
  if (now < writer.m_last_write_start + kMinimumCommitInterval)
    return std::nullopt;
  writer.m_in_flight.m_sequence = writer.m_next_sequence;
  writer.m_in_flight.m_epoch = writer.m_epoch;
  writer.m_in_flight.m_writer = writer.m_node;
  writer.m_in_flight.m_incarnation = writer.m_incarnation;
  writer.m_in_flight.m_records = TakeGroup(writer.m_queue);
  writer.m_last_write_start = now;
  return RepeatWrite(writer);
}

JournalWrite RepeatWrite(JournalWriter& writer) {
  writer.m_phase = JournalPhase::kWriting;
  const std::size_t slot = SlotOf(writer.m_in_flight.m_sequence);
  return JournalWrite{slot, writer.m_slot_versions[slot], writer.m_in_flight};
}

void FinishWrite(JournalWriter& writer, StoreVersion version) {
  writer.m_slot_versions[SlotOf(writer.m_next_sequence)] = version;
  writer.m_next_sequence = Next(writer.m_next_sequence);
  writer.m_phase = JournalPhase::kIdle;
}

void BeginReadBack(JournalWriter& writer) {
  writer.m_phase = JournalPhase::kReadingBack;
}

WriteOutcome FinishReadBack(JournalWriter& writer,
                            const JournalReadBack& found) {
  if (found.m_batch && IsSameBatch(*found.m_batch, writer.m_in_flight)) {
    FinishWrite(writer, found.m_version);
    return WriteOutcome::kCommitted;
  }
  const std::size_t slot = SlotOf(writer.m_in_flight.m_sequence);
  // The write has not taken effect yet. If it still does later, the repeated
  // write conflicts and the next read finds it.
  if (found.m_version == writer.m_slot_versions[slot])
    return WriteOutcome::kRetry;
  writer.m_phase = JournalPhase::kFenced;
  return WriteOutcome::kFenced;
}

bool IsSnapshotDue(const JournalWriter& writer) {
  const std::uint64_t behind = writer.m_in_flight.m_sequence.value() -
                               std::min(writer.m_snapshot_through.value(),
                                        writer.m_in_flight.m_sequence.value());
  return behind >= kBatchesPerSnapshot && writer.m_queue.empty();
}

void FinishSnapshot(JournalWriter& writer, SequenceNumber sequence) {
  writer.m_snapshot_through = std::max(writer.m_snapshot_through, sequence);
}

}  // namespace daisyarch
