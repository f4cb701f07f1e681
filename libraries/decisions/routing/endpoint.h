#pragma once

#include <cstdint>

#include "base/ids.h"
#include "base/quantity.h"
#include "base/time.h"
#include "chart/state_machine.h"
#include "decisions/admission/duration_estimate.h"

namespace daisyarch {

/// The leaf states of charts/endpoint.yaml, in the same order.
enum class EndpointState : std::uint8_t {
  kHealthy,
  kEjected,
  kProbing,
  kLeaving,
  kGone,
};

/// The events of charts/endpoint.yaml, in the same order.
enum class EndpointEvent : std::uint8_t {
  kSucceeded,
  kFailed,
  kBackoffExpired,
  kListedLive,
  kListedLeaving,
  kUnlisted,
};

/// An endpoint as observed by one node.
struct Endpoint {
  EndpointId m_id;
  EndpointState m_state = EndpointState::kHealthy;
  DurationEstimate m_latency;
  TimePoint m_latency_updated_at{};
  std::uint32_t m_consecutive_failures = 0;
  std::uint32_t m_ejections = 0;
  TimePoint m_ejected_until{};
};

/// The state that the guards and actions of charts/endpoint.yaml read and
/// change.
struct EndpointContext {
  Endpoint& m_endpoint;
  TimePoint m_now;
};

using EndpointStateMachine =
    StateMachine<EndpointState, EndpointEvent, EndpointContext>;

/// Consecutive failures after which an endpoint is ejected. More than one, so
/// that a single unresponsive connection does not eject it.
constexpr std::uint32_t kFailuresBeforeEjection = 3;
/// Duration of the first ejection. It doubles with each further ejection, up
/// to kMaximumEjectionTime.
constexpr Duration kBaseEjectionTime = std::chrono::seconds(1);
constexpr Duration kMaximumEjectionTime = std::chrono::seconds(30);

ChartBinding<EndpointContext> EndpointBinding();

}  // namespace daisyarch
