#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "decisions/fleet/job_plan.h"

namespace daisyarch::fleet {

/// How long a run of a task is expected to take on a worker of usual speed.
struct RunTimeEstimate {
  Duration m_expected{};  ///< Mean.
  /// Standard deviation of a single run, with the uncertainty of the mean.
  Duration m_deviation{};
};

/// What the leaders have learned of run times. FIXME: Nothing is learned yet;
/// the steps' own estimates serve.
struct RunTimeModel {};

RunTimeEstimate ExpectedRunTime(const RunTimeModel& model, const QueueId& queue,
                                const StepPlan& step);

/// Returns what is left of a run that has been active for `elapsed`.
RunTimeEstimate RemainingRunTime(const RunTimeModel& model,
                                 const QueueId& queue, const StepPlan& step,
                                 Duration elapsed);

/// Returns how many times as long runs take on this worker as on a usual one;
/// 1.0 if nothing is known of it.
double SlownessOf(const RunTimeModel& model, const WorkerId& worker);

}  // namespace daisyarch::fleet
