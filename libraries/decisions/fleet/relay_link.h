#pragma once

#include <cstdint>

#include "chart/state_machine.h"

namespace daisyarch::fleet {

/// States of charts/relay_link.yaml, in the order of RelayLinkBinding().
enum class RelayLinkState : std::uint8_t {
  kIdle,
  kGreeting,
  kServing,
  kLeaving,
  kSuspected,
};

/// Returns the state's name in the chart.
const char* ToString(RelayLinkState state);

/// Events of charts/relay_link.yaml, in the order of RelayLinkBinding().
enum class RelayLinkEvent : std::uint8_t {
  kChosen,
  kAnswered,
  kLeavingAnnounced,
  kFailed,
  kDrained,
  kRetryDue,
  kReleased,
};

/// Effects of the chart's actions, which the leader carries out.
struct RelayLinkEffects {
  bool m_must_greet = false;
  bool m_must_fail_orders = false;
  bool m_must_wait_to_retry = false;
};

using RelayLinkStateMachine =
    StateMachine<RelayLinkState, RelayLinkEvent, RelayLinkEffects>;

/// Returns the binding of charts/relay_link.yaml to the enums and effects.
ChartBinding<RelayLinkEffects> RelayLinkBinding();

}  // namespace daisyarch::fleet
