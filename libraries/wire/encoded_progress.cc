#include "wire/encoded_progress.h"

#include <numeric>

#include "wire/fleet_fields.h"

namespace daisyarch::fleet {

namespace {

constexpr const char* kRowsField = "tasks";

std::string WriteRows(const EncodedRows& rows) {
  const std::size_t bytes = std::accumulate(
      rows.begin(), rows.end(), std::size_t{0},
      [](std::size_t sum, const auto& row) { return sum + row.second.size(); });
  std::string value = WriteCborArrayHeader(rows.size());
  value.reserve(value.size() + bytes);
  for (const auto& [task, row] : rows) value += row;
  return value;
}

}  // namespace

void ReplaceRows(EncodedRows& rows, const std::vector<TaskProgress>& changed) {
  for (const TaskProgress& row : changed) {
    rows[{row.m_step_run, row.m_index}] = WriteCbor(Encode(row));
  }
}

std::string WriteProgress(const JobProgress& progress,
                          const EncodedRows& rows) {
  JobProgress head;
  head.m_state = progress.m_state;
  head.m_ended_unix_ms = progress.m_ended_unix_ms;
  const Json fields = Encode(head);
  std::string value = WriteCborMapHeader(fields.size());
  for (const auto& [name, field] : fields.items()) {
    value += WriteCbor(name);
    value += name == kRowsField ? WriteRows(rows) : WriteCbor(field);
  }
  return value;
}

}  // namespace daisyarch::fleet
