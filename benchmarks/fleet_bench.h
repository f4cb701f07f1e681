#pragma once

#include "bench_table.h"

namespace daisyarch {

/// Measures the processor time of a placement pass of the users' platform, with
/// thousands of waiting tasks.
void BenchFleet(BenchTable& table);

}  // namespace daisyarch
