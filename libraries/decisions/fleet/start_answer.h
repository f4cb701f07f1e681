#pragma once

#include <optional>

#include "decisions/fleet/fleet.h"

namespace daisyarch::fleet {

/// The answer to a start order, or that there was none.
struct StartAnswer {
  StartOutcome m_outcome = StartOutcome::kUnanswered;
  std::optional<WorkerMilliseconds> m_clock;  ///< The worker's, if it told it.
};

/// Applies the answer. If it may come from a later incarnation of the worker
/// than the one that the order was meant for, the order counts as unanswered.
/// Returns the outcome that was applied.
StartOutcome ApplyStartAnswer(Fleet& fleet, const StartOrder& order,
                              const StartAnswer& answer, TimePoint now);

}  // namespace daisyarch::fleet
