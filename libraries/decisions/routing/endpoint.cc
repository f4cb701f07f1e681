#include "decisions/routing/endpoint.h"

#include <algorithm>

namespace daisyarch {

namespace {

/// Enough doublings of kBaseEjectionTime to reach kMaximumEjectionTime.
constexpr std::uint32_t kMaximumDoublings = 5;

bool FailsRepeatedly(const EndpointContext& context) {
  return context.m_endpoint.m_consecutive_failures + 1 >=
         kFailuresBeforeEjection;
}

void CountFailure(EndpointContext& context) {
  ++context.m_endpoint.m_consecutive_failures;
}

void ClearFailures(EndpointContext& context) {
  context.m_endpoint.m_consecutive_failures = 0;
}

void ResetEjections(EndpointContext& context) {
  context.m_endpoint.m_ejections = 0;
}

void StartBackoff(EndpointContext& context) {
  Endpoint& endpoint = context.m_endpoint;
  const std::uint32_t doublings =
      std::min(endpoint.m_ejections, kMaximumDoublings);
  endpoint.m_ejected_until =
      context.m_now +
      std::min(kBaseEjectionTime * (1 << doublings), kMaximumEjectionTime);
  ++endpoint.m_ejections;
}

}  // namespace

ChartBinding<EndpointContext> EndpointBinding() {
  return {
      {"healthy", "ejected", "probing", "leaving", "gone"},
      {"succeeded", "failed", "backoff_expired", "listed_live",
       "listed_leaving", "unlisted"},
      {{"fails_repeatedly", FailsRepeatedly}},
      {{"count_failure", CountFailure},
       {"clear_failures", ClearFailures},
       {"reset_ejections", ResetEjections},
       {"start_backoff", StartBackoff}},
  };
}

}  // namespace daisyarch
