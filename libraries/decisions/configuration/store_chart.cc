#include "decisions/configuration/store_chart.h"

namespace daisyarch {

namespace {

bool FailsRepeatedly(const StoreContext& context) {
  return context.m_health.m_consecutive_failures + 1 >=
         kStoreFailuresBeforeDown;
}

void CountFailure(StoreContext& context) {
  ++context.m_health.m_consecutive_failures;
}

void ClearFailures(StoreContext& context) {
  context.m_health.m_consecutive_failures = 0;
}

}  // namespace

ChartBinding<StoreContext> StoreBinding() {
  return {
      {"up", "slow", "down"},
      {"answered", "answered_late", "failed"},
      {{"fails_repeatedly", FailsRepeatedly}},
      {{"count_failure", CountFailure}, {"clear_failures", ClearFailures}},
  };
}

}  // namespace daisyarch
