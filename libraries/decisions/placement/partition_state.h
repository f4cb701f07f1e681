#pragma once

#include <map>
#include <unordered_map>

#include "base/ids.h"
#include "base/resources.h"
#include "decisions/placement/job.h"
#include "decisions/placement/task.h"
#include "decisions/placement/task_queue.h"
#include "decisions/placement/worker.h"
#include "decisions/placement/worker_index.h"

namespace daisyarch {

/// What one holder's active tasks have reserved.
struct Usage {
  Resources m_reserved;
  std::uint32_t m_tasks = 0;
};

/// The jobs, tasks and workers of one partition.
struct PartitionState {
  std::unordered_map<JobId, Job> m_jobs;
  std::unordered_map<TaskId, Task> m_tasks;  ///< Those not yet ended.
  std::map<WorkerId, Worker> m_workers;
  TaskQueue m_queue;
  WorkerIndex m_index;
  std::map<ClassId, Usage> m_class_usage;
  std::map<TeamId, Usage> m_team_usage;
};

/// The worker, added without capacity when it is not known yet.
Worker& FindOrAddWorker(PartitionState& state, const WorkerId& worker);

/// Where a task of the job waits.
QueueKey MakeQueueKey(const Job& job);

/// Reserves room for an active task; takes the worker out of the index while
/// its room changes.
void ReserveCapacity(PartitionState& state, const Job& job, const Task& task);
void ReleaseCapacity(PartitionState& state, const Job& job, const Task& task);

/// Changes a worker with the index kept in step.
template <typename Change>
void UpdateWorker(PartitionState& state, Worker& worker, Change change) {
  state.m_index.m_by_capacity.erase(
      AvailableCapacity{worker.m_capacity - worker.m_reserved, worker.m_id});
  change(worker);
  if (!AcceptsTasks(worker)) return;
  state.m_index.m_by_capacity.insert(
      AvailableCapacity{worker.m_capacity - worker.m_reserved, worker.m_id});
}

/// Empty when each invariant of the state holds, else the first that does
/// not: room within capacity, room equal to the sum of the active tasks,
/// each active task on one worker, counts that add up.
std::string FindInvariantViolation(const PartitionState& state);

}  // namespace daisyarch
