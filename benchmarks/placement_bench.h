#pragma once

#include "bench_table.h"

namespace daisyarch {

/// Measures the time per task start by number of workers, compares packing with
/// a linear scan, and measures the wait of urgent tasks behind queued batch
/// work.
void BenchPlacement(BenchTable& table);

/// Measures the store calls per second of idle nodes and of task starts.
void BenchStoreCalls(BenchTable& table);

/// Measures the encoded size of the messages and records whose number grows
/// with the workers and tasks of a site.
void BenchMessages(BenchTable& table);

/// Compares the time of a state machine's step with a lookup by state and event
/// names.
void BenchChart(BenchTable& table);

}  // namespace daisyarch
