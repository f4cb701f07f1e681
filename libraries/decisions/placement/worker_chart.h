#pragma once

#include "base/time.h"
#include "chart/state_machine.h"
#include "decisions/placement/worker.h"

namespace daisyarch {

/// The state that the guards and actions of charts/worker.yaml read and change.
struct WorkerContext {
  Worker& m_worker;
  TimePoint m_now;
};

using WorkerStateMachine =
    StateMachine<WorkerState, WorkerEvent, WorkerContext>;

/// A worker on which this many tasks fail in a row is quarantined.
constexpr std::uint32_t kFailuresBeforeQuarantine = 3;
/// The duration of a worker's first quarantine. It doubles with each further
/// one, up to kLongestQuarantine.
constexpr Duration kFirstQuarantine = std::chrono::seconds(30);
constexpr Duration kLongestQuarantine = std::chrono::minutes(30);

ChartBinding<WorkerContext> WorkerBinding();

}  // namespace daisyarch
