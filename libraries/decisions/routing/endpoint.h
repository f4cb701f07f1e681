#pragma once

#include <cstdint>

#include "base/ids.h"
#include "base/quantity.h"
#include "base/time.h"
#include "chart/state_machine.h"
#include "decisions/admission/duration_estimate.h"

namespace daisyarch {

/// The leaves of charts/endpoint.yaml, in this order.
enum class EndpointState : std::uint8_t {
  kHealthy,
  kEjected,
  kProbing,
  kLeaving,
  kGone,
};

/// The events of charts/endpoint.yaml, in this order.
enum class EndpointEvent : std::uint8_t {
  kSucceeded,
  kFailed,
  kBackOffEnded,
  kListedLive,
  kListedLeaving,
  kUnlisted,
};

/// One endpoint as one node sees it.
struct Endpoint {
  EndpointId m_id;
  EndpointState m_state = EndpointState::kHealthy;
  DurationEstimate m_latency;
  TimePoint m_latency_learnt_at{};
  std::uint32_t m_failures_in_row = 0;
  std::uint32_t m_ejections = 0;
  TimePoint m_ejected_until{};
};

/// What the guards and actions of charts/endpoint.yaml read and change.
struct EndpointContext {
  Endpoint& m_endpoint;
  TimePoint m_now;
};

using EndpointMachine =
    StateMachine<EndpointState, EndpointEvent, EndpointContext>;

/// Failures in a row after which an endpoint gets no more requests. More
/// than one, so that one silent connection does not condemn it.
constexpr std::uint32_t kFailuresBeforeEjection = 3;
/// The first time for which an endpoint is ejected; it doubles up to the
/// longest.
constexpr Duration kFirstEjection = std::chrono::seconds(1);
constexpr Duration kLongestEjection = std::chrono::seconds(30);

ChartBinding<EndpointContext> EndpointBinding();

}  // namespace daisyarch
