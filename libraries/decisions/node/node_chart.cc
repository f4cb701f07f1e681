#include "decisions/node/node_chart.h"

namespace daisyarch {

namespace {

void AcceptRequests(NodeContext& context) {
  context.m_is_ready = true;
  context.m_takes_requests = true;
}

void RejectRequests(NodeContext& context) {
  context.m_is_ready = false;
  context.m_takes_requests = false;
}

// The load balancer may still send requests for a while after it sees that the
// node is not ready; those are served.
void ReportNotReady(NodeContext& context) { context.m_is_ready = false; }

void LeaveNodeList(NodeContext& context) {
  context.m_should_leave_node_list = true;
}

}  // namespace

ChartBinding<NodeContext> NodeBinding() {
  return {
      {"starting", "serving", "suspended", "draining", "stopped"},
      {"permission_gained", "permission_lost", "stop_requested", "drained"},
      {},
      {{"accept_requests", AcceptRequests},
       {"reject_requests", RejectRequests},
       {"report_not_ready", ReportNotReady},
       {"leave_node_list", LeaveNodeList}},
  };
}

}  // namespace daisyarch
