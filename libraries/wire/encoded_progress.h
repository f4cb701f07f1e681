#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "decisions/fleet/job_progress.h"

// A part of a job's progress is stored as one value, which is written whole
// when one of its rows has changed. The other rows are not encoded again.

namespace daisyarch::fleet {

/// The encoded rows of one part, by index of the step run and of the task.
using EncodedRows =
    std::map<std::pair<std::uint32_t, std::uint32_t>, std::string>;

/// Encodes the rows and replaces those of the same tasks.
void ReplaceRows(EncodedRows& rows, const std::vector<TaskProgress>& changed);

/// Returns the CBOR bytes of `progress` with these rows in place of its own.
std::string WriteProgress(const JobProgress& progress, const EncodedRows& rows);

}  // namespace daisyarch::fleet
