#pragma once

#include <optional>
#include <string>
#include <vector>

#include "base/result.h"
#include "chart/chart_definition.h"

namespace daisyarch {

/// The index of the named state; nothing if the chart has none.
std::optional<std::size_t> FindState(const ChartDefinition& chart,
                                     const std::string& name);

/// True when no other state names `state` as its parent.
bool IsLeaf(const ChartDefinition& chart, std::size_t state);

/// The state and its parents, innermost first.
std::vector<std::size_t> Ancestry(const ChartDefinition& chart,
                                  std::size_t state);

/// The leaf that is active after `state` is entered.
std::size_t InitialLeaf(const ChartDefinition& chart, std::size_t state);

/// The transitions of the innermost state that handles `event`, by the
/// index of that state; nothing when the event is ignored or unhandled.
std::optional<std::size_t> FindHandlingState(const ChartDefinition& chart,
                                             std::size_t leaf,
                                             const std::string& event);

/// The leaves that can be reached from `start`, itself included.
std::vector<bool> ReachableLeaves(const ChartDefinition& chart,
                                  std::size_t start);

/// Checks all that needs no vocabulary; kInvalidArgument with file and line.
Result<void> CheckStructure(const ChartDefinition& chart);

}  // namespace daisyarch
