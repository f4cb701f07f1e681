#include "decisions/placement/worker_index.h"

#include <catch2/catch.hpp>
#include <vector>

#include "base/random.h"

namespace daisyarch {

namespace {

Resources RandomResources(Random& random, std::uint64_t limit) {
  return Resources{
      Millicores(static_cast<std::int64_t>(NextBelow(random, limit))),
      Mebibytes(static_cast<std::int64_t>(NextBelow(random, limit))),
      Accelerators(static_cast<std::int64_t>(NextBelow(random, 3)))};
}

// Checks every worker.
bool AnyFits(const std::vector<AvailableCapacity>& workers,
             const Resources& demand) {
  for (const AvailableCapacity& available : workers) {
    if (Fits(demand, available.m_free)) return true;
  }
  return false;
}

}  // namespace

TEST_CASE("The index finds a fit exactly when a full scan does") {
  Random random{5};
  for (int round = 0; round < 300; ++round) {
    WorkerIndex index;
    std::vector<AvailableCapacity> workers;
    for (std::uint64_t worker = 0; worker < 1 + NextBelow(random, 40);
         ++worker) {
      workers.push_back(
          AvailableCapacity{RandomResources(random, 100),
                            WorkerId("w" + std::to_string(worker))});
      index.m_by_capacity.insert(workers.back());
    }
    for (int query = 0; query < 30; ++query) {
      const Resources demand = RandomResources(random, 110);
      const auto found = FindBestFit(index, demand);
      CHECK(found.has_value() == AnyFits(workers, demand));
      if (!found) continue;
      for (const AvailableCapacity& available : workers) {
        if (available.m_worker == *found) CHECK(Fits(demand, available.m_free));
      }
    }
  }
}

TEST_CASE("A task without accelerators avoids workers that have free ones") {
  WorkerIndex index;
  const Resources with_accelerators{Millicores(100), Mebibytes(100),
                                    Accelerators(4)};
  const Resources without_accelerators{Millicores(900), Mebibytes(900),
                                       Accelerators()};
  index.m_by_capacity.insert(
      AvailableCapacity{with_accelerators, WorkerId("with")});
  index.m_by_capacity.insert(
      AvailableCapacity{without_accelerators, WorkerId("without")});
  const Resources demand{Millicores(50), Mebibytes(50), Accelerators()};
  CHECK(FindBestFit(index, demand) == WorkerId("without"));
}

}  // namespace daisyarch
