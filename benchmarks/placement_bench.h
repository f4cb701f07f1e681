#pragma once

#include "bench_table.h"

namespace daisyarch {

/// Cost of a start by the number of workers, packing against a naive scan,
/// and the start of urgent work in a flood.
void BenchPlacement(BenchTable& table);

/// Calls on the store by task starts and by nodes.
void BenchStoreCalls(BenchTable& table);

/// Bytes of the messages that the target's size multiplies.
void BenchMessages(BenchTable& table);

/// The time of a chart's step against a walk of strings.
void BenchChart(BenchTable& table);

}  // namespace daisyarch
