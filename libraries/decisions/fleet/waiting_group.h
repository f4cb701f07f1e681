#pragma once

#include <cstddef>
#include <cstdint>
#include <set>
#include <tuple>

namespace daisyarch::fleet {

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

/// Queued steps of one job that belong to one group, by index of the step run.
using QueuedSteps = std::set<std::size_t>;

}  // namespace daisyarch::fleet
