#include "decisions/node/node_chart.h"

namespace daisyarch {

namespace {

void OpenDoors(NodeContext& context) {
  context.m_is_ready = true;
  context.m_takes_requests = true;
}

void CloseDoors(NodeContext& context) {
  context.m_is_ready = false;
  context.m_takes_requests = false;
}

// The balancer may send requests for a while after it is told; they are
// served.
void TellBalancer(NodeContext& context) { context.m_is_ready = false; }

void LeaveList(NodeContext& context) { context.m_should_leave_list = true; }

}  // namespace

ChartBinding<NodeContext> NodeBinding() {
  return {
      {"starting", "serving", "suspended", "draining", "stopped"},
      {"right_gained", "right_lost", "stop_requested", "drained"},
      {},
      {{"open_doors", OpenDoors},
       {"close_doors", CloseDoors},
       {"tell_balancer", TellBalancer},
       {"leave_list", LeaveList}},
  };
}

}  // namespace daisyarch
