#pragma once

#include <cstdint>

#include "base/ids.h"
#include "base/time.h"
#include "chart/state_machine.h"
#include "decisions/admission/admission.h"
#include "decisions/retry/retry_budget.h"

namespace daisyarch {

/// The leaf states of charts/request.yaml, in the same order.
enum class RequestState : std::uint8_t {
  kWaiting,
  kSent,
  kAnswered,
  kRefused,
  kUnknown,
};

/// The events of charts/request.yaml, in the same order.
enum class RequestEvent : std::uint8_t {
  kDispatched,
  kAnswered,
  kSendFailed,
  kAnswerLost,
  kExpired,
};

/// Whether the client allows the request to reach endpoints more than once.
enum class Repeatable : std::uint8_t { kYes, kNo };

/// A client's request as handled by one node.
struct Request {
  WaitingRequest m_waiting;
  RequestState m_state = RequestState::kWaiting;
  Repeatable m_repeatable = Repeatable::kYes;
  /// Attempts of which a byte may have reached an endpoint.
  std::uint32_t m_send_count = 0;
};

/// The state that the guards and actions of charts/request.yaml read and
/// change.
struct RequestContext {
  Request& m_request;
  RetryBudget& m_budget;
  TimePoint m_now;
};

using RequestStateMachine =
    StateMachine<RequestState, RequestEvent, RequestContext>;

ChartBinding<RequestContext> RequestBinding();

/// Returns true when the state is final.
bool IsFinal(RequestState state);

}  // namespace daisyarch
