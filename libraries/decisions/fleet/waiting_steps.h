#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <vector>

#include "base/resources.h"
#include "decisions/fleet/fleet_job.h"

namespace daisyarch::fleet {

/// A step with waiting tasks, ordered by urgency: the rank and the key of the
/// job, and the index of the step run.
using WaitingStep = std::tuple<QueueRank, JobKey, std::size_t>;

/// Steps that need a similar number of processors, ordered by that number. A
/// pass skips a whole group if no worker has room for its smallest member.
struct WaitingGroup {
  /// An earlier leader may run tasks of the steps' jobs.
  bool m_is_inherited = false;
  std::uint32_t m_level = 0;  ///< See LevelOf().

  friend bool operator<(const WaitingGroup& left, const WaitingGroup& right) {
    return std::tie(left.m_is_inherited, left.m_level) <
           std::tie(right.m_is_inherited, right.m_level);
  }
};

/// Returns the level of a demand. There are four levels between a number of
/// processors and twice that number.
std::uint32_t LevelOf(Millicores processors);

/// Returns the smallest demand of a level.
Millicores SmallestOf(std::uint32_t level);

/// The released steps with waiting tasks.
struct WaitingSteps {
  std::map<WaitingGroup, std::set<WaitingStep>> m_groups;
};

void Insert(WaitingSteps& steps, const WaitingGroup& group, WaitingStep step);
/// Returns whether there is any.
bool HasSteps(const WaitingSteps& steps);
void Erase(WaitingSteps& steps, const WaitingGroup& group,
           const WaitingStep& step);

/// Visits the steps of several groups, the most urgent first. The steps that
/// were visited already may be erased meanwhile, and no others.
class WaitingStepsWalk {
 public:
  /// Adds the steps of a group, which must outlive the walk.
  void AddGroup(Millicores smallest, const std::set<WaitingStep>& steps);

  /// Returns the next step of the groups whose smallest demand is at most
  /// `largest_room`; none at the end. Later calls must not give more room.
  std::optional<WaitingStep> Next(Millicores largest_room);

 private:
  struct Position {
    Millicores m_smallest;
    std::set<WaitingStep>::const_iterator m_next;
    std::set<WaitingStep>::const_iterator m_end;
  };
  struct IsLessUrgent {
    bool operator()(const Position& left, const Position& right) const;
  };

  std::vector<Position> m_positions;  ///< A heap, the most urgent first.
};

}  // namespace daisyarch::fleet
