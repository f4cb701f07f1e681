#pragma once

#include "bench_table.h"

namespace daisyarch {

/// Compares detection by one observer with detection by a majority of observers
/// on the same seeds: false suspicions, time to detect and messages.
void BenchMembership(BenchTable& table);

/// Measures the size of a heartbeat with its answer, and the bytes per second
/// of one of 8 nodes.
void BenchHeartbeats(BenchTable& table);

}  // namespace daisyarch
