#pragma once

#include <cstdint>
#include <string>
#include <tuple>

#include "base/ids.h"
#include "base/result.h"

namespace daisyarch {

/// One task of a job: the job and the position in it.
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

/// The job as 16 hexadecimal digits.
std::string ToString(const JobId& job);

/// The task as its job, a full stop and its index.
std::string ToString(const TaskId& task);

/// Reads what ToString(JobId) writes; kInvalidArgument otherwise.
Result<JobId> ParseJobId(const std::string& text);

/// Reads what ToString(TaskId) writes; kInvalidArgument otherwise.
Result<TaskId> ParseTaskId(const std::string& text);

/// The same job for the same member and key, on every node.
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
