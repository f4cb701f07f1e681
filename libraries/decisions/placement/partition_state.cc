#include "decisions/placement/partition_state.h"

namespace daisyarch {

namespace {

void AddUsage(Usage& usage, const Resources& demand) {
  usage.m_reserved = usage.m_reserved + demand;
  ++usage.m_tasks;
}

void RemoveUsage(Usage& usage, const Resources& demand) {
  usage.m_reserved = usage.m_reserved - demand;
  --usage.m_tasks;
}

std::string CheckWorker(const PartitionState& state, const Worker& worker) {
  Resources sum;
  for (const TaskId& id : worker.m_tasks) {
    const auto task = state.m_tasks.find(id);
    if (task == state.m_tasks.end() || !IsActive(task->second.m_state)) {
      return "worker " + worker.m_id.value() + " lists task " + ToString(id) +
             ", which is not active";
    }
    if (task->second.m_worker != worker.m_id) {
      return "task " + ToString(id) +
             " is listed by a worker that it is not assigned to";
    }
    sum = sum + state.m_jobs.at(id.m_job).m_request.m_demand;
  }
  if (!(sum == worker.m_reserved)) {
    return "worker " + worker.m_id.value() +
           " has reserved a different amount than its active tasks demand";
  }
  if (worker.m_is_listed && !Fits(worker.m_reserved, worker.m_capacity)) {
    return "worker " + worker.m_id.value() +
           " has reserved more than its capacity of " +
           FirstShortage(worker.m_reserved, worker.m_capacity);
  }
  return "";
}

std::string CheckTask(const PartitionState& state, const Task& task) {
  if (state.m_jobs.count(task.m_id.m_job) == 0) {
    return "task " + ToString(task.m_id) + " has no job";
  }
  if (IsEnded(task.m_state)) {
    return "ended task " + ToString(task.m_id) + " is still in the state";
  }
  if (!IsActive(task.m_state)) return "";
  const auto worker = state.m_workers.find(task.m_worker);
  if (worker == state.m_workers.end() ||
      worker->second.m_tasks.count(task.m_id) == 0) {
    return "active task " + ToString(task.m_id) +
           " is not listed by its worker";
  }
  return "";
}

}  // namespace

Worker& FindOrAddWorker(PartitionState& state, const WorkerId& worker) {
  Worker& entry = state.m_workers[worker];
  entry.m_id = worker;
  return entry;
}

QueueKey MakeQueueKey(const Job& job) {
  return QueueKey{job.m_request.m_class, job.m_request.m_team,
                  job.m_request.m_submitted_unix_milliseconds +
                      ToMilliseconds(job.m_request.m_start_within)};
}

void ReserveCapacity(PartitionState& state, const Job& job, const Task& task) {
  const Resources& demand = job.m_request.m_demand;
  Worker& worker = FindOrAddWorker(state, task.m_worker);
  UpdateWorker(state, worker, [&](Worker& changed) {
    changed.m_reserved = changed.m_reserved + demand;
    changed.m_tasks.insert(task.m_id);
  });
  AddUsage(state.m_class_usage[job.m_request.m_class], demand);
  AddUsage(state.m_team_usage[job.m_request.m_team], demand);
}

void ReleaseCapacity(PartitionState& state, const Job& job, const Task& task) {
  const Resources& demand = job.m_request.m_demand;
  Worker& worker = FindOrAddWorker(state, task.m_worker);
  UpdateWorker(state, worker, [&](Worker& changed) {
    changed.m_reserved = changed.m_reserved - demand;
    changed.m_tasks.erase(task.m_id);
  });
  RemoveUsage(state.m_class_usage[job.m_request.m_class], demand);
  RemoveUsage(state.m_team_usage[job.m_request.m_team], demand);
}

std::string FindInvariantViolation(const PartitionState& state) {
  for (const auto& [id, worker] : state.m_workers) {
    std::string violation = CheckWorker(state, worker);
    if (!violation.empty()) return violation;
  }
  std::unordered_map<JobId, std::uint32_t> unfinished;
  for (const auto& [id, task] : state.m_tasks) {
    std::string violation = CheckTask(state, task);
    if (!violation.empty()) return violation;
    ++unfinished[id.m_job];
  }
  for (const auto& [id, job] : state.m_jobs) {
    if (CountEndedTasks(job) + unfinished[id] != job.m_request.m_task_count) {
      return "job " + ToString(id) +
             " has a different number of tasks than submitted";
    }
  }
  return "";
}

}  // namespace daisyarch
