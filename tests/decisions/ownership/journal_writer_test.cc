#include "decisions/ownership/journal_writer.h"

#include <catch2/catch.hpp>

namespace daisyarch {

namespace {

constexpr TimePoint kStart{std::chrono::seconds(1)};

JournalWriter MakeWriter(const std::string& node, std::uint64_t epoch) {
  JournalWriter writer;
  writer.m_node = NodeId(node);
  writer.m_incarnation = Incarnation(1);
  writer.m_epoch = Epoch(epoch);
  return writer;
}

void Append(JournalWriter& writer) {
  AppendRecord(writer, JobCancelled{JobId(1)});
}

}  // namespace

TEST_CASE("Records queued within the commit interval share one write") {
  JournalWriter writer = MakeWriter("a", 1);
  Append(writer);
  REQUIRE(StartWrite(writer, kStart));
  for (int index = 0; index < 100; ++index) Append(writer);
  CHECK(!StartWrite(writer, kStart));
  FinishWrite(writer, StoreVersion(7));
  CHECK(!StartWrite(writer, kStart + kMinimumCommitInterval / 2));
  const auto second = StartWrite(writer, kStart + kMinimumCommitInterval);
  REQUIRE(second);
  CHECK(second->m_batch.m_records.size() == 100);
  CHECK(second->m_batch.m_sequence == SequenceNumber(2));
}

TEST_CASE("A write whose answer was lost is found, repeated or fenced") {
  JournalWriter writer = MakeWriter("a", 1);
  Append(writer);
  const auto write = StartWrite(writer, kStart);
  REQUIRE(write);
  SECTION("the write took effect") {
    BeginReadBack(writer);
    CHECK(FinishReadBack(writer, {StoreVersion(9), write->m_batch}) ==
          WriteOutcome::kCommitted);
    CHECK(writer.m_next_sequence == SequenceNumber(2));
  }
  SECTION("no effect yet: the repeated write expects the same version") {
    BeginReadBack(writer);
    CHECK(FinishReadBack(writer, {StoreVersion(), std::nullopt}) ==
          WriteOutcome::kRetry);
    const JournalWrite again = RepeatWrite(writer);
    CHECK(again.m_expected == write->m_expected);
    CHECK(IsSameBatch(again.m_batch, write->m_batch));
  }
  SECTION("another owner has written to the slot") {
    JournalBatch other = write->m_batch;
    other.m_epoch = Epoch(2);
    other.m_writer = NodeId("b");
    BeginReadBack(writer);
    CHECK(FinishReadBack(writer, {StoreVersion(9), other}) ==
          WriteOutcome::kFenced);
    Append(writer);
    CHECK(!StartWrite(writer, kStart + std::chrono::hours(1)));
  }
}

TEST_CASE("A journal slot is not overwritten before a snapshot covers it") {
  JournalWriter writer = MakeWriter("a", 1);
  TimePoint now = kStart;
  for (std::size_t index = 0; index < kJournalRingSize; ++index) {
    Append(writer);
    REQUIRE(StartWrite(writer, now));
    FinishWrite(writer, StoreVersion(index + 1));
    now += kMinimumCommitInterval;
  }
  Append(writer);
  CHECK(!StartWrite(writer, now));
  FinishSnapshot(writer, SequenceNumber(1));
  const auto write = StartWrite(writer, now);
  REQUIRE(write);
  CHECK(write->m_slot == SlotOf(SequenceNumber(1)));
  CHECK(write->m_expected == StoreVersion(1));
}

}  // namespace daisyarch
