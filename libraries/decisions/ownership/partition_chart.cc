#include "decisions/ownership/partition_chart.h"

namespace daisyarch {

namespace {

bool MayClaim(const PartitionContext& context) {
  return context.m_now >= context.m_retry_at && !context.m_is_release_sent;
}

// A release that has been sent may take effect later. Continuing as the owner
// would then mean two owners at the same time.
bool MayKeepOwnership(const PartitionContext& context) {
  return !context.m_is_release_sent;
}

bool MayHoldHead(const PartitionContext& context) {
  return context.m_may_hold_head && context.m_now >= context.m_retry_at;
}

void BeginRelease(PartitionContext& context) {
  context.m_should_release = true;
  context.m_retry_at = context.m_now + kClaimRetryInterval;
}

void BeginClaim(PartitionContext& context) { context.m_should_claim = true; }

void DropState(PartitionContext& context) {
  context.m_should_drop_state = true;
}

void WaitToRetry(PartitionContext& context) {
  context.m_retry_at = context.m_now + kClaimRetryInterval;
}

}  // namespace

ChartBinding<PartitionContext> PartitionBinding() {
  return {
      {"not_owned", "claiming", "owned", "handing_over"},
      {"assigned_here", "assigned_elsewhere", "claimed", "claim_failed",
       "handed_over", "fenced", "lease_lapsed"},
      {{"may_claim", MayClaim},
       {"may_keep_ownership", MayKeepOwnership},
       {"may_hold_head", MayHoldHead}},
      {{"begin_claim", BeginClaim},
       {"begin_release", BeginRelease},
       {"drop_state", DropState},
       {"wait_to_retry", WaitToRetry}},
  };
}

}  // namespace daisyarch
