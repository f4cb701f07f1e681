#pragma once

#include <string>

#include "base/result.h"
#include "chart/chart_definition.h"

namespace daisyarch {

/// Parses a chart from YAML text. `file` is only used in error messages.
/// Fails with kInvalidArgument, file, line and what was expected.
Result<ChartDefinition> ParseChart(const std::string& text,
                                   const std::string& file);

/// Parses a chart file; kNotFound if the file cannot be opened.
Result<ChartDefinition> ParseChartFile(const std::string& path);

}  // namespace daisyarch
