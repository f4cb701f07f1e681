#pragma once

#include <cstdint>
#include <string>
#include <tuple>

#include "base/ids.h"
#include "base/result.h"

namespace daisyarch {

/// A task, identified by its job and its index in the job.
struct TaskId {
  JobId m_job;
  std::uint32_t m_index = 0;

  friend bool operator==(const TaskId& left, const TaskId& right) {
    return left.m_job == right.m_job && left.m_index == right.m_index;
  }
  friend bool operator!=(const TaskId& left, const TaskId& right) {
    return !(left == right);
  }
  friend bool operator<(const TaskId& left, const TaskId& right) {
    return std::tie(left.m_job, left.m_index) <
           std::tie(right.m_job, right.m_index);
  }
};

/// Formats a job id as 16 hexadecimal digits.
std::string ToString(const JobId& job);

/// Formats a task id as the job id, a period and the index.
std::string ToString(const TaskId& task);

/// Parses the format of ToString(JobId); kInvalidArgument for any other text.
Result<JobId> ParseJobId(const std::string& text);

/// Parses the format of ToString(TaskId); kInvalidArgument for any other text.
Result<TaskId> ParseTaskId(const std::string& text);

/// Derives a job id from the member and the key, the same on every node.
JobId DeriveJobId(const MemberId& member, const IdempotencyKey& key);

}  // namespace daisyarch

namespace std {
template <>
struct hash<daisyarch::TaskId> {
  size_t operator()(const daisyarch::TaskId& task) const noexcept {
    return hash<daisyarch::JobId>()(task.m_job) * 31 + task.m_index;
  }
};
}  // namespace std
