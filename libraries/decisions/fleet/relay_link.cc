#include "decisions/fleet/relay_link.h"

#include <iterator>

namespace daisyarch::fleet {

namespace {

constexpr const char* kStateNames[] = {"idle", "greeting", "serving", "leaving",
                                       "suspected"};

}  // namespace

const char* ToString(RelayLinkState state) {
  return kStateNames[static_cast<std::size_t>(state)];
}

ChartBinding<RelayLinkEffects> RelayLinkBinding() {
  using Effects = RelayLinkEffects;
  return {
      {std::begin(kStateNames), std::end(kStateNames)},
      {"chosen", "answered", "leaving_announced", "failed", "drained",
       "retry_due", "released"},
      {},
      {{"greet", [](Effects& effects) { effects.m_must_greet = true; }},
       {"fail_orders",
        [](Effects& effects) { effects.m_must_fail_orders = true; }},
       {"wait_to_retry",
        [](Effects& effects) { effects.m_must_wait_to_retry = true; }}},
  };
}

}  // namespace daisyarch::fleet
