#include "wire/roster_entry_text.h"

#include <sstream>

namespace daisyarch::fleet {

std::string EncodeRosterEntry(const RosterEntry& entry) {
  return entry.m_address + " " + std::to_string(entry.m_incarnation.value()) +
         " " + std::to_string(entry.m_earlier_lease_until_unix_ms);
}

RosterEntry DecodeRosterEntry(const WorkerId& worker,
                              const std::string& value) {
  RosterEntry entry;
  entry.m_worker = worker;
  std::uint64_t incarnation = 0;
  std::istringstream words(value);
  words >> entry.m_address >> incarnation >>
      entry.m_earlier_lease_until_unix_ms;
  entry.m_incarnation = Incarnation(incarnation);
  return entry;
}

}  // namespace daisyarch::fleet
