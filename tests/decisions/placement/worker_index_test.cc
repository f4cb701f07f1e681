#include "decisions/placement/worker_index.h"

#include <catch2/catch.hpp>
#include <vector>

#include "base/random.h"

namespace daisyarch {

namespace {

Resources RandomResources(Random& random, std::uint64_t most) {
  return Resources{
      Millicores(static_cast<std::int64_t>(NextBelow(random, most))),
      Mebibytes(static_cast<std::int64_t>(NextBelow(random, most))),
      Accelerators(static_cast<std::int64_t>(NextBelow(random, 3)))};
}

// Looks at every worker.
bool AnyFits(const std::vector<WorkerRoom>& rooms, const Resources& demand) {
  for (const WorkerRoom& room : rooms) {
    if (Fits(demand, room.m_free)) return true;
  }
  return false;
}

}  // namespace

TEST_CASE("The index finds room exactly where a full scan does") {
  Random random{5};
  for (int round = 0; round < 300; ++round) {
    WorkerIndex index;
    std::vector<WorkerRoom> rooms;
    for (std::uint64_t worker = 0; worker < 1 + NextBelow(random, 40);
         ++worker) {
      rooms.push_back(WorkerRoom{RandomResources(random, 100),
                                 WorkerId("w" + std::to_string(worker))});
      index.m_rooms.insert(rooms.back());
    }
    for (int ask = 0; ask < 30; ++ask) {
      const Resources demand = RandomResources(random, 110);
      const auto found = FindTightestFit(index, demand);
      CHECK(found.has_value() == AnyFits(rooms, demand));
      if (!found) continue;
      for (const WorkerRoom& room : rooms) {
        if (room.m_worker == *found) CHECK(Fits(demand, room.m_free));
      }
    }
  }
}

TEST_CASE("A task without need of accelerators leaves them free") {
  WorkerIndex index;
  const Resources with{Millicores(100), Mebibytes(100), Accelerators(4)};
  const Resources without{Millicores(900), Mebibytes(900), Accelerators()};
  index.m_rooms.insert(WorkerRoom{with, WorkerId("with")});
  index.m_rooms.insert(WorkerRoom{without, WorkerId("without")});
  const Resources demand{Millicores(50), Mebibytes(50), Accelerators()};
  CHECK(FindTightestFit(index, demand) == WorkerId("without"));
}

}  // namespace daisyarch
