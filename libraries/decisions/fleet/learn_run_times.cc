#include "decisions/fleet/learn_run_times.h"

#include <algorithm>

#include "decisions/fleet/ended_runs.h"
#include "decisions/fleet/run_times.h"

namespace daisyarch::fleet {

namespace {

constexpr std::uint8_t kUnlimitedPercent = 100;
// Of the length, for what is not known of its start or its end.
constexpr double kMostUnknownShare = 0.2;
// A prompt loop and worker may take that long.
constexpr Duration kPrompt = std::chrono::milliseconds(100);

bool IsOutsideDataRack(const Worker& worker, const StepPlan& step) {
  const auto& labels = worker.m_listing.m_labels;
  return !step.m_data_rack.empty() &&
         std::find(labels.begin(), labels.end(), step.m_data_rack) ==
             labels.end();
}

TimePoint StartOf(const Task& task) {
  return task.m_started_at == TimePoint() ? task.m_start_sent_at
                                          : task.m_started_at;
}

bool WasThrottled(const Task& task) {
  return task.m_processor_limit_percent != kUnlimitedPercent ||
         !task.m_is_limit_confirmed ||
         task.m_limit_changed_at >= task.m_start_sent_at;
}

// The members of a gang wait for each other, and those of a step that is spread
// over racks take longer by a factor that depends on where the others are.
bool IsLearnable(const StepPlan& step, const Task& task) {
  if (step.m_kind != StepKind::kFinite) return false;
  if (step.m_is_gang || step.m_is_colocated) return false;
  return step.m_processor_use != ProcessorUse::kBestEffort ||
         !WasThrottled(task);
}

// Returns whether the run may have begun with a checkpoint.
bool MayHaveResumed(const Fleet& fleet, const Job& job, const StepPlan& step,
                    const Task& task) {
  if (!step.m_saves_progress) return false;
  return job.m_is_inherited || task.m_run != FirstRun(fleet.m_term);
}

// Its start is known only if this leader sent it and got an answer in time.
bool IsStartKnown(const Task& task) {
  return task.m_start_sent_at != TimePoint() &&
         task.m_unconfirmed_until == TimePoint();
}

// A start that was confirmed late may have taken effect long before.
bool IsStartExact(const Task& task, Duration length) {
  return task.m_started_at - task.m_start_sent_at <= length * kMostUnknownShare;
}

// A worker answers a poll as soon as a run ends, and holds it no longer than
// the limit. So an end is late if no poll was waiting for it, if the answer
// came later than that, or if the worker's ends were held back before.
bool IsEndExact(const Fleet& fleet, const Worker& worker, const Task& task,
                TimePoint now) {
  if (worker.m_has_unapplied_ends) return false;
  const TimePoint start = StartOf(task);
  const auto share =
      std::chrono::duration_cast<Duration>((now - start) * kMostUnknownShare);
  const Duration most =
      std::max({kPrompt, PollSpacing(fleet, worker) * 2, share});
  const TimePoint seen = std::max(worker.m_clock_read_at, start);
  return worker.m_poll_sent_at - seen <= most &&
         now - worker.m_poll_sent_at <= fleet.m_limits.m_poll_wait + most;
}

RunSample SampleOf(const Fleet& fleet, const Worker& worker, const Job& job,
                   const StepPlan& step, Duration length) {
  RunSample sample{job.m_plan.m_queue.m_id, step, worker.m_listing.m_worker,
                   worker.m_listing.m_incarnation, length};
  if (IsOutsideDataRack(worker, step)) {
    sample.m_known_slowdown = fleet.m_limits.m_remote_slowdown;
  }
  // Best-effort tasks take as long as the others beside them leave them.
  sample.m_shows_slowness = step.m_processor_use != ProcessorUse::kBestEffort;
  return sample;
}

// Grows by one with each doubling, so that a run is learned from as often.
int DoublingsOf(Duration length) {
  int doublings = 0;
  for (std::int64_t left = ToMilliseconds(length); left > 0; left /= 2) {
    ++doublings;
  }
  return doublings;
}

}  // namespace

void LearnFromEnd(Fleet& fleet, const Worker& worker, const Job& job,
                  const Task& task, const TaskReference& reference,
                  TimePoint now) {
  const StepPlan& step = job.m_plan.m_steps[reference.m_step];
  if (!IsLearnable(step, task) || !IsStartKnown(task)) return;
  if (MayHaveResumed(fleet, job, step, task)) return;
  const Duration length = now - StartOf(task);
  if (!IsStartExact(task, length)) return;
  if (IsEndExact(fleet, worker, task, now)) {
    RecordEndedRun(fleet.m_run_times,
                   SampleOf(fleet, worker, job, step, length));
    return;
  }
  // It was active at the last report, which is a bound.
  const Duration least = worker.m_clock_read_at - StartOf(task);
  RecordActiveRun(fleet.m_run_times, SampleOf(fleet, worker, job, step, least));
}

// The time since an inherited or resumed run was first seen is still a bound,
// as a run is at least that long.
void LearnFromActiveRuns(Fleet& fleet, const Worker& worker,
                         const WorkerReport& report,
                         const std::vector<FoundRun>& active_runs,
                         TimePoint now) {
  for (std::size_t index = 0; index < active_runs.size(); ++index) {
    const FoundRun& found = active_runs[index];
    if (found.m_task == nullptr) continue;
    const Task& task = *found.m_task;
    if (task.m_state != RunState::kRunning) continue;
    if (!IsRunOnWorker(task, worker, report.m_running[index].m_run)) continue;
    const Duration length = now - task.m_started_at;
    const Duration before = worker.m_clock_read_at - task.m_started_at;
    if (DoublingsOf(length) == DoublingsOf(before)) continue;
    const StepPlan& step =
        found.m_job->m_plan.m_steps[found.m_reference->m_step];
    if (!IsLearnable(step, task)) continue;
    RecordActiveRun(fleet.m_run_times,
                    SampleOf(fleet, worker, *found.m_job, step, length));
  }
}

}  // namespace daisyarch::fleet
