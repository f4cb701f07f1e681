#pragma once

#include <cstdint>
#include <string>

#include "base/ids.h"
#include "base/resources.h"
#include "base/time.h"
#include "decisions/configuration/class_target.h"

namespace daisyarch {

/// Whether an attempt that may have run may be followed by another.
enum class RepeatPolicy { kAllowed, kNever };

/// What a member submits: equal tasks that run to their end.
struct JobRequest {
  MemberId m_member;
  TeamId m_team;
  ClassId m_class;
  ClassKind m_kind = ClassKind::kBatch;
  IdempotencyKey m_key;
  Resources m_demand;  ///< Of each task.
  std::uint32_t m_task_count = 1;
  Duration m_run_time{};      ///< As declared; far off at times.
  Duration m_start_within{};  ///< The class's target.
  RepeatPolicy m_repeat = RepeatPolicy::kAllowed;
  std::int64_t m_submitted_unix_milliseconds = 0;
};

/// True when both ask for the same work; the time of submission and the
/// class's target at that time do not count.
bool IsSameWork(const JobRequest& left, const JobRequest& right);

/// A job that a partition keeps.
struct Job {
  JobId m_id;
  JobRequest m_request;
  bool m_is_cancelled = false;
  std::uint32_t m_finished = 0;
  std::uint32_t m_failed = 0;
  std::uint32_t m_cancelled = 0;
  std::uint32_t m_unknown = 0;
};

/// Tasks that have come to an end of any kind.
std::uint32_t CountEndedTasks(const Job& job);

/// True when each task of the job has come to an end.
bool IsEnded(const Job& job);

}  // namespace daisyarch
