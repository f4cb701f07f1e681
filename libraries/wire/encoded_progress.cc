#include "wire/encoded_progress.h"

#include <numeric>

#include "wire/cbor_writer.h"
#include "wire/fleet_fields.h"

namespace daisyarch::fleet {

namespace {

constexpr const char* kRowsField = "tasks";
constexpr std::size_t kUsualHeadBytes = 64;

std::string WriteRow(const TaskProgress& row) {
  CborWriter writer;
  // See FieldWriter: the writer only reads the fields.
  VisitFields(writer, const_cast<TaskProgress&>(row));
  return writer.Take();
}

std::size_t CountBytes(const EncodedRows& rows) {
  return std::accumulate(
      rows.begin(), rows.end(), std::size_t{0},
      [](std::size_t sum, const auto& row) { return sum + row.second.size(); });
}

void AppendRows(const EncodedRows& rows, std::string& value) {
  value += WriteCborArrayHeader(rows.size());
  for (const auto& [task, row] : rows) value += row;
}

}  // namespace

void ReplaceRows(EncodedRows& rows, const std::vector<TaskProgress>& changed) {
  for (const TaskProgress& row : changed) {
    rows[{row.m_step_run, row.m_index}] = WriteRow(row);
  }
}

std::string WriteProgress(const JobProgress& progress,
                          const EncodedRows& rows) {
  JobProgress head;
  head.m_state = progress.m_state;
  head.m_ended_unix_ms = progress.m_ended_unix_ms;
  const Json fields = Encode(head);
  std::string value = WriteCborMapHeader(fields.size());
  value.reserve(kUsualHeadBytes + CountBytes(rows));
  for (const auto& [name, field] : fields.items()) {
    value += WriteCbor(name);
    if (name == kRowsField) {
      AppendRows(rows, value);
    } else {
      value += WriteCbor(field);
    }
  }
  return value;
}

}  // namespace daisyarch::fleet
