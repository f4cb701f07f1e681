#include <csignal>
#include <iostream>

#include "soak_run.h"

// Guards against a task that starts twice or beyond its attempts, a lost job
// and a wrong state, which show only on real processes while links, leaders and
// workers fail; see docs/OPERATIONS.md.
int main(int argument_count, char** arguments) {
  using daisyarch::soak::NumberFrom;
  if (argument_count != 3) {
    std::cerr << "soak BUILD_DIRECTORY REPOSITORY\n";
    return 2;
  }
  std::signal(SIGPIPE, SIG_IGN);
  const std::uint64_t first = NumberFrom("SOAK_FIRST_SEED", 1);
  const std::uint64_t count = NumberFrom("SOAK_SEEDS", 1);
  bool holds = true;
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    holds = daisyarch::soak::RunSeed(
                daisyarch::soak::MakePlan(seed, arguments[1], arguments[2])) &&
            holds;
  }
  return holds ? 0 : 1;
}
