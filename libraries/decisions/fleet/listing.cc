#include "decisions/fleet/fleet.h"
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

void ApplyListing(Fleet& fleet, const std::vector<ListedWorker>& listing,
                  TimePoint asked_at, TimePoint now) {
  fleet.m_listed_at = asked_at;
  std::set<WorkerId> listed;
  for (const ListedWorker& entry : listing) {
    const bool is_new = fleet.m_workers.count(entry.m_worker) == 0;
    Worker& worker = fleet.m_workers[entry.m_worker];
    // A worker states its incarnation in its entry if it does so in its
    // reports.
    const bool is_own_entry = entry.m_incarnation != Incarnation() ||
                              worker.m_listing.m_incarnation == Incarnation();
    if (!is_own_entry) continue;
    listed.insert(entry.m_worker);
    if (is_new) {
      worker.m_listing = entry;
      // The worker may have been listed before and have seen a token then.
      worker.m_token = TakeToken(fleet);
      fleet.m_events.push_back(
          {"worker_listed", JobKey(), entry.m_worker, RunNumber(), Duration{}});
      continue;
    }
    // The incarnation that the worker itself reported may be newer than the
    // listing, also if its clock was set back in between.
    const Incarnation known = worker.m_listing.m_incarnation;
    const bool is_older =
        entry.m_incarnation < known ||
        (entry.m_incarnation != known && asked_at < worker.m_clock_read_at);
    if (is_older) continue;
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
  for (auto position = fleet.m_workers.begin();
       position != fleet.m_workers.end();) {
    Worker& worker = position->second;
    const bool is_listed = listed.count(position->first) > 0;
    if (!is_listed) worker.m_is_listed = false;
    const bool may_have_inherited_runs = now < worker.m_inherited_runs_until;
    if (!is_listed && !may_have_inherited_runs) {
      StepWorker(fleet, worker, WorkerEvent::kDelisted);
    }
    const bool is_unused = worker.m_runs.empty();
    const bool is_out_of_contact = worker.m_state != WorkerState::kReady;
    if (!is_listed && is_unused && is_out_of_contact &&
        !may_have_inherited_runs && !MayHaveUnstoredEnds(fleet, worker, now)) {
      position = fleet.m_workers.erase(position);
    } else {
      ++position;
    }
  }
}

}  // namespace daisyarch::fleet
