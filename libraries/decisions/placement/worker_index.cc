#include "decisions/placement/worker_index.h"

namespace daisyarch {

bool WorkerRoomOrder::operator()(const WorkerRoom& left,
                                 const WorkerRoom& right) const {
  return std::tie(left.m_free.m_accelerators, left.m_free.m_processors,
                  left.m_free.m_memory, left.m_worker) <
         std::tie(right.m_free.m_accelerators, right.m_free.m_processors,
                  right.m_free.m_memory, right.m_worker);
}

// Workers without free accelerators come first, so a task that needs none
// leaves the accelerators to those that do. Within one count of accelerators
// the search starts at the first worker with enough processors; one with too
// few is jumped over together with all that are tighter.
std::optional<WorkerId> FindTightestFit(const WorkerIndex& index,
                                        const Resources& demand) {
  WorkerRoom bound{demand, WorkerId()};
  auto room = index.m_rooms.lower_bound(bound);
  while (room != index.m_rooms.end()) {
    if (Fits(demand, room->m_free)) return room->m_worker;
    if (room->m_free.m_processors < demand.m_processors) {
      bound.m_free.m_accelerators = room->m_free.m_accelerators;
      room = index.m_rooms.lower_bound(bound);
    } else {
      ++room;
    }
  }
  return std::nullopt;
}

}  // namespace daisyarch
