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

Error MalformedIdError(const std::string& kind, const std::string& text) {
  return Error{ErrorCode::kInvalidArgument, "parse " + kind, "",
               "\"" + text + "\" is not a " + kind};
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
    return MalformedIdError("job id", text);
  }
  return JobId(value);
}

Result<TaskId> ParseTaskId(const std::string& text) {
  const auto dot = text.find('.');
  if (dot == std::string::npos) return MalformedIdError("task id", text);
  TRY_ASSIGN(const JobId job, ParseJobId(text.substr(0, dot)));
  std::uint32_t index = 0;
  const char* begin = text.data() + dot + 1;
  const char* end = text.data() + text.size();
  auto [stop, code] = std::from_chars(begin, end, index, kDecimal);
  if (code != std::errc() || stop != end || begin == end) {
    return MalformedIdError("task id", text);
  }
  return TaskId{job, index};
}

JobId DeriveJobId(const MemberId& member, const IdempotencyKey& key) {
  // Without the separator, ("a", "bc") and ("ab", "c") would share a hash.
  return JobId(StableHash(member.value() + '\0' + key.value()));
}

}  // namespace daisyarch
