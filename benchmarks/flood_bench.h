#pragma once

#include "bench_table.h"

namespace daisyarch {

/// Measures how many requests of each class and member are served within their
/// target while another class or member overloads the node. Compares admission
/// with a first-come, first-served queue on the same arrivals.
void BenchOverload(BenchTable& table);

/// Measures the sends per request while half of the endpoints fail.
void BenchRetries(BenchTable& table);

}  // namespace daisyarch
