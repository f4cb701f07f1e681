#include "decisions/fleet/job_plan.h"

#include <algorithm>

namespace daisyarch::fleet {

namespace {

Error Invalid(const JobPlan& plan, std::size_t step,
              const std::string& detail) {
  return Error{ErrorCode::kInvalidArgument, "check job", plan.m_key.value(),
               "step " + std::to_string(step) + ": " + detail};
}

Result<void> CheckStep(const JobPlan& plan, std::size_t index) {
  const StepPlan& step = plan.m_steps[index];
  if (step.m_task_count == 0) return Invalid(plan, index, "has no tasks");
  if (step.m_demand.m_processors < Millicores(0) ||
      step.m_demand.m_memory < Mebibytes(0) ||
      step.m_demand.m_accelerators < Accelerators(0)) {
    return Invalid(plan, index, "a demand is negative");
  }
  // Earlier steps only, so there can be no cycle.
  for (const std::uint32_t earlier : step.m_after) {
    if (earlier >= index) {
      return Invalid(plan, index, "waits for a step that is not earlier");
    }
  }
  return Success();
}

}  // namespace

Result<void> CheckPlan(const JobPlan& plan) {
  if (plan.m_steps.empty() || plan.m_steps.size() > kMaximumSteps) {
    return Error{ErrorCode::kInvalidArgument, "check job", plan.m_key.value(),
                 "expected 1 to " + std::to_string(kMaximumSteps) + " steps"};
  }
  if (plan.m_payload.size() > kMaximumPayloadBytes) {
    return Error{ErrorCode::kInvalidArgument, "check job", plan.m_key.value(),
                 "the payload is over " + std::to_string(kMaximumPayloadBytes) +
                     " bytes"};
  }
  std::uint64_t tasks = 0;
  for (std::size_t index = 0; index < plan.m_steps.size(); ++index) {
    TRY(CheckStep(plan, index));
    tasks += plan.m_steps[index].m_task_count;
  }
  if (tasks * plan.m_occurrences > kMaximumTasks) {
    return Error{ErrorCode::kInvalidArgument, "check job", plan.m_key.value(),
                 "more than " + std::to_string(kMaximumTasks) + " tasks"};
  }
  return Success();
}

Duration RemainingCriticalPath(const JobPlan& plan, std::size_t step) {
  // Steps depend on earlier ones only, so one pass from the end suffices.
  std::vector<Duration> path_lengths(plan.m_steps.size(), Duration{});
  for (std::size_t index = plan.m_steps.size(); index-- > 0;) {
    path_lengths[index] += plan.m_steps[index].m_estimate;
    for (const std::uint32_t earlier : plan.m_steps[index].m_after) {
      path_lengths[earlier] =
          std::max(path_lengths[earlier], path_lengths[index]);
    }
  }
  return path_lengths[step];
}

Duration CriticalPath(const JobPlan& plan) {
  Duration longest{};
  for (std::size_t step = 0; step < plan.m_steps.size(); ++step) {
    longest = std::max(longest, RemainingCriticalPath(plan, step));
  }
  return longest;
}

}  // namespace daisyarch::fleet
