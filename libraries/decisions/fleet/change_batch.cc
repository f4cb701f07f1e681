#include "decisions/fleet/change_batch.h"

#include <set>
#include <utility>

namespace daisyarch::fleet {

namespace {

JobChange TakeChange(const Fleet& fleet, Job& job, ProgressPart part,
                     const std::set<TaskNumber>& tasks) {
  return {job.m_plan.m_key, part,
          TakeProgress(job, part, tasks, fleet.m_unix_offset_ms)};
}

// Part 0 comes last, as it may have to wait for the others. Of an ended job
// only its final state is stored, in part 0, and the orders that may still
// start one of its tasks.
void TakeChangesOf(const Fleet& fleet, Job& job, ChangeBatch& batch) {
  const bool has_ended = HasEnded(job);
  auto parts = std::move(job.m_changed_parts);
  job.m_changed_parts.clear();
  const bool has_part_0 = has_ended || parts.count(ProgressPart()) > 0;
  const std::set<TaskNumber> tasks_of_part_0 = parts[ProgressPart()];
  parts.erase(ProgressPart());
  if (has_ended) parts.clear();
  for (const auto& [part, tasks] : parts) {
    batch.m_changes.push_back(TakeChange(fleet, job, part, tasks));
  }
  if (!has_part_0) return;
  JobChange change = TakeChange(fleet, job, ProgressPart(), tasks_of_part_0);
  change.m_has_ended = has_ended;
  if (has_ended) {
    change.m_progress.m_tasks =
        LateStartsOf(job, fleet.m_ticked_at, fleet.m_unix_offset_ms);
  }
  change.m_moves_rows = job.m_has_rows_to_move && !has_ended;
  job.m_has_rows_to_move = false;
  batch.m_changes.push_back(std::move(change));
}

}  // namespace

ChangeBatch TakeChanges(Fleet& fleet) {
  ChangeBatch batch;
  for (const JobKey& key : fleet.m_changed_jobs) {
    Job* job = FindJob(fleet, key);
    if (job != nullptr) TakeChangesOf(fleet, *job, batch);
  }
  for (const Worker* worker : fleet.m_worker_index.m_unstored_ends) {
    batch.m_ends[worker->m_listing.m_worker] = {worker->m_listing.m_incarnation,
                                                worker->m_applied_end};
  }
  fleet.m_changed_jobs.clear();
  fleet.m_has_urgent_change = false;
  fleet.m_is_storing = true;
  return batch;
}

void ApplyStoredBatch(Fleet& fleet, const ChangeBatch& batch) {
  fleet.m_is_storing = false;
  for (const auto& [id, applied] : batch.m_ends) {
    Worker* worker = FindWorker(fleet, id);
    if (worker == nullptr) continue;
    if (worker->m_listing.m_incarnation != applied.m_incarnation) continue;
    worker->m_stored_end = std::max(worker->m_stored_end, applied.m_end);
    worker->m_next_poll_at =
        worker->m_clock_read_at + PollSpacing(fleet, *worker);
    UpdateWorkerIndex(fleet, *worker);
  }
  for (const JobChange& change : batch.m_changes) {
    if (change.m_has_ended) RemoveJob(fleet, change.m_key);
  }
}

}  // namespace daisyarch::fleet
