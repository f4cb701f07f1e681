#pragma once

#include "bench_table.h"

namespace daisyarch {

/// Measures the time to the end of jobs whose tasks run faster near their data,
/// by how long the tasks wait for such a place.
void BenchNearPlaces(BenchTable& table);

}  // namespace daisyarch
