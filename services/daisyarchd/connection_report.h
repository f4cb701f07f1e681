#pragma once

#include "http/memory_budget.h"
#include "metrics/metrics.h"

namespace daisyarch {

/// Counts each refusal from now on, and logs one of each cause a second.
void ReportRefusals(MemoryBudget& budget, Metrics& metrics);

/// Sets the gauges of held bytes and connections by kind.
void ExportBudget(const MemoryBudget& budget, Metrics& metrics);

}  // namespace daisyarch
