#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <utility>
#include <vector>

#include "base/resources.h"
#include "decisions/fleet/fleet_job.h"

namespace daisyarch::fleet {

/// A job with waiting steps, ordered by urgency.
using WaitingJob = std::pair<QueueRank, JobKey>;

/// A step with waiting tasks, ordered by urgency: the rank and the key of the
/// job, and the index of the step run.
using WaitingStep = std::tuple<QueueRank, JobKey, std::size_t>;

/// Jobs with steps of one group, and these steps, which the jobs hold. A new
/// rank of a job then moves one entry and not each of its steps.
using WaitingJobs = std::map<WaitingJob, const QueuedSteps*>;

/// Returns the level of a demand. There are four levels between a number of
/// processors and twice that number.
std::uint32_t LevelOf(Millicores processors);

/// Returns the smallest demand of a level.
Millicores SmallestOf(std::uint32_t level);

/// The released steps with waiting tasks.
struct WaitingSteps {
  std::map<WaitingGroup, WaitingJobs> m_groups;
};

/// Adds a job with steps of the group, which must stay at their address.
void Insert(WaitingSteps& steps, const WaitingGroup& group, WaitingJob job,
            const QueuedSteps& queued);
/// Returns whether there is any.
bool HasSteps(const WaitingSteps& steps);
void Erase(WaitingSteps& steps, const WaitingGroup& group,
           const WaitingJob& job);

/// Visits the steps of several groups, the most urgent first. The steps that
/// were visited already may be erased meanwhile, and no others; a job is erased
/// with the last of its steps.
class WaitingStepsWalk {
 public:
  /// Adds the steps of a group, which must outlive the walk.
  void AddGroup(Millicores smallest, const WaitingJobs& jobs);

  /// Returns the next step of the groups whose smallest demand is at most
  /// `largest_room`; none at the end. Later calls must not give more room.
  std::optional<WaitingStep> Next(Millicores largest_room);

 private:
  struct Position {
    Millicores m_smallest;
    WaitingJobs::const_iterator m_job;
    WaitingJobs::const_iterator m_end;
    QueuedSteps::const_iterator m_step;
  };
  struct IsLessUrgent {
    bool operator()(const Position& left, const Position& right) const;
  };

  std::vector<Position> m_positions;  ///< A heap, the most urgent first.
};

}  // namespace daisyarch::fleet
