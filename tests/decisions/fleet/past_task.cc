#include "decisions/fleet/past_task.h"

#include <algorithm>

#include "decisions/fleet/fleet_fixture.h"

namespace daisyarch::fleet {

namespace {

constexpr std::uint64_t kMaximumRuns = 5;
constexpr std::uint64_t kMaximumUnstoredRuns = 4;
constexpr std::uint64_t kMaximumJobs = 3;
constexpr std::uint64_t kMaximumMembers = 3;
// An order leaves within 1.5 s and takes effect up to 12 s later.
constexpr std::int64_t kLatestEffectMs = 13500;
constexpr Millicores kDemand{1000};

bool Chance(Random& random, double probability) {
  return NextUnit(random) < probability;
}

PastEnd DrawEnd(Random& random, bool is_last, bool may_fail, bool may_be_done) {
  const double draw = NextUnit(random);
  if (is_last && draw < 0.4) {
    return may_be_done ? PastEnd::kDone : PastEnd::kActive;
  }
  if (is_last && draw < 0.55) return PastEnd::kActive;
  if (draw < 0.75 && may_fail) return PastEnd::kFailed;
  if (draw < 0.85) return PastEnd::kStopped;
  if (draw < 0.95) return PastEnd::kLapsed;
  return PastEnd::kNeverBegan;
}

// All members of a gang run, are done or end together.
PastEnd EndOfMember(PastEnd end, bool is_first) {
  const bool is_broken = end == PastEnd::kFailed || end == PastEnd::kStopped ||
                         end == PastEnd::kLapsed;
  return is_broken && !is_first ? PastEnd::kBroken : end;
}

// Draws the ends of the runs of one task, or of all members of a gang.
std::vector<PastEnd> DrawEnds(Random& random, const StepPlan& step,
                              std::uint32_t attempts) {
  const std::uint64_t count = 1 + NextBelow(random, kMaximumRuns);
  const bool is_finite = step.m_kind == StepKind::kFinite;
  std::uint32_t failures = 0;
  std::vector<PastEnd> ends;
  for (std::uint64_t number = 1; number <= count; ++number) {
    const bool is_last = number == count;
    const bool may_fail = is_last || !is_finite || failures + 1 < attempts;
    ends.push_back(DrawEnd(random, is_last, may_fail, is_finite));
    if (ends.back() == PastEnd::kFailed) ++failures;
  }
  return ends;
}

// A leader starts a run only once the one before can start no more, so only the
// last run may start late after the takeover.
std::int64_t DrawLateStart(Random& random, bool is_last) {
  if (Chance(random, 0.5)) return 0;
  const auto drawn = static_cast<std::int64_t>(
      NextBelow(random, static_cast<std::uint64_t>(kLatestEffectMs)));
  return is_last ? drawn + 1 : -drawn - 1;
}

void DrawRow(Random& random, const PastJob& job, PastTask& task,
             std::uint64_t unstored, std::int64_t late_start_ms) {
  const std::uint64_t stored =
      task.m_runs.size() -
      std::min<std::uint64_t>(unstored, task.m_runs.size());
  task.m_row = RowAt(task, FailedRuns(job, task), stored, Chance(random, 0.5),
                     late_start_ms);
  const bool is_clock_known =
      task.m_row && late_start_ms != 0 && Chance(random, 0.5);
  if (!is_clock_known) return;
  const WorkerMilliseconds until(kTakeoverClockMs + late_start_ms);
  task.m_row->m_late_start_clock = {Incarnation(1), until, until};
}

StepPlan DrawStep(Random& random) {
  StepPlan step;
  step.m_task_count =
      static_cast<std::uint32_t>(1 + NextBelow(random, kMaximumMembers));
  const double kind = NextUnit(random);
  if (kind < 0.2) step.m_kind = StepKind::kService;
  if (kind > 0.8) step.m_is_gang = true;
  return step;
}

void DrawRuns(Random& random, PastJob& job, std::uint32_t attempts) {
  const StepPlan& step = job.m_plan.m_steps.front();
  std::vector<PastEnd> ends = DrawEnds(random, step, attempts);
  for (std::uint32_t index = 0; index < step.m_task_count; ++index) {
    PastTask task;
    task.m_task = {job.m_plan.m_key, 0, 0, index};
    if (!step.m_is_gang && index > 0) ends = DrawEnds(random, step, attempts);
    for (const PastEnd end : ends) {
      const PastEnd own = step.m_is_gang ? EndOfMember(end, index == 0) : end;
      task.m_runs.push_back({PastWorker(NextBelow(random, kPastWorkers)), own});
    }
    job.m_tasks.push_back(task);
  }
}

void DrawRows(Random& random, PastJob& job) {
  const bool is_gang = job.m_plan.m_steps.front().m_is_gang;
  std::uint64_t unstored = 0;
  std::int64_t late_start_ms = 0;
  for (PastTask& task : job.m_tasks) {
    if (!is_gang || task.m_task.m_index == 0) {
      unstored = NextBelow(random, kMaximumUnstoredRuns + 1);
      late_start_ms = DrawLateStart(random, unstored == 0);
    }
    DrawRow(random, job, task, unstored, late_start_ms);
  }
}

// In the order of PastEnd.
constexpr const char* kEndNames[] = {"done",   "failed", "stopped",    "lapsed",
                                     "broken", "active", "never began"};

std::string Describe(const PastTask& task) {
  std::string text = "task " + std::to_string(task.m_task.m_index) + ":";
  for (const PastRun& run : task.m_runs) {
    text += std::string(" ") + kEndNames[static_cast<std::size_t>(run.m_end)] +
            " at " + run.m_worker.value() + ",";
  }
  if (!task.m_row) return text + " no row";
  const TaskProgress& row = *task.m_row;
  text += " row at run " + std::to_string(row.m_run.value()) +
          (row.m_is_done ? " done" : "") + " with " +
          std::to_string(row.m_failed_runs.size()) + " failures";
  if (row.m_late_start_until_unix_ms == 0) return text;
  const std::int64_t late = row.m_late_start_until_unix_ms - kTakeoverUnixMs;
  return text + ", late until " + std::to_string(late) + " ms";
}

}  // namespace

WorkerId PastWorker(std::uint64_t number) {
  return WorkerId("w" + std::to_string(number));
}

std::optional<TaskProgress> RowAt(const PastTask& task,
                                  const std::vector<RunNumber>& failed_runs,
                                  std::uint64_t stored, bool is_end_stored,
                                  std::int64_t late_start_ms) {
  if (stored == 0) return std::nullopt;
  const RunNumber run(stored);
  const PastRun& past = task.m_runs[stored - 1];
  TaskProgress row;
  row.m_index = task.m_task.m_index;
  row.m_run = run;
  row.m_is_done = is_end_stored && past.m_end == PastEnd::kDone;
  for (const RunNumber failed : failed_runs) {
    if (failed < run || (failed == run && is_end_stored)) {
      row.m_failed_runs.push_back(failed);
    }
  }
  if (late_start_ms != 0) {
    row.m_late_start_until_unix_ms = kTakeoverUnixMs + late_start_ms;
    row.m_late_start_worker = past.m_worker;
  }
  return row;
}

std::vector<RunNumber> FailedRuns(const PastJob& job, const PastTask& task) {
  const StepPlan& step = job.m_plan.m_steps.front();
  std::vector<RunNumber> failed;
  if (step.m_kind == StepKind::kService) return failed;
  const PastTask& decisive = step.m_is_gang ? job.m_tasks.front() : task;
  for (std::size_t index = 0; index < decisive.m_runs.size(); ++index) {
    if (decisive.m_runs[index].m_end == PastEnd::kFailed) {
      failed.emplace_back(index + 1);
    }
  }
  return failed;
}

std::vector<PastJob> DrawPast(Random& random, std::uint32_t attempts) {
  std::vector<PastJob> jobs;
  const std::uint64_t count = 1 + NextBelow(random, kMaximumJobs);
  for (std::uint64_t number = 0; number < count; ++number) {
    PastJob job;
    job.m_plan = MakePlan("job" + std::to_string(number), 1, kDemand);
    StepPlan step = DrawStep(random);
    step.m_demand = job.m_plan.m_steps.front().m_demand;
    step.m_estimate = job.m_plan.m_steps.front().m_estimate;
    job.m_plan.m_steps = {step};
    DrawRuns(random, job, attempts);
    DrawRows(random, job);
    jobs.push_back(std::move(job));
  }
  return jobs;
}

std::string Describe(const PastJob& job) {
  const StepPlan& step = job.m_plan.m_steps.front();
  std::string text = job.m_plan.m_key.value();
  if (step.m_is_gang) text += " (gang)";
  if (step.m_kind == StepKind::kService) text += " (lasting)";
  for (const PastTask& task : job.m_tasks) text += "; " + Describe(task);
  return text;
}

}  // namespace daisyarch::fleet
