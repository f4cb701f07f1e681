#include "fakes/index_check.h"

#include <map>

#include "fleet/store_keys.h"
#include "wire/fleet_fields.h"

namespace daisyarch::fleet {

namespace {

bool IsSame(const IndexedPool& left, const IndexedPool& right) {
  return left.m_by_free == right.m_by_free &&
         left.m_by_idle == right.m_by_idle && left.m_by_fit == right.m_by_fit;
}

std::string FindDifference(const WorkerIndex& kept, const WorkerIndex& made) {
  if (kept.m_timers != made.m_timers) return "timers";
  if (kept.m_roster_candidates != made.m_roster_candidates) {
    return "roster candidates";
  }
  if (kept.m_unstored_ends != made.m_unstored_ends) return "unstored ends";
  if (kept.m_inherited_runs != made.m_inherited_runs) return "inherited runs";
  if (kept.m_without_entry != made.m_without_entry) return "without entry";
  if (kept.m_mixed != made.m_mixed) return "mixed workers";
  if (kept.m_listed_capacity != made.m_listed_capacity) return "capacity";
  if (kept.m_listed_reserved != made.m_listed_reserved) return "reserved";
  for (const auto& [id, pool] : made.m_pools) {
    const auto found = kept.m_pools.find(id);
    if (found == kept.m_pools.end() || !IsSame(found->second, pool)) {
      return "pool " + id.value();
    }
  }
  return "";
}

std::map<QueueId, std::uint64_t> CountPendingJobs(const Fleet& fleet) {
  std::map<QueueId, std::uint64_t> pending;
  for (const auto& [key, job] : fleet.m_jobs) {
    if (!job->m_has_started && !job->m_is_cancelled && !job->m_has_failed) {
      ++pending[job->m_plan.m_queue.m_id];
    }
  }
  return pending;
}

std::string FindRosterError(const Fleet& fleet) {
  std::set<WorkerId> unknown;
  for (const WorkerId& id : fleet.m_roster) {
    if (fleet.m_workers.count(id) == 0) unknown.insert(id);
  }
  return unknown == fleet.m_unknown_in_roster ? "" : "unknown in roster";
}

bool IsMarkedChanged(const Job& job, ProgressPart part,
                     const TaskProgress& row) {
  const auto changed = job.m_changed_parts.find(part);
  return changed != job.m_changed_parts.end() &&
         changed->second.count(NumberOf(job, row.m_step_run, row.m_index)) > 0;
}

std::string FindRowError(const Leader& leader, const Job& job,
                         ProgressPart part) {
  const auto rows =
      leader.m_encoded_rows.find(ProgressPartKey(job.m_plan.m_key, part));
  const JobProgress progress =
      ProgressOf(job, part, leader.m_fleet.m_unix_offset_ms);
  for (const TaskProgress& row : progress.m_tasks) {
    if (IsMarkedChanged(job, part, row)) continue;
    const bool is_current =
        rows != leader.m_encoded_rows.end() &&
        rows->second.count({row.m_step_run, row.m_index}) > 0 &&
        rows->second.at({row.m_step_run, row.m_index}) ==
            WriteCbor(Encode(row));
    if (is_current) continue;
    return job.m_plan.m_key.value() + " step run " +
           std::to_string(row.m_step_run) + " task " +
           std::to_string(row.m_index);
  }
  return "";
}

}  // namespace

std::string FindRowError(const Leader& leader) {
  for (const auto& [key, job] : leader.m_fleet.m_jobs) {
    for (const ProgressPart part : job->m_taken_parts) {
      const std::string error = FindRowError(leader, *job, part);
      if (!error.empty()) return error;
    }
  }
  return "";
}

std::string FindIndexError(Fleet& fleet) {
  if (CountPending(fleet) != CountPendingJobs(fleet)) return "pending counts";
  const std::string roster_error = FindRosterError(fleet);
  if (!roster_error.empty()) return roster_error;
  const WorkerIndex kept = fleet.m_worker_index;
  for (auto& [id, worker] : fleet.m_workers) UpdateWorkerIndex(fleet, worker);
  return FindDifference(kept, fleet.m_worker_index);
}

}  // namespace daisyarch::fleet
