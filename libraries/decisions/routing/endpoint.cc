#include "decisions/routing/endpoint.h"

#include <algorithm>

namespace daisyarch {

namespace {

constexpr std::uint32_t kMaximumDoublings = 5;

bool FailsRepeatedly(const EndpointContext& context) {
  return context.m_endpoint.m_failures_in_row + 1 >= kFailuresBeforeEjection;
}

void CountFailure(EndpointContext& context) {
  ++context.m_endpoint.m_failures_in_row;
}

void ClearFailures(EndpointContext& context) {
  context.m_endpoint.m_failures_in_row = 0;
}

void ForgetEjections(EndpointContext& context) {
  context.m_endpoint.m_ejections = 0;
}

void StartBackOff(EndpointContext& context) {
  Endpoint& endpoint = context.m_endpoint;
  const std::uint32_t doublings =
      std::min(endpoint.m_ejections, kMaximumDoublings);
  endpoint.m_ejected_until =
      context.m_now +
      std::min(kFirstEjection * (1 << doublings), kLongestEjection);
  ++endpoint.m_ejections;
}

}  // namespace

ChartBinding<EndpointContext> EndpointBinding() {
  return {
      {"healthy", "ejected", "probing", "leaving", "gone"},
      {"succeeded", "failed", "back_off_ended", "listed_live", "listed_leaving",
       "unlisted"},
      {{"fails_repeatedly", FailsRepeatedly}},
      {{"count_failure", CountFailure},
       {"clear_failures", ClearFailures},
       {"forget_ejections", ForgetEjections},
       {"start_back_off", StartBackOff}},
  };
}

}  // namespace daisyarch
