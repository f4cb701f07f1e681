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
#include "membership_service.h"
#include "once_claims.h"
#include "runtime.h"

namespace daisyarch {

/// One caller's request, its message and the way back to the caller.
struct OpenRequest {
  Request m_request;
  HttpRequest m_message;
  HttpResponder m_respond;
  IdempotencyKey m_once_key;  ///< Set for one that is not to be repeated.
  EndpointId m_endpoint;
  TimePoint m_sent_at{};
};

/// A slot whose endpoint may still be at work after its connection failed.
struct HeldSlot {
  EndpointId m_endpoint;
  TimePoint m_until{};
};

/// Loans with one other node, as the borrower counts its calls.
struct LoanCalls {
  std::uint64_t m_last = 0;
  bool m_is_calling = false;
};

/// Takes callers' requests in, has them answered by endpoints, and sends the
/// answers back.
struct Gateway {
  Runtime& m_runtime;
  MembershipService& m_membership;
  OnceClaims& m_claims;
  Admission m_admission;
  SlotLedger m_ledger;
  EndpointTable m_endpoints;
  std::map<EndpointId, std::string> m_addresses;
  std::map<RequestId, OpenRequest> m_open;
  std::vector<HeldSlot> m_held_slots;
  std::map<NodeId, LoanCalls> m_loan_calls;
  RetryBudget m_budget;
  Random m_random;
  RequestId m_next_request{1};
  TimePoint m_loans_at{};
  TimePoint m_could_serve_at{};  ///< When the right to serve last held.
  bool m_takes_requests = false;
};

/// Headers that callers set.
constexpr const char* kClassHeader = "X-Daisyarch-Class";
constexpr const char* kMemberHeader = "X-Daisyarch-Member";
constexpr const char* kDeadlineHeader = "X-Daisyarch-Deadline-Ms";
constexpr const char* kOnceHeader = "X-Daisyarch-Once";
/// Tells endpoints which request they answer; an endpoint that sends it back
/// lets a crossed answer be noticed.
constexpr const char* kRequestHeader = "X-Request-Id";

/// Admits a request or refuses it; `respond` is called exactly once.
void HandleRequest(Gateway& gateway, HttpRequest message,
                   HttpResponder respond);

/// Sends waiting requests to free slots. To be called after each event.
void PumpRequests(Gateway& gateway, TimePoint now);

/// Settles what is late, ends back-offs and moves loans.
void TickGateway(Gateway& gateway, TimePoint now);

/// Takes the platform's list of endpoints over.
void ApplyEndpoints(Gateway& gateway, const std::vector<ListedEndpoint>& listed,
                    TimePoint now);

}  // namespace daisyarch
