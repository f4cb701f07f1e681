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
  kStoreUnreachable,
  kHandingOver,
  kStopped,
};

/// Events of charts/leadership.yaml, in the order of LeadershipBinding().
enum class LeadershipEvent : std::uint8_t {
  kVacancySeen,
  kClaimed,
  kClaimFailed,
  kLoaded,
  kStoreLost,
  kStoreRegained,
  kClaimLost,
  kStopRequested,
  kHandedOver,
};

/// Effects of the chart's actions, which the node carries out.
struct LeadershipEffects {
  bool m_must_claim = false;
  bool m_must_load_fleet = false;
  bool m_must_drop_fleet = false;
  bool m_must_release_claim = false;
  bool m_must_wait_to_retry = false;
};

using LeadershipStateMachine =
    StateMachine<LeadershipState, LeadershipEvent, LeadershipEffects>;

/// Returns the binding of charts/leadership.yaml to the enums and effects.
ChartBinding<LeadershipEffects> LeadershipBinding();

/// Returns whether this node may start tasks.
inline bool MayStartWork(LeadershipState state) {
  return state == LeadershipState::kLeading;
}

/// Returns whether this node has loaded the fleet and manages its runs.
inline bool HoldsFleet(LeadershipState state) {
  return state == LeadershipState::kLeading ||
         state == LeadershipState::kStoreUnreachable ||
         state == LeadershipState::kHandingOver;
}

/// Returns how long a node waits before it claims vacant leadership. Nodes with
/// a large processor share claim first; the hash of the node id keeps nodes
/// with equal shares from claiming at the same time.
Duration ClaimDelay(double processor_share, std::uint64_t node_hash);

}  // namespace daisyarch
