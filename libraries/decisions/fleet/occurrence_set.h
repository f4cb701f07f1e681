#pragma once

#include <cstdint>
#include <map>

namespace daisyarch::fleet {

/// A set of a job's occurrences. Its size grows with the gaps between them.
struct OccurrenceSet {
  /// The first of each range, and the one past its last.
  std::map<std::uint32_t, std::uint32_t> m_ranges;
};

void Insert(OccurrenceSet& set, std::uint32_t occurrence);
bool Contains(const OccurrenceSet& set, std::uint32_t occurrence);
/// Returns the first occurrence from `occurrence` on that is not in the set.
std::uint32_t NextOutside(const OccurrenceSet& set, std::uint32_t occurrence);

}  // namespace daisyarch::fleet
