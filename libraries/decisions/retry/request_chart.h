#pragma once

#include <cstdint>

#include "base/ids.h"
#include "base/time.h"
#include "chart/state_machine.h"
#include "decisions/admission/admission.h"
#include "decisions/retry/retry_budget.h"

namespace daisyarch {

/// The leaves of charts/request.yaml, in this order.
enum class RequestState : std::uint8_t {
  kWaiting,
  kSent,
  kAnswered,
  kRefused,
  kUnknown,
};

/// The events of charts/request.yaml, in this order.
enum class RequestEvent : std::uint8_t {
  kDispatched,
  kAnswered,
  kUnsent,
  kLost,
  kExpired,
};

/// Whether the caller allows that the request reaches endpoints twice.
enum class Repeatable : std::uint8_t { kYes, kNo };

/// One request of a caller inside a node.
struct Request {
  WaitingRequest m_waiting;
  RequestState m_state = RequestState::kWaiting;
  Repeatable m_repeatable = Repeatable::kYes;
  std::uint32_t m_sends = 0;  ///< Times a byte may have reached an endpoint.
};

/// What the guards and actions of charts/request.yaml read and change.
struct RequestContext {
  Request& m_request;
  RetryBudget& m_budget;
  TimePoint m_now;
};

using RequestMachine = StateMachine<RequestState, RequestEvent, RequestContext>;

ChartBinding<RequestContext> RequestBinding();

/// True when nothing more happens to the request.
bool IsSettled(RequestState state);

}  // namespace daisyarch
