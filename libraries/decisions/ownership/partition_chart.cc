#include "decisions/ownership/partition_chart.h"

namespace daisyarch {

namespace {

bool MayClaim(const PartitionContext& context) {
  return context.m_now >= context.m_retry_at;
}

void BeginClaim(PartitionContext& context) { context.m_should_claim = true; }

void DropState(PartitionContext& context) { context.m_should_drop = true; }

void WaitToRetry(PartitionContext& context) {
  context.m_retry_at = context.m_now + kClaimRetryInterval;
}

}  // namespace

ChartBinding<PartitionContext> PartitionBinding() {
  return {
      {"following", "claiming", "owned", "handing_over"},
      {"assigned_here", "assigned_elsewhere", "claimed", "claim_failed",
       "handed_over", "fenced", "lease_lapsed"},
      {{"may_claim", MayClaim}},
      {{"begin_claim", BeginClaim},
       {"drop_state", DropState},
       {"wait_to_retry", WaitToRetry}},
  };
}

}  // namespace daisyarch
