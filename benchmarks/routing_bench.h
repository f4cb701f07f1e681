#pragma once

#include "bench_table.h"

namespace daisyarch {

/// Choice of endpoints against random, round robin and least loaded, on the
/// same arrivals, and against the ideal single queue.
void BenchRouting(BenchTable& table);

}  // namespace daisyarch
