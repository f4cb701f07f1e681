#pragma once

#include <cstdint>
#include <string>

#include "base/random.h"
#include "base/time.h"

namespace daisyarch::soak {

/// Sizes of one seed; see docs/OPERATIONS.md for the variables that set them.
struct SoakPlan {
  std::uint64_t m_seed = 0;
  std::uint64_t m_daemons = 0;
  std::uint64_t m_workers = 0;
  Duration m_traffic{};  ///< How long jobs are submitted and faults come.
  Duration m_longest_job_interval{};
  std::string m_root;    ///< The repository.
  std::string m_build;   ///< Where the programs are.
  std::string m_folder;  ///< For settings, logs and the record.
  Random m_random;       ///< For all choices that follow.
};

/// Chooses the sizes that the environment does not set.
SoakPlan MakePlan(std::uint64_t seed, const std::string& build,
                  const std::string& root);

/// Returns the number in the environment, or the given one.
std::uint64_t NumberFrom(const char* variable, std::uint64_t absent);

/// Returns a number from `low` to `high`, both included.
std::uint64_t Choose(Random& random, std::uint64_t low, std::uint64_t high);
Duration ChooseTime(Random& random, std::int64_t low_ms, std::int64_t high_ms);

}  // namespace daisyarch::soak
