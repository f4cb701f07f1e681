#include "decisions/placement/worker_index.h"

namespace daisyarch {

bool AvailableCapacityOrder::operator()(const AvailableCapacity& left,
                                        const AvailableCapacity& right) const {
  return std::tie(left.m_free.m_accelerators, left.m_free.m_processors,
                  left.m_free.m_memory, left.m_worker) <
         std::tie(right.m_free.m_accelerators, right.m_free.m_processors,
                  right.m_free.m_memory, right.m_worker);
}

// Workers without free accelerators come first, so a task that needs no
// accelerators leaves them to tasks that do. Among workers with the same number
// of free accelerators, those with too few processors are skipped together: the
// search continues at the first worker with enough.
std::optional<WorkerId> FindBestFit(const WorkerIndex& index,
                                    const Resources& demand) {
  AvailableCapacity bound{demand, WorkerId()};
  auto available = index.m_by_capacity.lower_bound(bound);
  while (available != index.m_by_capacity.end()) {
    if (Fits(demand, available->m_free)) return available->m_worker;
    if (available->m_free.m_processors < demand.m_processors) {
      bound.m_free.m_accelerators = available->m_free.m_accelerators;
      available = index.m_by_capacity.lower_bound(bound);
    } else {
      ++available;
    }
  }
  return std::nullopt;
}

}  // namespace daisyarch
