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

/// What the active tasks of one class or team have reserved.
struct Usage {
  Resources m_reserved;
  std::uint32_t m_tasks = 0;
};

/// The jobs, tasks and workers of one partition.
struct PartitionState {
  std::unordered_map<JobId, Job> m_jobs;
  std::unordered_map<TaskId, Task> m_tasks;  ///< Unfinished tasks only.
  std::map<WorkerId, Worker> m_workers;
  TaskQueue m_queue;
  WorkerIndex m_index;
  std::map<ClassId, Usage> m_class_usage;
  std::map<TeamId, Usage> m_team_usage;
};

/// Returns the worker; adds it without capacity when it is missing.
Worker& FindOrAddWorker(PartitionState& state, const WorkerId& worker);

/// Returns the queue key that all tasks of the job share.
QueueKey MakeQueueKey(const Job& job);

/// Reserves or releases the capacity of an active task on its worker and in the
/// usage of its class and team.
void ReserveCapacity(PartitionState& state, const Job& job, const Task& task);
void ReleaseCapacity(PartitionState& state, const Job& job, const Task& task);

/// Applies `change` to a worker and updates its entry in the index.
template <typename Change>
void UpdateWorker(PartitionState& state, Worker& worker, Change change) {
  state.m_index.m_by_capacity.erase(
      AvailableCapacity{worker.m_capacity - worker.m_reserved, worker.m_id});
  change(worker);
  if (!AcceptsTasks(worker)) return;
  state.m_index.m_by_capacity.insert(
      AvailableCapacity{worker.m_capacity - worker.m_reserved, worker.m_id});
}

/// Returns a description of the first violated invariant, empty when all hold:
/// reservations stay within the listed capacity and equal the sum of the active
/// tasks, each active task is on exactly one worker, and no job has lost or
/// gained a task.
std::string FindInvariantViolation(const PartitionState& state);

}  // namespace daisyarch
