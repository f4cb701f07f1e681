#pragma once

#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "decisions/fleet/job_plan.h"
#include "decisions/fleet/run_time_model.h"

namespace daisyarch::fleet {

/// How long a run of a task is expected to take on a worker of usual speed.
struct RunTimeEstimate {
  Duration m_expected{};  ///< Mean.
  /// Standard deviation of a single run, with the uncertainty of the mean.
  Duration m_deviation{};
};

/// The declared estimate until runs of such steps have been learned from.
RunTimeEstimate ExpectedRunTime(const RunTimeModel& model, const QueueId& queue,
                                const StepPlan& step);

/// Returns what is left of a run that has been active for `elapsed`.
RunTimeEstimate RemainingRunTime(const RunTimeModel& model,
                                 const QueueId& queue, const StepPlan& step,
                                 Duration elapsed);

/// Returns how many times as long runs take on this worker as on a usual one,
/// one standard deviation towards 1.0; 1.0 if nothing is known of it.
double SlownessOf(const RunTimeModel& model, const WorkerId& worker);

/// Returns the logarithm of how many times as long runs take on such a worker
/// as on a usual one.
double RelativeSlowness(const RunTimeModel& model,
                        const WorkerSlowness& slowness);

/// Returns the mean that is expected for each step of the job, in their order.
std::vector<Duration> ExpectedRunTimes(const RunTimeModel& model,
                                       const JobPlan& plan);

/// A run to learn from.
struct RunSample {
  const QueueId& m_queue;
  const StepPlan& m_step;
  const WorkerId& m_worker;
  Incarnation m_incarnation;  ///< Of the worker.
  Duration m_length{};        ///< From its start to its end, or until now.
  /// Known factor on its length, such as that of data in another rack.
  double m_known_slowdown = 1.0;
  /// Its length tells of its worker's speed as well.
  bool m_shows_slowness = true;
};

/// Learns from a run that was done.
void RecordEndedRun(RunTimeModel& model, const RunSample& sample);

/// Learns from a run that is still active, which tells something only if it is
/// longer than expected already.
void RecordActiveRun(RunTimeModel& model, const RunSample& sample);

/// Forgets what was learned of a worker that has restarted.
void ForgetSlowness(RunTimeModel& model, const WorkerId& worker);

}  // namespace daisyarch::fleet
