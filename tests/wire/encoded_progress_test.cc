#include "wire/encoded_progress.h"

#include <catch2/catch.hpp>

#include "wire/fleet_fields.h"

namespace daisyarch::fleet {

namespace {

JobProgress MakeProgress(std::uint32_t rows) {
  JobProgress progress;
  progress.m_state = JobState::kRunning;
  for (std::uint32_t index = 0; index < rows; ++index) {
    TaskProgress row;
    row.m_step_run = index / 100;
    row.m_index = index % 100;
    row.m_run = RunNumber(index + 1);
    row.m_checkpoint = std::string(index % 3, 'c');
    progress.m_tasks.push_back(row);
  }
  return progress;
}

}  // namespace

// Guards against progress that an earlier or later version of this program
// cannot read.
TEST_CASE("Progress from encoded rows has the bytes of the whole message") {
  for (const std::uint32_t count : {0U, 1U, 23U, 24U, 128U, 255U, 256U, 300U}) {
    INFO(count << " rows");
    const JobProgress progress = MakeProgress(count);
    EncodedRows rows;
    ReplaceRows(rows, progress.m_tasks);
    CHECK(WriteProgress(progress, rows) == WriteCbor(Encode(progress)));
  }
}

TEST_CASE("A changed row replaces the encoded one of its task") {
  JobProgress progress = MakeProgress(5);
  EncodedRows rows;
  ReplaceRows(rows, progress.m_tasks);
  progress.m_tasks[3].m_is_done = true;
  progress.m_tasks[3].m_failed_runs = {RunNumber(2)};
  ReplaceRows(rows, {progress.m_tasks[3]});
  CHECK(rows.size() == 5);
  CHECK(WriteProgress(progress, rows) == WriteCbor(Encode(progress)));
}

TEST_CASE("An encoded row has the bytes of the whole message's row") {
  const std::int64_t times[] = {
      0, 1, 23, 24, 255, 256, 65535, 65536, 1780000000000, -1, -24, -25, -300};
  const std::size_t lengths[] = {0, 1, 23, 24, 255, 256, 70000};
  for (const std::int64_t time : times) {
    for (const std::size_t length : lengths) {
      INFO("time " << time << ", length " << length);
      TaskProgress row;
      row.m_step_run = static_cast<std::uint32_t>(length);
      row.m_index = 4294967295U;
      row.m_is_done = length % 2 == 0;
      row.m_failed_runs.assign(length % 300, RunNumber(length));
      row.m_crashed_runs = {RunNumber(18446744073709551615U)};
      row.m_doubtful_runs.assign(length % 2, RunNumber(24));
      row.m_run = RunNumber(1048577);
      row.m_checkpoint = std::string(length, 'c');
      row.m_late_start_until_unix_ms = time;
      row.m_late_start_worker = WorkerId(std::string(length % 30, 'w'));
      row.m_late_start_clock = {Incarnation(length), WorkerMilliseconds(time),
                                WorkerMilliseconds(-time)};
      row.m_late_start_term = Term(length);
      EncodedRows rows;
      ReplaceRows(rows, {row});
      CHECK((rows.begin()->second == WriteCbor(Encode(row))));
    }
  }
}

TEST_CASE("The header of a CBOR list or map has the shortest form") {
  for (const std::size_t count : {0U, 23U, 24U, 255U, 256U, 65535U, 65536U}) {
    INFO(count << " elements");
    const std::string elements = WriteCbor(Json(std::vector<int>(count, 0)));
    const std::string header = WriteCborArrayHeader(count);
    CHECK(elements.substr(0, header.size()) == header);
    CHECK(elements.size() == header.size() + count);
  }
  CHECK(WriteCborMapHeader(0) == WriteCbor(Json::object()));
}

}  // namespace daisyarch::fleet
