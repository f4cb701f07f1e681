#include "decisions/fleet/run_times.h"

#include <algorithm>

namespace daisyarch::fleet {

RunTimeEstimate ExpectedRunTime(const RunTimeModel& /*model*/,
                                const QueueId& /*queue*/,
                                const StepPlan& step) {
  return {step.m_estimate, step.m_estimate / 2};
}

RunTimeEstimate RemainingRunTime(const RunTimeModel& model,
                                 const QueueId& queue, const StepPlan& step,
                                 Duration elapsed) {
  const RunTimeEstimate whole = ExpectedRunTime(model, queue, step);
  return {std::max(whole.m_expected - elapsed, whole.m_deviation),
          whole.m_deviation};
}

double SlownessOf(const RunTimeModel& /*model*/, const WorkerId& /*worker*/) {
  return 1.0;
}

}  // namespace daisyarch::fleet
