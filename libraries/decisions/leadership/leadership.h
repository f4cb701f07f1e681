#pragma once

#include <cstdint>

#include "base/ids.h"
#include "base/time.h"
#include "chart/state_machine.h"

namespace daisyarch {

/// States of charts/leadership.yaml, in the order of LeadershipBinding().
enum class LeadershipState : std::uint8_t {
  kFollowing,
  kClaiming,
  kLoading,
  kLeading,
  kIsolated,
  kHandingOver,
  kStopped,
};

/// Events of charts/leadership.yaml, in the order of LeadershipBinding().
enum class LeadershipEvent : std::uint8_t {
  kVacancySeen,
  kClaimed,
  kClaimFailed,
  kLoaded,
  kContactLost,
  kContactRegained,
  kClaimLost,
  kStopRequested,
  kHandedOver,
};

/// What the chart's actions ask the node to do.
struct LeadershipEffects {
  bool m_must_claim = false;
  bool m_must_load = false;
  bool m_must_drop_fleet = false;
  bool m_must_release = false;
  bool m_must_wait = false;
};

using LeadershipMachine =
    StateMachine<LeadershipState, LeadershipEvent, LeadershipEffects>;

ChartBinding<LeadershipEffects> LeadershipBinding();

/// True when this node may start work.
inline bool MayStartWork(LeadershipState state) {
  return state == LeadershipState::kLeading;
}

/// True when this node answers for what runs.
inline bool HoldsFleet(LeadershipState state) {
  return state == LeadershipState::kLeading ||
         state == LeadershipState::kIsolated ||
         state == LeadershipState::kHandingOver;
}

/// How long a node waits before it claims a vacant lead: nodes with a large
/// share of a processor go first, and equals do not go at once.
Duration ClaimDelay(double processor_share, std::uint64_t node_hash);

}  // namespace daisyarch
