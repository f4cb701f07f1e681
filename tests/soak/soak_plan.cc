#include "soak_plan.h"

#include <cstdlib>

namespace daisyarch::soak {

std::uint64_t NumberFrom(const char* variable, std::uint64_t absent) {
  constexpr int kDecimal = 10;
  const char* text = std::getenv(variable);
  return text == nullptr ? absent : std::strtoull(text, nullptr, kDecimal);
}

std::uint64_t Choose(Random& random, std::uint64_t low, std::uint64_t high) {
  return low + NextBelow(random, high - low + 1);
}

Duration ChooseTime(Random& random, std::int64_t low_ms, std::int64_t high_ms) {
  return FromMilliseconds(static_cast<std::int64_t>(
      Choose(random, static_cast<std::uint64_t>(low_ms),
             static_cast<std::uint64_t>(high_ms))));
}

SoakPlan MakePlan(std::uint64_t seed, const std::string& build,
                  const std::string& root) {
  constexpr std::uint64_t kSeconds = 30;
  constexpr std::uint64_t kIntervalMs = 500;
  constexpr std::uint64_t kOneLargeIn = 12;
  SoakPlan plan;
  plan.m_seed = seed;
  plan.m_random.m_state = seed;
  plan.m_root = root;
  plan.m_build = build;
  // Below the build, so that builds that are tested at a time share no files.
  const char* folder = std::getenv("SOAK_FOLDER");
  plan.m_folder = (folder == nullptr ? build : std::string(folder)) + "/soak-" +
                  std::to_string(seed);
  // Drawn in any case, so that the rest of the seed stays the same.
  const bool is_large = NextBelow(plan.m_random, kOneLargeIn) == 0;
  const std::uint64_t daemons =
      is_large ? Choose(plan.m_random, 6, 12) : Choose(plan.m_random, 3, 6);
  const std::uint64_t workers =
      is_large ? Choose(plan.m_random, 200, 300) : Choose(plan.m_random, 6, 40);
  plan.m_daemons = NumberFrom("SOAK_DAEMONS", daemons);
  plan.m_workers = NumberFrom("SOAK_WORKERS", workers);
  plan.m_traffic = std::chrono::seconds(NumberFrom("SOAK_SECONDS", kSeconds));
  plan.m_longest_job_interval = std::chrono::milliseconds(
      NumberFrom("SOAK_JOB_INTERVAL_MS", kIntervalMs));
  return plan;
}

}  // namespace daisyarch::soak
