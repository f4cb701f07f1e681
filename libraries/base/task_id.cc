#include "base/task_id.h"

#include <charconv>
#include <cinttypes>
#include <cstdio>

#include "base/stable_hash.h"

namespace daisyarch {

namespace {

constexpr std::size_t kJobIdDigits = 16;
constexpr int kHexadecimal = 16;
constexpr int kDecimal = 10;

Error Malformed(const std::string& what, const std::string& text) {
  return Error{ErrorCode::kInvalidArgument, "parse " + what, "",
               "\"" + text + "\" is not a " + what};
}

}  // namespace

std::string ToString(const JobId& job) {
  char buffer[kJobIdDigits + 1];
  std::snprintf(buffer, sizeof(buffer), "%016" PRIx64, job.value());
  return buffer;
}

std::string ToString(const TaskId& task) {
  return ToString(task.m_job) + "." + std::to_string(task.m_index);
}

Result<JobId> ParseJobId(const std::string& text) {
  std::uint64_t value = 0;
  const char* end = text.data() + text.size();
  auto [stop, code] = std::from_chars(text.data(), end, value, kHexadecimal);
  if (code != std::errc() || stop != end || text.size() != kJobIdDigits) {
    return Malformed("job id", text);
  }
  return JobId(value);
}

Result<TaskId> ParseTaskId(const std::string& text) {
  const auto dot = text.find('.');
  if (dot == std::string::npos) return Malformed("task id", text);
  TRY_ASSIGN(const JobId job, ParseJobId(text.substr(0, dot)));
  std::uint32_t index = 0;
  const char* begin = text.data() + dot + 1;
  const char* end = text.data() + text.size();
  auto [stop, code] = std::from_chars(begin, end, index, kDecimal);
  if (code != std::errc() || stop != end || begin == end) {
    return Malformed("task id", text);
  }
  return TaskId{job, index};
}

JobId DeriveJobId(const MemberId& member, const IdempotencyKey& key) {
  // The separator keeps ("a", "bc") and ("ab", "c") apart.
  return JobId(StableHash(member.value() + '\0' + key.value()));
}

}  // namespace daisyarch
