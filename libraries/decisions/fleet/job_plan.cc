#include "decisions/fleet/job_plan.h"

#include <algorithm>
#include <numeric>

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

StepGraph MakeStepGraph(const JobPlan& plan) {
  const std::size_t count = plan.m_steps.size();
  StepGraph graph;
  graph.m_successors_begin.resize(count + 1);
  graph.m_remaining_paths.resize(count);
  for (const StepPlan& step : plan.m_steps) {
    for (const std::uint32_t earlier : step.m_after) {
      ++graph.m_successors_begin[earlier + 1];
    }
  }
  std::partial_sum(graph.m_successors_begin.begin(),
                   graph.m_successors_begin.end(),
                   graph.m_successors_begin.begin());
  graph.m_successors.resize(graph.m_successors_begin.back());
  std::vector<std::size_t> next = graph.m_successors_begin;
  for (std::size_t step = 0; step < count; ++step) {
    for (const std::uint32_t earlier : plan.m_steps[step].m_after) {
      graph.m_successors[next[earlier]++] = static_cast<std::uint32_t>(step);
    }
  }
  // Steps depend on earlier ones only, so one pass from the end suffices.
  for (std::size_t step = count; step-- > 0;) {
    Duration& path = graph.m_remaining_paths[step];
    path += plan.m_steps[step].m_estimate;
    for (const std::uint32_t earlier : plan.m_steps[step].m_after) {
      Duration& longest = graph.m_remaining_paths[earlier];
      longest = std::max(longest, path);
    }
  }
  return graph;
}

Duration CriticalPath(const StepGraph& graph) {
  Duration longest{};
  for (const Duration path : graph.m_remaining_paths) {
    longest = std::max(longest, path);
  }
  return longest;
}

}  // namespace daisyarch::fleet
