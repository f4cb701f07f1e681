#include "decisions/fleet/relay_messages.h"

#include <utility>

namespace daisyarch::fleet {

namespace {

OrderOutcome FailedOutcome(const Order& order, ErrorCode code,
                           StartOutcome start_outcome,
                           const std::string& detail) {
  if (std::holds_alternative<StartOrder>(order)) {
    return StartAnswer{start_outcome, std::nullopt};
  }
  Error error{code, "relay order", WorkerOf(order).value(), detail};
  if (std::holds_alternative<PollOrder>(order)) {
    return OrderOutcome(std::in_place_type<Result<WorkerReport>>,
                        std::move(error));
  }
  return OrderOutcome(std::in_place_type<Result<void>>, std::move(error));
}

}  // namespace

const WorkerId& WorkerOf(const Order& order) {
  return std::visit(
      [](const auto& concrete) -> const WorkerId& { return concrete.m_worker; },
      order);
}

Order WithoutPayload(const Order& order) {
  const auto* start = std::get_if<StartOrder>(&order);
  if (start == nullptr) return order;
  StartOrder copy;
  copy.m_worker = start->m_worker;
  copy.m_incarnation = start->m_incarnation;
  copy.m_task = start->m_task;
  copy.m_run = start->m_run;
  copy.m_token = start->m_token;
  copy.m_lease_until = start->m_lease_until;
  copy.m_checkpoint = start->m_checkpoint;
  copy.m_sent_at = start->m_sent_at;
  return copy;
}

OrderOutcome UnsentOutcome(const Order& order, const std::string& detail) {
  return FailedOutcome(order, ErrorCode::kUnavailable, StartOutcome::kRefused,
                       detail);
}

OrderOutcome UnknownOutcome(const Order& order, const std::string& detail) {
  return FailedOutcome(order, ErrorCode::kOutcomeUnknown,
                       StartOutcome::kUnanswered, detail);
}

}  // namespace daisyarch::fleet
