#pragma once

#include "bench_table.h"

namespace daisyarch {

/// What each class and member keeps while another floods in, against a
/// first-come first-served queue on the same arrivals.
void BenchFloods(BenchTable& table);

/// How often requests are sent while half of the endpoints fail.
void BenchRetries(BenchTable& table);

}  // namespace daisyarch
