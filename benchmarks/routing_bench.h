#pragma once

#include "bench_table.h"

namespace daisyarch {

/// Compares the 99th percentile of the latency under the router's choice of
/// endpoints with random, round-robin and least-loaded choice, and with the
/// ideal choice for a single queue, on the same arrivals.
void BenchRouting(BenchTable& table);

}  // namespace daisyarch
