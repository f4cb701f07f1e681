#pragma once

#include <functional>
#include <string>

#include "decisions/fleet/relay_messages.h"
#include "fleet/fleet_runtime.h"

namespace daisyarch::fleet {

/// Sends an order of any kind to its worker. `on_outcome` receives the outcome
/// of the order's kind exactly once.
void SendOrderTo(const OrderSender& sender, const std::string& address,
                 const Order& order,
                 std::function<void(OrderOutcome)> on_outcome);

}  // namespace daisyarch::fleet
