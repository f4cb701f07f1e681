#include "decisions/fleet/occurrence_set.h"

#include <iterator>

namespace daisyarch::fleet {

void Insert(OccurrenceSet& set, std::uint32_t occurrence) {
  if (Contains(set, occurrence)) return;
  auto& ranges = set.m_ranges;
  std::uint32_t end = occurrence + 1;
  const auto next = ranges.find(end);
  if (next != ranges.end()) {
    end = next->second;
    ranges.erase(next);
  }
  const auto after = ranges.upper_bound(occurrence);
  if (after != ranges.begin() && std::prev(after)->second == occurrence) {
    std::prev(after)->second = end;
  } else {
    ranges.emplace_hint(after, occurrence, end);
  }
}

bool Contains(const OccurrenceSet& set, std::uint32_t occurrence) {
  return NextOutside(set, occurrence) != occurrence;
}

std::uint32_t NextOutside(const OccurrenceSet& set, std::uint32_t occurrence) {
  const auto after = set.m_ranges.upper_bound(occurrence);
  if (after == set.m_ranges.begin()) return occurrence;
  const std::uint32_t end = std::prev(after)->second;
  return occurrence < end ? end : occurrence;
}

}  // namespace daisyarch::fleet
