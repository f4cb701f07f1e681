#pragma once

#include <optional>
#include <set>
#include <tuple>

#include "base/ids.h"
#include "base/resources.h"

namespace daisyarch {

/// The room of one worker.
struct AvailableCapacity {
  Resources m_free;
  WorkerId m_worker;
};

/// Orders by accelerators, then processors, then memory, so that the first
/// worker with enough is the one whose room fits most tightly.
struct AvailableCapacityOrder {
  bool operator()(const AvailableCapacity& left,
                  const AvailableCapacity& right) const;
};

/// The workers that accept tasks, ordered by their room.
struct WorkerIndex {
  std::set<AvailableCapacity, AvailableCapacityOrder> m_by_capacity;
};

/// The worker whose room fits `demand` most tightly; nothing if none does.
std::optional<WorkerId> FindBestFit(const WorkerIndex& index,
                                    const Resources& demand);

}  // namespace daisyarch
