#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "base/random.h"
#include "decisions/admission/admission.h"
#include "decisions/retry/request_chart.h"
#include "decisions/routing/endpoint_choice.h"
#include "decisions/routing/slot_ledger.h"
#include "http/http_message.h"
#include "idempotency_claims.h"
#include "membership_service.h"
#include "runtime.h"

namespace daisyarch {

/// An unfinished request of a client, its HTTP message and the responder.
struct OpenRequest {
  Request m_request;
  HttpRequest m_message;
  HttpResponder m_respond;
  /// Empty if the client allows the request to be sent more than once.
  IdempotencyKey m_idempotency_key;
  EndpointId m_endpoint;
  TimePoint m_sent_at{};
};

/// A slot kept in use after its connection failed, because the endpoint may
/// still be working on the request.
struct HeldSlot {
  EndpointId m_endpoint;
  TimePoint m_held_until{};
};

/// This node's loan calls to one lender.
struct LoanCalls {
  std::uint64_t m_last_call = 0;  ///< Number of the last call; 0 for none.
  bool m_is_call_pending = false;
};

/// Admits clients' requests, forwards them to endpoints and returns the
/// answers.
struct Gateway {
  Runtime& m_runtime;
  MembershipService& m_membership;
  IdempotencyClaims& m_idempotency_claims;
  Admission m_admission;
  SlotLedger m_ledger;
  EndpointTable m_endpoints;
  std::map<EndpointId, std::string> m_endpoint_addresses;
  std::map<RequestId, OpenRequest> m_open_requests;
  std::vector<HeldSlot> m_held_slots;
  std::map<NodeId, LoanCalls> m_loan_calls;
  RetryBudget m_retry_budget;
  Random m_random;
  RequestId m_next_request_id{1};
  TimePoint m_next_loan_exchange_at{};
  TimePoint m_last_permitted_at{};  ///< Last time with permission to serve.
  bool m_takes_requests = false;
};

/// Request headers set by clients.
constexpr const char* kClassHeader = "X-Daisyarch-Class";
constexpr const char* kMemberHeader = "X-Daisyarch-Member";
constexpr const char* kDeadlineHeader = "X-Daisyarch-Deadline-Ms";
constexpr const char* kIdempotencyKeyHeader = "X-Daisyarch-Once";
/// Unique id of a request, sent to the endpoint. If the endpoint echoes it, an
/// answer that belongs to another request is detected.
constexpr const char* kRequestIdHeader = "X-Request-Id";

/// Admits or refuses a request. `respond` is called exactly once.
void HandleRequest(Gateway& gateway, HttpRequest message,
                   HttpResponder respond);

/// Sends waiting requests to endpoints with free slots. Call it after each
/// event that may queue a request or free a slot.
void DispatchWaitingRequests(Gateway& gateway, TimePoint now);

/// Runs what is due: closes endpoint connections after the permission to
/// serve is lost, returns held slots, ends endpoints' backoffs, answers
/// requests that have waited too long, exchanges loans and dispatches requests.
void TickGateway(Gateway& gateway, TimePoint now);

/// Applies the platform's list of endpoints: adds new endpoints and steps the
/// state of each one, listed or not.
void ApplyEndpoints(Gateway& gateway, const std::vector<ListedEndpoint>& listed,
                    TimePoint now);

}  // namespace daisyarch
