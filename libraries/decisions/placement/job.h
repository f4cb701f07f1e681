#pragma once

#include <cstdint>
#include <string>

#include "base/ids.h"
#include "base/resources.h"
#include "base/time.h"
#include "decisions/configuration/class_target.h"

namespace daisyarch {

/// Whether a task may be started again after an attempt that may have run.
enum class RepeatPolicy { kAllowed, kNever };

/// A job as submitted by a member: identical tasks that run to completion.
struct JobRequest {
  MemberId m_member;
  TeamId m_team;
  ClassId m_class;
  ClassKind m_kind = ClassKind::kBatch;
  IdempotencyKey m_key;
  Resources m_demand;  ///< Per task.
  std::uint32_t m_task_count = 1;
  Duration m_run_time{};      ///< Declared estimate; may be far off.
  Duration m_start_within{};  ///< The class's target at submission.
  RepeatPolicy m_repeat = RepeatPolicy::kAllowed;
  std::int64_t m_submitted_unix_milliseconds = 0;
};

/// Returns true when both request the same work. The team, the time of
/// submission, and the class's kind and target at that time are ignored.
bool IsSameWork(const JobRequest& left, const JobRequest& right);

/// A job with the number of its tasks per final state.
struct Job {
  JobId m_id;
  JobRequest m_request;
  bool m_is_cancelled = false;
  std::uint32_t m_finished = 0;
  std::uint32_t m_failed = 0;
  std::uint32_t m_cancelled = 0;
  std::uint32_t m_unknown = 0;
};

/// Returns the number of tasks in a final state.
std::uint32_t CountEndedTasks(const Job& job);

/// Returns true when all tasks of the job are in a final state.
bool IsEnded(const Job& job);

}  // namespace daisyarch
