#pragma once

#include <cstdint>

namespace daisyarch {

/// Bounds retries to a tenth of the requests, counted in tenths.
struct RetryBudget {
  std::int64_t m_tenths = 0;
};

/// The most retries that a quiet time can save up.
constexpr std::int64_t kMaximumSavedRetries = 10;

/// Earns a tenth of a retry.
void CountRequest(RetryBudget& budget);

/// Spends one retry; false when the budget does not hold one.
bool SpendRetry(RetryBudget& budget);

}  // namespace daisyarch
