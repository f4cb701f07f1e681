#pragma once

#include "bench_table.h"

namespace daisyarch {

/// One observer against a majority of observers on the same seeds: false
/// suspicions, time to detect, messages.
void BenchMembership(BenchTable& table);

/// Bytes a second of heartbeats, by the number of nodes.
void BenchHeartbeats(BenchTable& table);

}  // namespace daisyarch
