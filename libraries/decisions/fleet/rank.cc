#include "decisions/fleet/rank.h"

#include <algorithm>

namespace daisyarch::fleet {

namespace {

// Between calls the loop handles other events.
constexpr std::size_t kRankedJobsPerCall = 1024;
// A job that ends later than this multiple of its objective has no value.
constexpr int kObjectivesUntilExpiry = 3;

// A job's rank, and when it changes unless the job does.
struct TimedRank {
  QueueRank m_rank;
  TimePoint m_until = TimePoint::max();
};

TimedRank RankAt(const Job& job, TimePoint now) {
  TimedRank timed{job.m_rank};
  QueueRank& rank = timed.m_rank;
  rank.m_priority = job.m_priority;
  const Duration path = job.m_queued_paths.empty()
                            ? Duration{}
                            : job.m_queued_paths.rbegin()->first;
  const TimePoint due = job.m_accepted_at + job.m_objective;
  const TimePoint last =
      job.m_accepted_at + job.m_objective * kObjectivesUntilExpiry;
  rank.m_due = due;
  const bool is_expired = now + path > last;
  // A service has no deadline, and is unavailable until it runs.
  if (job.m_is_service) {
    rank.m_tier = QueueTier::kPlaced;
  } else if (is_expired) {
    rank.m_tier = QueueTier::kExpired;
  } else if (job.m_was_placed) {
    rank.m_tier = QueueTier::kPlaced;
    timed.m_until = last - path;
  } else if (now + path <= due) {
    rank.m_tier = QueueTier::kOnTime;
    timed.m_until = due - path;
  } else {
    rank.m_tier = QueueTier::kLate;
    timed.m_until = last - path;
  }
  return timed;
}

// Moves the job to its place under the new rank.
void SetRank(Fleet& fleet, Job& job, const QueueRank& rank) {
  if (job.m_rank == rank) return;
  for (const auto& [queue, steps] : job.m_queues) {
    WaitingSteps& waiting = WaitingStepsOf(fleet, queue.first);
    Erase(waiting, queue.second, {job.m_rank, job.m_plan.m_key});
    Insert(waiting, queue.second, {rank, job.m_plan.m_key}, steps);
    fleet.m_needs_placement = true;
  }
  job.m_rank = rank;
}

void RefreshRank(Fleet& fleet, const JobKey& key, TimePoint now) {
  ++fleet.m_work.m_jobs;
  Job* job = FindJob(fleet, key);
  if (job == nullptr) return;
  const TimedRank timed = RankAt(*job, now);
  SetRank(fleet, *job, timed.m_rank);
  SetRankTimer(fleet, *job,
               job->m_queued_steps > 0 ? timed.m_until : TimePoint::max());
}

}  // namespace

WaitingSteps& WaitingStepsOf(Fleet& fleet, ProcessorUse use) {
  return use == ProcessorUse::kBestEffort ? fleet.m_waiting_best_effort
                                          : fleet.m_waiting_reserved;
}

void UpdateObjective(const Fleet& fleet, Job& job) {
  const Queue& settings = QueueSettingsOf(fleet, job);
  const auto stretched_path = std::chrono::duration_cast<Duration>(
      job.m_critical_path * settings.m_stretch);
  job.m_objective = stretched_path + settings.m_target;
  job.m_priority = settings.m_priority;
  job.m_maximum_attempts = settings.m_maximum_attempts;
}

void SetRankTimer(Fleet& fleet, Job& job, TimePoint at) {
  if (job.m_rank_timer_at == at) return;
  const JobKey& key = job.m_plan.m_key;
  if (job.m_rank_timer_at != TimePoint::max()) {
    fleet.m_rank_timers.erase({job.m_rank_timer_at, key});
  }
  if (at != TimePoint::max()) fleet.m_rank_timers.emplace(at, key);
  job.m_rank_timer_at = at;
}

bool RefreshRanks(Fleet& fleet, TimePoint now) {
  auto& timers = fleet.m_rank_timers;
  std::size_t left = kRankedJobsPerCall;
  for (; left > 0 && !timers.empty() && timers.begin()->first < now; --left) {
    Job* job = FindJob(fleet, timers.begin()->second);
    fleet.m_unranked_jobs.insert(timers.begin()->second);
    SetRankTimer(fleet, *job, TimePoint::max());
  }
  // The order of the keys is no order of jobs, so each gets its turn.
  auto next = fleet.m_unranked_jobs.upper_bound(fleet.m_last_ranked_job);
  for (left = kRankedJobsPerCall; left > 0; --left) {
    if (fleet.m_unranked_jobs.empty()) break;
    if (next == fleet.m_unranked_jobs.end()) {
      next = fleet.m_unranked_jobs.begin();
    }
    fleet.m_last_ranked_job = *next;
    next = fleet.m_unranked_jobs.erase(next);
    RefreshRank(fleet, fleet.m_last_ranked_job, now);
  }
  return fleet.m_unranked_jobs.empty();
}

}  // namespace daisyarch::fleet
