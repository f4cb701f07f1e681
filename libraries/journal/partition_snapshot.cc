#include "journal/partition_snapshot.h"

#include "wire/placement_fields.h"

namespace daisyarch {

template <typename Visitor>
void VisitFields(Visitor& visit, PartitionSnapshot& snapshot) {
  visit("jobs", snapshot.m_jobs);
  visit("tasks", snapshot.m_tasks);
}

std::vector<std::string> EncodeSnapshot(const PartitionState& state) {
  PartitionSnapshot snapshot;
  for (const auto& [id, job] : state.m_jobs) snapshot.m_jobs.push_back(job);
  for (const auto& [id, task] : state.m_tasks) {
    snapshot.m_tasks.push_back(task);
  }
  const std::string bytes = WriteCbor(Encode(snapshot));
  std::vector<std::string> chunks;
  for (std::size_t start = 0; start < bytes.size();
       start += kSnapshotChunkBytes) {
    chunks.push_back(bytes.substr(start, kSnapshotChunkBytes));
  }
  return chunks;
}

Result<PartitionState> DecodeSnapshot(const std::vector<std::string>& chunks,
                                      const std::string& peer) {
  PartitionState state;
  if (chunks.empty()) return state;
  std::string bytes;
  for (const std::string& chunk : chunks) bytes += chunk;
  TRY_ASSIGN(PartitionSnapshot snapshot,
             DecodeCbor<PartitionSnapshot>(bytes, "read snapshot", peer));
  for (Job& job : snapshot.m_jobs) {
    const JobId id = job.m_id;
    state.m_jobs.emplace(id, std::move(job));
  }
  for (Task& task : snapshot.m_tasks) {
    const auto job = state.m_jobs.find(task.m_id.m_job);
    if (job == state.m_jobs.end() || IsEnded(task.m_state)) {
      return Error{
          ErrorCode::kInvalidArgument, "read snapshot", peer,
          "task " + ToString(task.m_id) + " has no job or has already ended"};
    }
    // The journal records assignments, not whether an attempt is running or
    // stopping, so active tasks begin as starting.
    if (IsActive(task.m_state)) task.m_state = TaskState::kStarting;
    const TaskId id = task.m_id;
    const Task& stored =
        state.m_tasks.emplace(id, std::move(task)).first->second;
    if (IsActive(stored.m_state)) {
      ReserveCapacity(state, job->second, stored);
    } else {
      PushTask(state.m_queue, MakeQueueKey(job->second), id);
    }
  }
  return state;
}

}  // namespace daisyarch
