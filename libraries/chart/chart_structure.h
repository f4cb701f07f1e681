#pragma once

#include <optional>
#include <string>
#include <vector>

#include "base/result.h"
#include "chart/chart_definition.h"

namespace daisyarch {

/// Returns the index of the named state, or nothing if the chart has none.
std::optional<std::size_t> FindState(const ChartDefinition& chart,
                                     const std::string& name);

/// Returns true if no state is nested in `state`.
bool IsLeaf(const ChartDefinition& chart, std::size_t state);

/// Returns the state and its enclosing states, innermost first.
std::vector<std::size_t> Ancestry(const ChartDefinition& chart,
                                  std::size_t state);

/// Returns the leaf that is active after `state` is entered.
std::size_t InitialLeaf(const ChartDefinition& chart, std::size_t state);

/// Returns the index of the innermost state, from `leaf` outward, that handles
/// `event`, or nothing if the event is ignored or unhandled.
std::optional<std::size_t> FindHandlingState(const ChartDefinition& chart,
                                             std::size_t leaf,
                                             const std::string& event);

/// Returns, for each state, whether it is a leaf that is reachable from the
/// leaf `start`. Guards are ignored, and `start` counts as reachable.
std::vector<bool> ReachableLeaves(const ChartDefinition& chart,
                                  std::size_t start);

/// Makes the checks that do not need the program's vocabulary. Fails with
/// kInvalidArgument, file and line.
Result<void> CheckStructure(const ChartDefinition& chart);

}  // namespace daisyarch
