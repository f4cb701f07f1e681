#include "decisions/fleet/fencing.h"
#include "decisions/fleet/fleet.h"
#include "decisions/fleet/late_start.h"
#include "decisions/fleet/roster.h"

namespace daisyarch::fleet {

// They lose nothing by that, and would otherwise end when this worker leaves.
void EvacuateRuns(Fleet& fleet, Worker& worker, TimePoint now) {
  const std::set<TaskReference> runs = worker.m_runs;
  for (const TaskReference& reference : runs) {
    Job* job = nullptr;
    const Task* task = FindTask(fleet, reference, job);
    if (task == nullptr || task->m_state != RunState::kRunning) continue;
    const StepPlan& step = job->m_plan.m_steps[reference.m_step];
    if (step.m_is_gang) continue;
    if (step.m_kind == StepKind::kService || step.m_saves_progress) {
      SendStop(fleet, *job, reference, now);
    }
  }
}

namespace {

void AddListedWorker(Fleet& fleet, Worker& worker, const ListedWorker& entry) {
  worker.m_listing = entry;
  worker.m_is_listed = true;
  // The worker may have been listed before and have seen a token then.
  FenceWorker(fleet, worker);
  fleet.m_events.push_back(
      {"worker_listed", JobKey(), entry.m_worker, RunNumber(), Duration{}});
}

void UpdateListedWorker(Fleet& fleet, Worker& worker, const ListedWorker& entry,
                        TimePoint now) {
  if (!worker.m_is_listed || worker.m_listing.m_is_leaving) {
    fleet.m_needs_placement = true;
  }
  UpdateIncarnation(fleet, worker, entry.m_incarnation, now);
  if (worker.m_listing.m_address != entry.m_address) {
    worker.m_is_in_roster = false;
  }
  if (!(worker.m_listing.m_capacity == entry.m_capacity)) {
    worker.m_headrooms.clear();
  }
  const bool was_leaving = worker.m_listing.m_is_leaving;
  worker.m_listing = entry;
  worker.m_is_listed = true;
  if (entry.m_is_leaving && !was_leaving) EvacuateRuns(fleet, worker, now);
}

// Returns whether the entry may be older than what the worker itself has
// reported. Its incarnation may be newer than the entry's, also if its clock
// was set back in between. An entry stays in the platform's list until the
// worker replaces it, so one that is read later is not newer.
bool MayBeOutdated(const Worker& worker, const ListedWorker& entry,
                   TimePoint asked_at) {
  const Incarnation known = worker.m_listing.m_incarnation;
  return entry.m_incarnation < known ||
         worker.m_former_incarnations.count(entry.m_incarnation) > 0 ||
         (entry.m_incarnation != known && asked_at < worker.m_clock_read_at);
}

// The platform lists the worker no more, or not with an entry of its own.
void RemoveEntry(Fleet& fleet, const WorkerId& id) {
  fleet.m_unsettled_entries.erase(id);
  Worker* worker = FindWorker(fleet, id);
  if (worker == nullptr) return;
  worker->m_has_entry = false;
  worker->m_is_listed = false;
  UpdateWorkerIndex(fleet, *worker);
}

void ApplyEntry(Fleet& fleet, const ListedWorker& entry, TimePoint asked_at,
                TimePoint now) {
  ++fleet.m_work.m_workers;
  const bool is_new = fleet.m_workers.count(entry.m_worker) == 0;
  Worker& worker = AddWorker(fleet, entry.m_worker);
  // A worker states its incarnation in its entry if it does so in its reports.
  const bool is_own_entry = entry.m_incarnation != Incarnation() ||
                            worker.m_listing.m_incarnation == Incarnation();
  if (!is_own_entry) return RemoveEntry(fleet, entry.m_worker);
  worker.m_has_entry = true;
  if (is_new) {
    AddListedWorker(fleet, worker, entry);
  } else if (MayBeOutdated(worker, entry, asked_at)) {
    fleet.m_unsettled_entries[entry.m_worker] = entry;
  } else {
    fleet.m_unsettled_entries.erase(entry.m_worker);
    UpdateListedWorker(fleet, worker, entry, now);
  }
  UpdateWorkerIndex(fleet, worker);
}

void EraseWorker(Fleet& fleet, Worker& worker) {
  const WorkerId id = worker.m_listing.m_worker;
  if (fleet.m_roster.count(id) > 0) fleet.m_unknown_in_roster.insert(id);
  RemoveFromIndex(fleet, worker);
  fleet.m_workers.erase(id);
}

void DropUnlistedWorker(Fleet& fleet, Worker& worker, TimePoint now) {
  if (now < worker.m_inherited_runs_until) return;
  if (MayRunUnknownJobs(fleet, worker, now)) return;
  StepWorker(fleet, worker, WorkerEvent::kDelisted);
  const bool is_unused = worker.m_runs.empty();
  const bool is_out_of_contact = worker.m_state != WorkerState::kReady;
  // It may be listed again, and its ends must not be acknowledged until then.
  const bool may_start_late =
      MayTakeOrderLate(fleet, worker.m_listing.m_worker, now);
  if (is_unused && is_out_of_contact && !may_start_late &&
      !MayHaveUnstoredEnds(fleet, worker, now)) {
    EraseWorker(fleet, worker);
  }
}

// Applies what time and reports have settled since the last answer.
void SettleListing(Fleet& fleet, TimePoint asked_at, TimePoint now) {
  fleet.m_listed_at = asked_at;
  const auto unsettled = fleet.m_unsettled_entries;
  for (const auto& [id, entry] : unsettled) {
    ApplyEntry(fleet, entry, asked_at, now);
  }
  const WorkerSet without_entry = fleet.m_worker_index.m_without_entry;
  for (Worker* worker : without_entry) {
    ++fleet.m_work.m_workers;
    DropUnlistedWorker(fleet, *worker, now);
  }
}

}  // namespace

void ApplyListing(Fleet& fleet, const std::vector<ListedWorker>& listing,
                  TimePoint asked_at, TimePoint now) {
  std::set<WorkerId> listed;
  for (const ListedWorker& entry : listing) {
    listed.insert(entry.m_worker);
    ApplyEntry(fleet, entry, asked_at, now);
  }
  for (const auto& [id, worker] : fleet.m_workers) {
    if (worker.m_has_entry && listed.count(id) == 0) RemoveEntry(fleet, id);
  }
  SettleListing(fleet, asked_at, now);
}

void ApplyListingChanges(Fleet& fleet, const std::vector<ListedChange>& changes,
                         TimePoint asked_at, TimePoint now) {
  for (const ListedChange& change : changes) {
    if (change.m_entry) {
      ApplyEntry(fleet, *change.m_entry, asked_at, now);
    } else {
      RemoveEntry(fleet, change.m_worker);
    }
  }
  SettleListing(fleet, asked_at, now);
}

}  // namespace daisyarch::fleet
