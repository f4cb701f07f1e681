#pragma once

#include <string>

#include "base/result.h"
#include "chart/chart_definition.h"

namespace daisyarch {

/// Reads a chart from YAML text. `file` appears in errors only.
/// kInvalidArgument with file, line and what was expected.
Result<ChartDefinition> ParseChart(const std::string& text,
                                   const std::string& file);

/// Reads a chart from a file; kNotFound when it cannot be opened.
Result<ChartDefinition> ParseChartFile(const std::string& path);

}  // namespace daisyarch
