#pragma once

#include "base/time.h"
#include "chart/state_machine.h"
#include "decisions/placement/worker.h"

namespace daisyarch {

/// What the guards and actions of charts/worker.yaml read and change.
struct WorkerContext {
  Worker& m_worker;
  TimePoint m_now;
};

using WorkerMachine = StateMachine<WorkerState, WorkerEvent, WorkerContext>;

/// A worker that fails this many tasks in a row is set aside.
constexpr std::uint32_t kFailuresBeforeSetAside = 3;
/// The first time for which a worker is set aside; it doubles up to the
/// longest.
constexpr Duration kFirstSetAside = std::chrono::seconds(30);
constexpr Duration kLongestSetAside = std::chrono::minutes(30);

ChartBinding<WorkerContext> WorkerBinding();

}  // namespace daisyarch
