#pragma once

#include <string>

#include "chart/chart_definition.h"

namespace daisyarch {

/// The chart in the DOT language.
std::string DrawChart(const ChartDefinition& chart);

}  // namespace daisyarch
