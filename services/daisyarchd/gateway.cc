#include "gateway.h"

#include <algorithm>
#include <charconv>
#include <memory>
#include <utility>

#include "error_response.h"
#include "slot_loans.h"

namespace daisyarch {

namespace {

constexpr Duration kDefaultDeadline = std::chrono::seconds(30);
constexpr Duration kMaximumDeadline = std::chrono::minutes(10);
/// An endpoint whose connection failed may keep working on the request, so its
/// slot stays in use for this long.
constexpr Duration kLostSlotHoldTime = std::chrono::seconds(2);
constexpr unsigned kFirstServerError = 500;

Duration ParseDeadline(const std::string& text) {
  std::int64_t milliseconds = 0;
  const char* end = text.data() + text.size();
  const auto [stop, code] = std::from_chars(text.data(), end, milliseconds);
  if (code != std::errc() || stop != end || milliseconds <= 0) {
    return Duration::zero();
  }
  return std::min(FromMilliseconds(milliseconds), kMaximumDeadline);
}

std::string MakeMetricLabels(const OpenRequest& open, const char* outcome) {
  return "class=\"" + open.m_request.m_waiting.m_class.value() +
         "\",member=\"" + open.m_request.m_waiting.m_member.value() +
         "\",outcome=\"" + outcome + "\"";
}

// Answers the request and counts it for its member, whether served or not.
void FinishRequest(Gateway& gateway, OpenRequest& open, HttpResponse response,
                   const char* outcome) {
  gateway.m_runtime.m_metrics.IncrementCounter("requests_total",
                                               MakeMetricLabels(open, outcome));
  const HttpResponder respond = std::move(open.m_respond);
  respond(std::move(response));
}

std::string MakeRequestName(const Gateway& gateway, const OpenRequest& open) {
  const Member& self = gateway.m_membership.m_table.m_self;
  return self.m_node.value() + "/" +
         std::to_string(self.m_incarnation.value()) + "/" +
         std::to_string(open.m_request.m_waiting.m_id.value());
}

// Releases the key of a request that certainly was not sent, so that the client
// may use it again.
void ReleaseKey(Gateway& gateway, const OpenRequest& open) {
  if (open.m_idempotency_key == IdempotencyKey()) return;
  ReleaseIdempotencyKey(gateway.m_idempotency_claims,
                        open.m_request.m_waiting.m_member,
                        open.m_idempotency_key, MakeRequestName(gateway, open));
}

StepResult StepRequest(Gateway& gateway, Request& request, RequestEvent event,
                       TimePoint now) {
  RequestContext context{request, gateway.m_retry_budget, now};
  return gateway.m_runtime.m_state_machines.m_request.Step(request.m_state,
                                                           event, context);
}

void StepEndpoint(Gateway& gateway, Endpoint& endpoint, EndpointEvent event,
                  TimePoint now) {
  EndpointContext context{endpoint, now};
  gateway.m_runtime.m_state_machines.m_endpoint.Step(endpoint.m_state, event,
                                                     context);
}

// Answers a request that ended without an answer from an endpoint.
void FinishUnanswered(Gateway& gateway, RequestId id, const Error& cause) {
  const auto found = gateway.m_open_requests.find(id);
  OpenRequest open = std::move(found->second);
  gateway.m_open_requests.erase(found);
  Error error = cause;
  const bool is_refused = open.m_request.m_state == RequestState::kRefused;
  error.m_code = is_refused ? ErrorCode::kNotRun : ErrorCode::kOutcomeUnknown;
  if (is_refused) ReleaseKey(gateway, open);
  FinishRequest(gateway, open, MakeErrorResponse(error),
                is_refused ? "not_run" : "unknown");
}

// Queues a request again if its state allows another attempt, or else answers
// it with an error.
void RequeueOrFinish(Gateway& gateway, RequestId id, const Error& cause) {
  OpenRequest& open = gateway.m_open_requests.at(id);
  if (open.m_request.m_state == RequestState::kWaiting) {
    RequeueRequest(gateway.m_admission, open.m_request.m_waiting);
    return;
  }
  FinishUnanswered(gateway, id, cause);
}

void ReleaseRequestSlot(Gateway& gateway, const OpenRequest& open,
                        bool is_endpoint_done, TimePoint now) {
  ReleaseSlot(gateway.m_admission, open.m_request.m_waiting.m_class);
  if (is_endpoint_done) return ReturnSlot(gateway.m_ledger, open.m_endpoint);
  gateway.m_held_slots.push_back(
      HeldSlot{open.m_endpoint, now + kLostSlotHoldTime});
}

bool IsOwnAnswer(const OpenRequest& open, const HttpResponse& response) {
  const std::string echoed = FindHeader(response.m_headers, kRequestIdHeader);
  if (echoed.empty()) return true;
  return echoed == FindHeader(open.m_message.m_headers, kRequestIdHeader);
}

void DeliverAnswer(Gateway& gateway, RequestId id, HttpResponse response,
                   TimePoint now) {
  const auto found = gateway.m_open_requests.find(id);
  OpenRequest open = std::move(found->second);
  gateway.m_open_requests.erase(found);
  const WaitingRequest& waiting = open.m_request.m_waiting;
  const Duration latency = now - open.m_sent_at;
  RecordServiceTime(gateway.m_admission, waiting.m_class, latency);
  RecordEndpointLatency(gateway.m_endpoints.at(open.m_endpoint), latency, now);
  gateway.m_runtime.m_metrics.RecordLatency(waiting.m_class.value(),
                                            now - waiting.m_arrived_at);
  FinishRequest(gateway, open, std::move(response), "served");
}

void OnAnswer(Gateway& gateway, RequestId id, Result<HttpResponse> result) {
  const TimePoint now = gateway.m_runtime.m_clock.m_now();
  OpenRequest& open = gateway.m_open_requests.at(id);
  Endpoint& endpoint = gateway.m_endpoints.at(open.m_endpoint);
  if (result && !IsOwnAnswer(open, result.assume_value())) {
    result = Error{ErrorCode::kOutcomeUnknown, "read answer",
                   open.m_endpoint.value(),
                   "the answer echoes the X-Request-Id of another request"};
  }
  const bool is_unsent =
      !result && result.assume_error().m_code == ErrorCode::kUnavailable;
  ReleaseRequestSlot(gateway, open, result || is_unsent, now);
  const bool is_failure =
      !result || result.assume_value().m_status >= kFirstServerError;
  StepEndpoint(gateway, endpoint,
               is_failure ? EndpointEvent::kFailed : EndpointEvent::kSucceeded,
               now);
  if (result) {
    StepRequest(gateway, open.m_request, RequestEvent::kAnswered, now);
    DeliverAnswer(gateway, id, std::move(result).assume_value(), now);
  } else {
    const RequestEvent event =
        is_unsent ? RequestEvent::kSendFailed : RequestEvent::kAnswerLost;
    StepRequest(gateway, open.m_request, event, now);
    RequeueOrFinish(gateway, id, result.assume_error());
  }
  DispatchWaitingRequests(gateway, now);
}

// The first attempt of a repeatable request uses at most half of the remaining
// time, which leaves time for a second one if the connection is dead.
Duration AttemptTimeout(const OpenRequest& open, TimePoint now) {
  const Request& request = open.m_request;
  const Duration left = request.m_waiting.m_deadline - now;
  const bool may_retry =
      request.m_repeatable == Repeatable::kYes && request.m_send_count <= 1;
  return may_retry ? left / 2 : left;
}

void SendAttempt(Gateway& gateway, RequestId id, TimePoint now) {
  OpenRequest& open = gateway.m_open_requests.at(id);
  StepRequest(gateway, open.m_request, RequestEvent::kDispatched, now);
  open.m_sent_at = now;
  gateway.m_runtime.m_endpoints.m_send(
      gateway.m_endpoint_addresses.at(open.m_endpoint), open.m_message,
      AttemptTimeout(open, now), [&gateway, id](Result<HttpResponse> result) {
        OnAnswer(gateway, id, std::move(result));
      });
}

void Dispatch(Gateway& gateway, RequestId id, const EndpointId& endpoint,
              TimePoint now) {
  gateway.m_open_requests.at(id).m_endpoint = endpoint;
  SendAttempt(gateway, id, now);
}

HttpResponse MakeRefusal(ErrorCode code, const HttpRequest& message,
                         const std::string& detail) {
  return MakeErrorResponse(Error{code, "read request", message.m_peer, detail});
}

struct RequestParameters {
  ClassId m_class;
  MemberId m_member;
  Duration m_deadline = kDefaultDeadline;
};

Result<RequestParameters> ReadParameters(const HttpRequest& message) {
  RequestParameters parameters;
  parameters.m_class = ClassId(FindHeader(message.m_headers, kClassHeader));
  parameters.m_member = MemberId(FindHeader(message.m_headers, kMemberHeader));
  const std::string deadline = FindHeader(message.m_headers, kDeadlineHeader);
  const auto fail = [&](const std::string& detail) {
    return Error{ErrorCode::kInvalidArgument, "read request", message.m_peer,
                 detail};
  };
  if (parameters.m_class == ClassId()) {
    return fail(std::string("header ") + kClassHeader + " is missing");
  }
  if (parameters.m_member == MemberId()) {
    return fail(std::string("header ") + kMemberHeader + " is missing");
  }
  if (deadline.empty()) return parameters;
  parameters.m_deadline = ParseDeadline(deadline);
  if (parameters.m_deadline > Duration::zero()) return parameters;
  return fail(std::string("header ") + kDeadlineHeader +
              " is not a positive number of milliseconds");
}

OpenRequest MakeOpenRequest(Gateway& gateway,
                            const RequestParameters& parameters,
                            HttpRequest message, HttpResponder respond,
                            TimePoint now) {
  OpenRequest open;
  WaitingRequest& waiting = open.m_request.m_waiting;
  waiting.m_id = gateway.m_next_request_id;
  gateway.m_next_request_id = Next(gateway.m_next_request_id);
  waiting.m_class = parameters.m_class;
  waiting.m_member = parameters.m_member;
  waiting.m_arrived_at = now;
  waiting.m_deadline = now + parameters.m_deadline;
  open.m_idempotency_key =
      IdempotencyKey(FindHeader(message.m_headers, kIdempotencyKeyHeader));
  const bool has_key = open.m_idempotency_key != IdempotencyKey();
  open.m_request.m_repeatable = has_key ? Repeatable::kNo : Repeatable::kYes;
  open.m_message = std::move(message);
  auto& headers = open.m_message.m_headers;
  headers.erase(std::remove_if(headers.begin(), headers.end(), IsHopByHop),
                headers.end());
  headers.emplace_back(kRequestIdHeader, MakeRequestName(gateway, open));
  open.m_respond = std::move(respond);
  return open;
}

// Once this node is removed from the member list, the other nodes may use its
// slots. Requests in flight therefore have to end before it can be removed.
void CloseConnectionsWithoutPermission(Gateway& gateway, TimePoint now) {
  if (MayServe(gateway.m_membership.m_table, now)) {
    gateway.m_last_permitted_at = now;
    return;
  }
  if (now < gateway.m_last_permitted_at + kInFlightGracePeriod) return;
  // Waits for kInFlightGracePeriod again before the next closing.
  gateway.m_last_permitted_at = now;
  gateway.m_runtime.m_endpoints.m_close_connections();
}

void ReturnHeldSlots(Gateway& gateway, TimePoint now) {
  auto& held = gateway.m_held_slots;
  const auto due = std::partition(
      held.begin(), held.end(),
      [now](const HeldSlot& slot) { return now < slot.m_held_until; });
  for (auto slot = due; slot != held.end(); ++slot) {
    ReturnSlot(gateway.m_ledger, slot->m_endpoint);
  }
  held.erase(due, held.end());
}

void FinishExpired(Gateway& gateway, TimePoint now) {
  for (const WaitingRequest& expired :
       TakeLateRequests(gateway.m_admission, now)) {
    OpenRequest& open = gateway.m_open_requests.at(expired.m_id);
    StepRequest(gateway, open.m_request, RequestEvent::kExpired, now);
    FinishUnanswered(
        gateway, expired.m_id,
        Error{ErrorCode::kNotRun, "wait for a slot", expired.m_member.value(),
              "the request can no longer be answered in time"});
  }
}

void Admit(Gateway& gateway, OpenRequest open) {
  const TimePoint now = gateway.m_runtime.m_clock.m_now();
  const SlotSupply supply = CountSlots(gateway.m_endpoints, gateway.m_ledger);
  const auto offered = OfferRequest(
      gateway.m_admission, open.m_request.m_waiting, supply.m_entitled, now);
  if (!offered) {
    ReleaseKey(gateway, open);
    return FinishRequest(gateway, open,
                         MakeErrorResponse(offered.assume_error()), "not_run");
  }
  gateway.m_open_requests.emplace(open.m_request.m_waiting.m_id,
                                  std::move(open));
  DispatchWaitingRequests(gateway, now);
}

void OnKeyClaimResult(Gateway& gateway, OpenRequest& open, ClaimResult claim) {
  if (claim == ClaimResult::kClaimed) return Admit(gateway, std::move(open));
  if (claim == ClaimResult::kTaken) {
    const Error error{ErrorCode::kConflict, "claim key",
                      open.m_idempotency_key.value(),
                      "a request with this key was already sent; its "
                      "outcome is not known to this node"};
    return FinishRequest(gateway, open, MakeErrorResponse(error), "repeated");
  }
  const Error error{ErrorCode::kNotRun, "claim key", "store",
                    "the store did not confirm the claim of the key"};
  FinishRequest(gateway, open, MakeErrorResponse(error), "not_run");
}

// The key is claimed before the request is queued for a slot, so that a slow
// store holds up no slot that requests without a key could use.
void ClaimAndAdmit(Gateway& gateway, OpenRequest open) {
  if (gateway.m_runtime.m_store_health.m_state == StoreState::kDown) {
    return OnKeyClaimResult(gateway, open, ClaimResult::kUnavailable);
  }
  const MemberId member = open.m_request.m_waiting.m_member;
  const IdempotencyKey key = open.m_idempotency_key;
  const std::string request_name = MakeRequestName(gateway, open);
  const auto held = std::make_shared<OpenRequest>(std::move(open));
  ClaimIdempotencyKey(gateway.m_idempotency_claims, member, key, request_name,
                      [&gateway, held](ClaimResult claim) {
                        OnKeyClaimResult(gateway, *held, claim);
                      });
}

}  // namespace

void HandleRequest(Gateway& gateway, HttpRequest message,
                   HttpResponder respond) {
  const TimePoint now = gateway.m_runtime.m_clock.m_now();
  const auto parameters = ReadParameters(message);
  if (!parameters) return respond(MakeErrorResponse(parameters.assume_error()));
  if (!gateway.m_takes_requests) {
    return respond(MakeRefusal(ErrorCode::kNotRun, message,
                               "this node is not serving requests"));
  }
  CountRequest(gateway.m_retry_budget);
  OpenRequest open =
      MakeOpenRequest(gateway, parameters.assume_value(), std::move(message),
                      std::move(respond), now);
  if (open.m_idempotency_key == IdempotencyKey()) {
    return Admit(gateway, std::move(open));
  }
  ClaimAndAdmit(gateway, std::move(open));
}

void DispatchWaitingRequests(Gateway& gateway, TimePoint now) {
  if (!MayServe(gateway.m_membership.m_table, now)) return;
  while (true) {
    const SlotSupply supply = CountSlots(gateway.m_endpoints, gateway.m_ledger);
    const auto next = TakeNextRequest(gateway.m_admission, supply.m_free,
                                      supply.m_entitled, now);
    if (!next) return;
    const auto endpoint = ChooseEndpoint(gateway.m_endpoints, gateway.m_ledger,
                                         gateway.m_random, now);
    const bool has_slot = endpoint && AcquireSlot(gateway.m_ledger, *endpoint);
    if (!has_slot) {
      ReleaseSlot(gateway.m_admission, next->m_class);
      RequeueRequest(gateway.m_admission, *next);
      return;
    }
    Dispatch(gateway, next->m_id, *endpoint, now);
  }
}

void TickGateway(Gateway& gateway, TimePoint now) {
  CloseConnectionsWithoutPermission(gateway, now);
  ReturnHeldSlots(gateway, now);
  for (auto& [id, endpoint] : gateway.m_endpoints) {
    const bool is_due = endpoint.m_state == EndpointState::kEjected &&
                        now >= endpoint.m_ejected_until;
    if (!is_due) continue;
    StepEndpoint(gateway, endpoint, EndpointEvent::kBackoffExpired, now);
  }
  FinishExpired(gateway, now);
  TickLoans(gateway, now);
  DispatchWaitingRequests(gateway, now);
}

void ApplyEndpoints(Gateway& gateway, const std::vector<ListedEndpoint>& listed,
                    TimePoint now) {
  std::map<EndpointId, EndpointEvent> events;
  for (const auto& [id, endpoint] : gateway.m_endpoints) {
    events[id] = EndpointEvent::kUnlisted;
  }
  for (const ListedEndpoint& entry : listed) {
    const EndpointId& id = entry.m_endpoint;
    gateway.m_endpoints[id].m_id = id;
    gateway.m_endpoint_addresses[id] = entry.m_address;
    SetEndpointSlots(gateway.m_ledger, id, entry.m_slots);
    events[id] = entry.m_is_leaving ? EndpointEvent::kListedLeaving
                                    : EndpointEvent::kListedLive;
  }
  for (const auto& [id, event] : events) {
    StepEndpoint(gateway, gateway.m_endpoints.at(id), event, now);
  }
}

}  // namespace daisyarch
