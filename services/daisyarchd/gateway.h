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

/// One caller's request, its message and the way back to the caller.
struct OpenRequest {
  Request m_request;
  HttpRequest m_message;
  HttpResponder m_respond;
  IdempotencyKey
      m_idempotency_key;  ///< Set for one that is not to be repeated.
  EndpointId m_endpoint;
  TimePoint m_sent_at{};
};

/// A slot whose endpoint may still be at work after its connection failed.
struct HeldSlot {
  EndpointId m_endpoint;
  TimePoint m_held_until{};
};

/// Loans with one other node, as the borrower counts its calls.
struct LoanCalls {
  std::uint64_t m_last_call = 0;
  bool m_is_call_pending = false;
};

/// Takes callers' requests in, has them answered by endpoints, and sends the
/// answers back.
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
  TimePoint m_last_permitted_at{};  ///< When the right to serve last held.
  bool m_takes_requests = false;
};

/// Headers that callers set.
constexpr const char* kClassHeader = "X-Daisyarch-Class";
constexpr const char* kMemberHeader = "X-Daisyarch-Member";
constexpr const char* kDeadlineHeader = "X-Daisyarch-Deadline-Ms";
constexpr const char* kIdempotencyKeyHeader = "X-Daisyarch-Once";
/// Tells endpoints which request they answer; an endpoint that sends it back
/// lets a crossed answer be noticed.
constexpr const char* kRequestIdHeader = "X-Request-Id";

/// Admits a request or refuses it; `respond` is called exactly once.
void HandleRequest(Gateway& gateway, HttpRequest message,
                   HttpResponder respond);

/// Sends waiting requests to free slots. To be called after each event.
void DispatchWaitingRequests(Gateway& gateway, TimePoint now);

/// Settles what is late, ends back-offs and moves loans.
void TickGateway(Gateway& gateway, TimePoint now);

/// Takes the platform's list of endpoints over.
void ApplyEndpoints(Gateway& gateway, const std::vector<ListedEndpoint>& listed,
                    TimePoint now);

}  // namespace daisyarch
