#include "decisions/placement/job.h"

namespace daisyarch {

bool IsSameWork(const JobRequest& left, const JobRequest& right) {
  return left.m_member == right.m_member && left.m_class == right.m_class &&
         left.m_key == right.m_key && left.m_demand == right.m_demand &&
         left.m_task_count == right.m_task_count &&
         left.m_run_time == right.m_run_time && left.m_repeat == right.m_repeat;
}

std::uint32_t CountEndedTasks(const Job& job) {
  return job.m_finished + job.m_failed + job.m_cancelled + job.m_unknown;
}

bool IsEnded(const Job& job) {
  return CountEndedTasks(job) == job.m_request.m_task_count;
}

}  // namespace daisyarch
