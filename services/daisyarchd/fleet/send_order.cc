#include "fleet/send_order.h"

#include <utility>

namespace daisyarch::fleet {

namespace {

using OutcomeCallback = std::function<void(OrderOutcome)>;

void Send(const OrderSender& sender, const std::string& address,
          const StartOrder& order, OutcomeCallback on_outcome) {
  sender.m_start(address, order, std::move(on_outcome));
}

void Send(const OrderSender& sender, const std::string& address,
          const StopOrder& order, OutcomeCallback on_outcome) {
  sender.m_stop(address, order, std::move(on_outcome));
}

void Send(const OrderSender& sender, const std::string& address,
          const ThrottleOrder& order, OutcomeCallback on_outcome) {
  sender.m_throttle(address, order, std::move(on_outcome));
}

void Send(const OrderSender& sender, const std::string& address,
          const PollOrder& order, OutcomeCallback on_outcome) {
  sender.m_poll(address, order, std::move(on_outcome));
}

}  // namespace

void SendOrderTo(const OrderSender& sender, const std::string& address,
                 const Order& order, OutcomeCallback on_outcome) {
  std::visit(
      [&](const auto& concrete) {
        Send(sender, address, concrete, std::move(on_outcome));
      },
      order);
}

}  // namespace daisyarch::fleet
