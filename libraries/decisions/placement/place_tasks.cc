#include <algorithm>
#include <vector>

#include "decisions/placement/partition_engine.h"
#include "decisions/quota/quota.h"

namespace daisyarch {

namespace {

/// Tasks placed per call; the rest wait for the next group commit.
constexpr std::size_t kMaximumPlacementsPerRound = 1000;
/// Jobs of one team that are tried for one placement.
constexpr std::size_t kMaximumJobsTriedPerTeam = 32;

struct PlacementRound {
  PartitionEngine& m_engine;
  const PlacementStateMachines& m_state_machines;
  const Configuration& m_configuration;
  std::size_t m_partitions;
  Millicores m_capacity;  ///< Of all listed workers.
  Millicores m_free;      ///< On workers that accept tasks.
};

struct ClassCandidate {
  ClassId m_class;
  bool m_is_below_guaranteed_share = false;
  std::int64_t m_start_by = 0;  ///< Earliest deadline, Unix milliseconds.
};

bool IsPlacedBefore(const ClassCandidate& left, const ClassCandidate& right) {
  if (left.m_is_below_guaranteed_share != right.m_is_below_guaranteed_share) {
    return left.m_is_below_guaranteed_share;
  }
  return left.m_start_by < right.m_start_by;
}

Millicores ReservedBy(const PlacementRound& round, const ClassId& class_id) {
  const auto& usage = round.m_engine.m_state.m_class_usage;
  const auto found = usage.find(class_id);
  if (found == usage.end()) return Millicores();
  return found->second.m_reserved.m_processors;
}

Millicores GuaranteedShareOf(const PlacementRound& round,
                             const ClassId& class_id) {
  const ClassTarget* target = FindClass(round.m_configuration, class_id);
  if (target == nullptr) return Millicores();
  return GuaranteedShare(*target, round.m_capacity);
}

std::vector<ClassCandidate> OrderClasses(const PlacementRound& round) {
  std::vector<ClassCandidate> order;
  for (const auto& [class_id, teams] :
       round.m_engine.m_state.m_queue.m_classes) {
    ClassCandidate candidate;
    candidate.m_class = class_id;
    candidate.m_is_below_guaranteed_share =
        ReservedBy(round, class_id) < GuaranteedShareOf(round, class_id);
    candidate.m_start_by = teams.begin()->second.m_tasks.begin()->first;
    for (const auto& [team, queue] : teams) {
      candidate.m_start_by =
          std::min(candidate.m_start_by, queue.m_tasks.begin()->first);
    }
    order.push_back(candidate);
  }
  std::sort(order.begin(), order.end(), IsPlacedBefore);
  return order;
}

// Teams with the least reserved processors come first, so that a flood of
// submissions from one team does not starve the others.
std::vector<TeamId> OrderTeams(const PlacementRound& round,
                               const ClassId& class_id) {
  const PartitionState& state = round.m_engine.m_state;
  std::vector<std::pair<Millicores, TeamId>> ranked;
  for (const auto& [team, queue] : state.m_queue.m_classes.at(class_id)) {
    const auto usage = state.m_team_usage.find(team);
    const Millicores held = usage == state.m_team_usage.end()
                                ? Millicores()
                                : usage->second.m_reserved.m_processors;
    ranked.emplace_back(held, team);
  }
  std::sort(ranked.begin(), ranked.end());
  std::vector<TeamId> order;
  order.reserve(ranked.size());
  for (auto& entry : ranked) order.push_back(std::move(entry.second));
  return order;
}

bool HasQuota(const PlacementRound& round, const TeamId& team,
              const Resources& demand) {
  const auto& usage = round.m_engine.m_state.m_team_usage;
  const auto held = usage.find(team);
  return IsWithinQuota(
      round.m_configuration, team,
      held == usage.end() ? Resources() : held->second.m_reserved, demand,
      round.m_partitions);
}

bool LeavesHeadroom(const PlacementRound& round, const ClassId& class_id,
                    const Resources& demand) {
  if (ReservedBy(round, class_id) + demand.m_processors <=
      GuaranteedShareOf(round, class_id)) {
    return true;
  }
  const Millicores headroom =
      HeadroomForOthers(round.m_configuration, round.m_engine.m_class_demands,
                        round.m_engine.m_state, class_id, round.m_capacity);
  return round.m_free - demand.m_processors >= headroom;
}

void AssignTask(PlacementRound& round, const TaskId& id,
                const WorkerId& worker) {
  PartitionEngine& engine = round.m_engine;
  Task& task = engine.m_state.m_tasks.at(id);
  const TaskAssigned record{id, task.m_attempt, worker,
                            engine.m_state.m_workers.at(worker).m_incarnation};
  CommitRecord(engine, round.m_state_machines, record);
  task.m_is_assignment_durable = false;
  engine.m_queued_effects.emplace_back(DeferredStart{id, task.m_attempt});
}

// Places one task of the team, the earliest start deadline first. A task that
// currently fits no worker does not block smaller ones.
bool PlaceTaskOfTeam(PlacementRound& round, const ClassId& class_id,
                     const TeamId& team) {
  PartitionState& state = round.m_engine.m_state;
  const auto& tasks = state.m_queue.m_classes.at(class_id).at(team).m_tasks;
  std::size_t jobs_tried = 0;
  JobId tried;
  for (const auto& [start_by, task] : tasks) {
    // The tasks of one job have the same demand, so one try per job suffices.
    if (jobs_tried > 0 && task.m_job == tried) continue;
    if (++jobs_tried > kMaximumJobsTriedPerTeam) return false;
    tried = task.m_job;
    const Resources demand = state.m_jobs.at(task.m_job).m_request.m_demand;
    if (!HasQuota(round, team, demand)) continue;
    if (!LeavesHeadroom(round, class_id, demand)) continue;
    const auto worker = FindBestFit(state.m_index, demand);
    if (!worker) continue;
    // A copy, because assigning the task removes it from the queue.
    const TaskId placed = task;
    AssignTask(round, placed, *worker);
    round.m_free -= demand.m_processors;
    return true;
  }
  return false;
}

// Places one task of the first team for which a task can be placed.
bool PlaceTaskOfClass(PlacementRound& round, const ClassId& class_id) {
  for (const TeamId& team : OrderTeams(round, class_id)) {
    if (PlaceTaskOfTeam(round, class_id, team)) return true;
  }
  return false;
}

bool PlaceTaskOfAnyClass(PlacementRound& round) {
  for (const ClassCandidate& candidate : OrderClasses(round)) {
    if (PlaceTaskOfClass(round, candidate.m_class)) return true;
  }
  return false;
}

void SumCapacity(PlacementRound& round) {
  for (const auto& [id, worker] : round.m_engine.m_state.m_workers) {
    if (!worker.m_is_listed) continue;
    round.m_capacity += worker.m_capacity.m_processors;
  }
  for (const AvailableCapacity& available :
       round.m_engine.m_state.m_index.m_by_capacity) {
    round.m_free += available.m_free.m_processors;
  }
}

}  // namespace

// FIXME: A large task can starve while small tasks take all capacity that
// becomes available. Reserve capacity for the oldest queued task.
std::size_t PlaceTasks(PartitionEngine& engine,
                       const PlacementStateMachines& state_machines,
                       const Configuration& configuration,
                       std::size_t partitions, TimePoint now) {
  if (engine.m_state.m_queue.m_size == 0) return 0;
  UpdateClassDemands(engine.m_class_demands, engine.m_state, now);
  PlacementRound round{engine, state_machines, configuration, partitions, {},
                       {}};
  SumCapacity(round);
  std::size_t placed = 0;
  while (placed < kMaximumPlacementsPerRound &&
         engine.m_journal.m_queue.size() < kMaximumQueuedRecords) {
    if (!PlaceTaskOfAnyClass(round)) break;
    ++placed;
  }
  return placed;
}

}  // namespace daisyarch
