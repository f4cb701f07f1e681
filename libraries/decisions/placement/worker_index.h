#pragma once

#include <optional>
#include <set>
#include <tuple>

#include "base/ids.h"
#include "base/resources.h"

namespace daisyarch {

/// The unreserved capacity of one worker.
struct AvailableCapacity {
  Resources m_free;
  WorkerId m_worker;
};

/// Orders by accelerators, then processors, then memory, so that the first
/// worker with enough capacity is the best fit.
struct AvailableCapacityOrder {
  bool operator()(const AvailableCapacity& left,
                  const AvailableCapacity& right) const;
};

/// The workers that accept tasks, ordered by available capacity.
struct WorkerIndex {
  std::set<AvailableCapacity, AvailableCapacityOrder> m_by_capacity;
};

/// Returns the worker with the least available capacity that fits `demand`, or
/// nothing when none fits.
std::optional<WorkerId> FindBestFit(const WorkerIndex& index,
                                    const Resources& demand);

}  // namespace daisyarch
