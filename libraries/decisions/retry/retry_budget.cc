#include "decisions/retry/retry_budget.h"

#include <algorithm>

namespace daisyarch {

namespace {
constexpr std::int64_t kTenthsPerRetry = 10;
}  // namespace

void CountRequest(RetryBudget& budget) {
  budget.m_retry_tenths = std::min(budget.m_retry_tenths + 1,
                                   kMaximumUnusedRetries * kTenthsPerRetry);
}

bool SpendRetry(RetryBudget& budget) {
  if (budget.m_retry_tenths < kTenthsPerRetry) return false;
  budget.m_retry_tenths -= kTenthsPerRetry;
  return true;
}

}  // namespace daisyarch
