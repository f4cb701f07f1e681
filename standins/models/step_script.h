#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/time.h"

namespace daisyarch {

/// How the stand-in of the workers plays the tasks of a step. A job's payload
/// holds one for each step.
struct StepScript {
  Duration m_work{};                 ///< 0: until it is stopped.
  std::uint64_t m_fail_percent = 0;  ///< Share of the runs that fail.
  std::uint32_t m_gang_size = 0;     ///< 0: no gang.
};

/// Writes a payload; `name` makes it different from those of other jobs.
std::string WriteScripts(const std::string& name,
                         const std::vector<StepScript>& scripts);

/// Returns the script of one step; one of 1 s where the payload has none.
StepScript ReadScript(const std::string& payload, std::uint32_t step);

}  // namespace daisyarch
