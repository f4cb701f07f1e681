#pragma once

#include <string>

#include "decisions/fleet/roster.h"

namespace daisyarch::fleet {

/// Returns the stored value of a worker's entry: its address, its incarnation
/// and the end of its earlier lease in Unix ms, separated by spaces.
std::string EncodeRosterEntry(const RosterEntry& entry);
/// Reads it. A value of an earlier version holds the address alone.
RosterEntry DecodeRosterEntry(const WorkerId& worker, const std::string& value);

}  // namespace daisyarch::fleet
