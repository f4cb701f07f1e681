#pragma once

#include <string>

#include "chart/chart_definition.h"

namespace daisyarch {

/// Returns the chart as a graph in the DOT language.
std::string DrawChart(const ChartDefinition& chart);

}  // namespace daisyarch
