#pragma once

#include <optional>
#include <string>
#include <vector>

#include "base/random.h"
#include "decisions/fleet/fleet.h"

namespace daisyarch::fleet {

/// How a run that an earlier leader ordered has gone.
enum class PastEnd : std::uint8_t {
  kDone,
  kFailed,
  kStopped,
  kLapsed,
  kBroken,      ///< Another member of its gang ended.
  kActive,      ///< It has not ended yet.
  kNeverBegan,  ///< The order was rejected or lost.
};

/// A run that an earlier leader ordered. Its number is its place among the runs
/// of its task, from 1.
struct PastRun {
  WorkerId m_worker;
  PastEnd m_end = PastEnd::kStopped;
};

/// What an earlier leader did with a task, and what it could store of that.
struct PastTask {
  TaskReference m_task;
  std::vector<PastRun> m_runs;
  /// As stored last; nullopt if the task was never stored.
  std::optional<TaskProgress> m_row;
};

/// A job that an earlier leader had.
struct PastJob {
  JobPlan m_plan;
  std::vector<PastTask> m_tasks;
};

/// The time of day at which the next leader begins to lead.
constexpr std::int64_t kTakeoverUnixMs = 1'700'000'000'000;
/// What the workers' clocks read then.
constexpr std::int64_t kTakeoverClockMs = 100'000;

/// Returns the name of one of `kPastWorkers` workers.
WorkerId PastWorker(std::uint64_t number);
constexpr std::uint64_t kPastWorkers = 4;

/// Returns the job's row of the task that was stored at `stored` of its runs,
/// before or after that run's end; nullopt if `stored` is 0. `failed_runs` are
/// all that have failed, and `late_start_ms` is when an order that got no
/// answer can start that run no more, counted from the takeover; 0: never.
std::optional<TaskProgress> RowAt(const PastTask& task,
                                  const std::vector<RunNumber>& failed_runs,
                                  std::uint64_t stored, bool is_end_stored,
                                  std::int64_t late_start_ms);

/// Returns the failed runs of the task; a run of a gang fails as a whole.
std::vector<RunNumber> FailedRuns(const PastJob& job, const PastTask& task);

/// Draws one to three jobs with one to three tasks each: finite, lasting or
/// gangs. Only the last run of a task may be active or done, and no task has
/// used up `attempts` before its last run.
std::vector<PastJob> DrawPast(Random& random, std::uint32_t attempts);

/// Returns what happened, for messages.
std::string Describe(const PastJob& job);

}  // namespace daisyarch::fleet
