#include "decisions/fleet/change_batch.h"

namespace daisyarch::fleet {

ChangeBatch TakeChanges(Fleet& fleet) {
  ChangeBatch batch;
  for (const JobKey& key : fleet.m_changed_jobs) {
    const Job* job = FindJob(fleet, key);
    if (job == nullptr) continue;
    batch.m_jobs.push_back(JobChange{
        key, ProgressOf(*job, fleet.m_unix_offset_ms), HasEnded(*job)});
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
  for (const JobChange& change : batch.m_jobs) {
    if (change.m_has_ended) RemoveJob(fleet, change.m_key);
  }
}

}  // namespace daisyarch::fleet
