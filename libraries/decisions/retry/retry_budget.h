#pragma once

#include <cstdint>

namespace daisyarch {

/// Limits retries to one tenth of the requests.
struct RetryBudget {
  /// Available retries, in tenths of a retry.
  std::int64_t m_retry_tenths = 0;
};

/// Maximum number of unused retries that accumulate.
constexpr std::int64_t kMaximumUnusedRetries = 10;

/// Adds a tenth of a retry for one request.
void CountRequest(RetryBudget& budget);

/// Spends one retry; returns false when less than one is available.
bool SpendRetry(RetryBudget& budget);

}  // namespace daisyarch
