#pragma once

#include <optional>
#include <set>
#include <tuple>

#include "base/ids.h"
#include "base/resources.h"

namespace daisyarch {

/// The room of one worker.
struct WorkerRoom {
  Resources m_free;
  WorkerId m_worker;
};

/// Orders by accelerators, then processors, then memory, so that the first
/// worker with enough is the one whose room fits most tightly.
struct WorkerRoomOrder {
  bool operator()(const WorkerRoom& left, const WorkerRoom& right) const;
};

/// The workers that accept tasks, ordered by their room.
struct WorkerIndex {
  std::set<WorkerRoom, WorkerRoomOrder> m_rooms;
};

/// The worker whose room fits `demand` most tightly; nothing if none does.
std::optional<WorkerId> FindTightestFit(const WorkerIndex& index,
                                        const Resources& demand);

}  // namespace daisyarch
