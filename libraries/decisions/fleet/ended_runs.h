#pragma once

#include <vector>

#include "decisions/fleet/fleet.h"

// The ends that a worker reports, and the runs of earlier leaders. A worker
// forgets an end once it is acknowledged, so each end either changes the books
// or needs no change, as charts/run.yaml says for each state.

namespace daisyarch::fleet {

/// Returns whether this is the task's present run, on this worker.
bool IsRunOnWorker(const Task& task, const Worker& worker,
                   const RunNumber& run);

/// Returns whether a job that was looked up may be stored but not have reached
/// this leader yet.
bool MayBecomeKnown(const Fleet& fleet, const Job* job, const JobKey& key);

/// Records that a start of one of the job's tasks has taken effect.
void RecordJobStart(Fleet& fleet, Job& job);

/// Records the checkpoint that a worker reports of a run.
void RecordCheckpoint(Job& job, Task& task, const TaskReference& reference,
                      const std::string& checkpoint);

/// Takes over a run that an earlier leader started, unless the task has ended
/// or is known to run elsewhere; returns whether the run is now the task's.
bool AdoptRun(Fleet& fleet, Job& job, Task& task, const Worker& worker,
              const TaskReference& reference, const RunNumber& run);

/// Applies the ended runs up to the first whose job may still become known;
/// returns whether that was all. `active_runs` are those that the report lists
/// as active.
bool ApplyEndedRuns(Fleet& fleet, Worker& worker, const WorkerReport& report,
                    const std::vector<FoundRun>& active_runs, TimePoint now);

/// Names for the log.
const char* NameOf(RunOutcome outcome);
const char* NameOf(RunState state);
const char* NameOf(EndEffect effect);

}  // namespace daisyarch::fleet
