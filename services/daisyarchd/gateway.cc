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
constexpr Duration kLongestDeadline = std::chrono::minutes(10);
/// An endpoint whose connection failed may go on with the request this long.
constexpr Duration kHoldLostSlot = std::chrono::seconds(2);
constexpr unsigned kFirstServerError = 500;

Duration ParseDeadline(const std::string& text) {
  std::int64_t milliseconds = 0;
  const char* end = text.data() + text.size();
  const auto [stop, code] = std::from_chars(text.data(), end, milliseconds);
  if (code != std::errc() || stop != end || milliseconds <= 0) {
    return Duration::zero();
  }
  return std::min(FromMilliseconds(milliseconds), kLongestDeadline);
}

std::string MemberLabel(const OpenRequest& open, const char* outcome) {
  return "class=\"" + open.m_request.m_waiting.m_class.value() +
         "\",member=\"" + open.m_request.m_waiting.m_member.value() +
         "\",outcome=\"" + outcome + "\"";
}

// Each request is counted once for its member, served or not.
void Finish(Gateway& gateway, OpenRequest& open, HttpResponse response,
            const char* outcome) {
  gateway.m_runtime.m_metrics.IncrementCounter("requests_total",
                                               MemberLabel(open, outcome));
  const HttpResponder respond = std::move(open.m_respond);
  respond(std::move(response));
}

std::string OwnerName(const Gateway& gateway, const OpenRequest& open) {
  const Member& self = gateway.m_membership.m_table.m_self;
  return self.m_node.value() + "/" +
         std::to_string(self.m_incarnation.value()) + "/" +
         std::to_string(open.m_request.m_waiting.m_id.value());
}

// A key whose request certainly was not sent may be used again.
void FreeKey(Gateway& gateway, const OpenRequest& open) {
  if (open.m_once_key == IdempotencyKey()) return;
  FreeOnce(gateway.m_claims, open.m_request.m_waiting.m_member, open.m_once_key,
           OwnerName(gateway, open));
}

StepResult StepRequest(Gateway& gateway, Request& request, RequestEvent event,
                       TimePoint now) {
  RequestContext context{request, gateway.m_budget, now};
  return gateway.m_runtime.m_machines.m_request.Step(request.m_state, event,
                                                     context);
}

void StepEndpoint(Gateway& gateway, Endpoint& endpoint, EndpointEvent event,
                  TimePoint now) {
  EndpointContext context{endpoint, now};
  gateway.m_runtime.m_machines.m_endpoint.Step(endpoint.m_state, event,
                                               context);
}

// Answers a request that reached an end without an endpoint's answer.
void Settle(Gateway& gateway, RequestId id, const Error& cause) {
  const auto found = gateway.m_open.find(id);
  OpenRequest open = std::move(found->second);
  gateway.m_open.erase(found);
  Error error = cause;
  const bool is_refused = open.m_request.m_state == RequestState::kRefused;
  error.m_code = is_refused ? ErrorCode::kNotRun : ErrorCode::kOutcomeUnknown;
  if (is_refused) FreeKey(gateway, open);
  Finish(gateway, open, MakeErrorResponse(error),
         is_refused ? "not_run" : "unknown");
}

// Goes on with a request after an event: waits again, or settles.
void GoOn(Gateway& gateway, RequestId id, const Error& cause) {
  OpenRequest& open = gateway.m_open.at(id);
  if (open.m_request.m_state == RequestState::kWaiting) {
    PutBack(gateway.m_admission, open.m_request.m_waiting);
    return;
  }
  Settle(gateway, id, cause);
}

void FreeSlotOf(Gateway& gateway, const OpenRequest& open, bool is_certain,
                TimePoint now) {
  ReleaseSlot(gateway.m_admission, open.m_request.m_waiting.m_class);
  if (is_certain) return ReturnSlot(gateway.m_ledger, open.m_endpoint);
  gateway.m_held_slots.push_back(
      HeldSlot{open.m_endpoint, now + kHoldLostSlot});
}

bool IsOwnAnswer(const OpenRequest& open, const HttpResponse& response) {
  const std::string echoed = FindHeader(response.m_headers, kRequestHeader);
  if (echoed.empty()) return true;
  return echoed == FindHeader(open.m_message.m_headers, kRequestHeader);
}

void Deliver(Gateway& gateway, RequestId id, HttpResponse response,
             TimePoint now) {
  const auto found = gateway.m_open.find(id);
  OpenRequest open = std::move(found->second);
  gateway.m_open.erase(found);
  const WaitingRequest& waiting = open.m_request.m_waiting;
  const Duration latency = now - open.m_sent_at;
  LearnServiceTime(gateway.m_admission, waiting.m_class, latency);
  LearnLatency(gateway.m_endpoints.at(open.m_endpoint), latency, now);
  gateway.m_runtime.m_metrics.RecordLatency(waiting.m_class.value(),
                                            now - waiting.m_arrived_at);
  Finish(gateway, open, std::move(response), "served");
}

void OnAnswer(Gateway& gateway, RequestId id, Result<HttpResponse> result) {
  const TimePoint now = gateway.m_runtime.m_clock.m_now();
  OpenRequest& open = gateway.m_open.at(id);
  Endpoint& endpoint = gateway.m_endpoints.at(open.m_endpoint);
  if (result && !IsOwnAnswer(open, result.assume_value())) {
    result = Error{ErrorCode::kOutcomeUnknown, "read answer",
                   open.m_endpoint.value(), "it answers another request"};
  }
  const bool is_unsent =
      !result && result.assume_error().m_code == ErrorCode::kUnavailable;
  FreeSlotOf(gateway, open, result || is_unsent, now);
  const bool is_failure =
      !result || result.assume_value().m_status >= kFirstServerError;
  StepEndpoint(gateway, endpoint,
               is_failure ? EndpointEvent::kFailed : EndpointEvent::kSucceeded,
               now);
  if (result) {
    StepRequest(gateway, open.m_request, RequestEvent::kAnswered, now);
    Deliver(gateway, id, std::move(result).assume_value(), now);
  } else {
    const RequestEvent event =
        is_unsent ? RequestEvent::kUnsent : RequestEvent::kLost;
    StepRequest(gateway, open.m_request, event, now);
    GoOn(gateway, id, result.assume_error());
  }
  PumpRequests(gateway, now);
}

// The first try of a request that may be repeated leaves half of the time
// for a second one: its connection may have gone silent.
Duration AttemptTimeout(const OpenRequest& open, TimePoint now) {
  const Request& request = open.m_request;
  const Duration left = request.m_waiting.m_deadline - now;
  const bool may_follow =
      request.m_repeatable == Repeatable::kYes && request.m_sends <= 1;
  return may_follow ? left / 2 : left;
}

void SendNow(Gateway& gateway, RequestId id, TimePoint now) {
  OpenRequest& open = gateway.m_open.at(id);
  StepRequest(gateway, open.m_request, RequestEvent::kDispatched, now);
  open.m_sent_at = now;
  gateway.m_runtime.m_endpoints.m_send(
      gateway.m_addresses.at(open.m_endpoint), open.m_message,
      AttemptTimeout(open, now), [&gateway, id](Result<HttpResponse> result) {
        OnAnswer(gateway, id, std::move(result));
      });
}

void Dispatch(Gateway& gateway, RequestId id, const EndpointId& endpoint,
              TimePoint now) {
  gateway.m_open.at(id).m_endpoint = endpoint;
  SendNow(gateway, id, now);
}

HttpResponse Refuse(ErrorCode code, const HttpRequest& message,
                    const std::string& detail) {
  return MakeErrorResponse(Error{code, "read request", message.m_peer, detail});
}

struct RequestHead {
  ClassId m_class;
  MemberId m_member;
  Duration m_deadline = kDefaultDeadline;
};

Result<RequestHead> ReadHead(const HttpRequest& message) {
  RequestHead head;
  head.m_class = ClassId(FindHeader(message.m_headers, kClassHeader));
  head.m_member = MemberId(FindHeader(message.m_headers, kMemberHeader));
  const std::string deadline = FindHeader(message.m_headers, kDeadlineHeader);
  const auto fail = [&](const std::string& detail) {
    return Error{ErrorCode::kInvalidArgument, "read request", message.m_peer,
                 detail};
  };
  if (head.m_class == ClassId()) {
    return fail(std::string("header ") + kClassHeader + " is missing");
  }
  if (head.m_member == MemberId()) {
    return fail(std::string("header ") + kMemberHeader + " is missing");
  }
  if (deadline.empty()) return head;
  head.m_deadline = ParseDeadline(deadline);
  if (head.m_deadline > Duration::zero()) return head;
  return fail(std::string("header ") + kDeadlineHeader +
              " is not a positive number of milliseconds");
}

OpenRequest MakeOpenRequest(Gateway& gateway, const RequestHead& head,
                            HttpRequest message, HttpResponder respond,
                            TimePoint now) {
  OpenRequest open;
  WaitingRequest& waiting = open.m_request.m_waiting;
  waiting.m_id = gateway.m_next_request;
  gateway.m_next_request = Next(gateway.m_next_request);
  waiting.m_class = head.m_class;
  waiting.m_member = head.m_member;
  waiting.m_arrived_at = now;
  waiting.m_deadline = now + head.m_deadline;
  open.m_once_key = IdempotencyKey(FindHeader(message.m_headers, kOnceHeader));
  const bool is_once = open.m_once_key != IdempotencyKey();
  open.m_request.m_repeatable = is_once ? Repeatable::kNo : Repeatable::kYes;
  open.m_message = std::move(message);
  auto& headers = open.m_message.m_headers;
  headers.erase(std::remove_if(headers.begin(), headers.end(), IsHopByHop),
                headers.end());
  headers.emplace_back(kRequestHeader, OwnerName(gateway, open));
  open.m_respond = std::move(respond);
  return open;
}

// The others may share this node's slots out once it was removed, so what is
// in flight has to end before that can be.
void SettleWithoutRight(Gateway& gateway, TimePoint now) {
  if (MayServe(gateway.m_membership.m_table, now)) {
    gateway.m_could_serve_at = now;
    return;
  }
  if (now < gateway.m_could_serve_at + kSettleTime) return;
  // The next time is a whole settle time away.
  gateway.m_could_serve_at = now;
  gateway.m_runtime.m_endpoints.m_drop_all();
}

void FreeHeldSlots(Gateway& gateway, TimePoint now) {
  auto& held = gateway.m_held_slots;
  const auto due = std::partition(
      held.begin(), held.end(),
      [now](const HeldSlot& slot) { return now < slot.m_until; });
  for (auto slot = due; slot != held.end(); ++slot) {
    ReturnSlot(gateway.m_ledger, slot->m_endpoint);
  }
  held.erase(due, held.end());
}

void SettleLate(Gateway& gateway, TimePoint now) {
  for (const WaitingRequest& late : TakeLate(gateway.m_admission, now)) {
    OpenRequest& open = gateway.m_open.at(late.m_id);
    StepRequest(gateway, open.m_request, RequestEvent::kExpired, now);
    Settle(gateway, late.m_id,
           Error{ErrorCode::kNotRun, "wait for a slot", late.m_member.value(),
                 "it can no longer be in time"});
  }
}

void Admit(Gateway& gateway, OpenRequest open) {
  const TimePoint now = gateway.m_runtime.m_clock.m_now();
  const SlotSupply supply = CountSlots(gateway.m_endpoints, gateway.m_ledger);
  const auto offered = OfferRequest(
      gateway.m_admission, open.m_request.m_waiting, supply.m_entitled, now);
  if (!offered) {
    FreeKey(gateway, open);
    return Finish(gateway, open, MakeErrorResponse(offered.assume_error()),
                  "not_run");
  }
  gateway.m_open.emplace(open.m_request.m_waiting.m_id, std::move(open));
  PumpRequests(gateway, now);
}

void OnClaimed(Gateway& gateway, OpenRequest& open, ClaimResult claim) {
  if (claim == ClaimResult::kClaimed) return Admit(gateway, std::move(open));
  if (claim == ClaimResult::kTaken) {
    const Error error{ErrorCode::kConflict, "claim key",
                      open.m_once_key.value(),
                      "a request under this key was sent before; its outcome "
                      "is not known here"};
    return Finish(gateway, open, MakeErrorResponse(error), "repeated");
  }
  const Error error{ErrorCode::kNotRun, "claim key", "store",
                    "it does not answer"};
  Finish(gateway, open, MakeErrorResponse(error), "not_run");
}

// The key is claimed before the request waits for a slot: a slow store then
// holds no slot back from the requests that do not need it.
void ClaimAndAdmit(Gateway& gateway, OpenRequest open) {
  if (gateway.m_runtime.m_store_health.m_state == StoreState::kDown) {
    return OnClaimed(gateway, open, ClaimResult::kUnavailable);
  }
  const MemberId member = open.m_request.m_waiting.m_member;
  const IdempotencyKey key = open.m_once_key;
  const std::string owner = OwnerName(gateway, open);
  const auto held = std::make_shared<OpenRequest>(std::move(open));
  ClaimOnce(gateway.m_claims, member, key, owner,
            [&gateway, held](ClaimResult claim) {
              OnClaimed(gateway, *held, claim);
            });
}

}  // namespace

void HandleRequest(Gateway& gateway, HttpRequest message,
                   HttpResponder respond) {
  const TimePoint now = gateway.m_runtime.m_clock.m_now();
  const auto head = ReadHead(message);
  if (!head) return respond(MakeErrorResponse(head.assume_error()));
  if (!gateway.m_takes_requests) {
    return respond(
        Refuse(ErrorCode::kNotRun, message, "this node does not serve now"));
  }
  CountRequest(gateway.m_budget);
  OpenRequest open =
      MakeOpenRequest(gateway, head.assume_value(), std::move(message),
                      std::move(respond), now);
  if (open.m_once_key == IdempotencyKey()) {
    return Admit(gateway, std::move(open));
  }
  ClaimAndAdmit(gateway, std::move(open));
}

void PumpRequests(Gateway& gateway, TimePoint now) {
  if (!MayServe(gateway.m_membership.m_table, now)) return;
  while (true) {
    const SlotSupply supply = CountSlots(gateway.m_endpoints, gateway.m_ledger);
    const auto next =
        TakeNext(gateway.m_admission, supply.m_free, supply.m_entitled, now);
    if (!next) return;
    const auto endpoint = ChooseEndpoint(gateway.m_endpoints, gateway.m_ledger,
                                         gateway.m_random, now);
    const bool has_slot = endpoint && TakeSlot(gateway.m_ledger, *endpoint);
    if (!has_slot) {
      ReleaseSlot(gateway.m_admission, next->m_class);
      PutBack(gateway.m_admission, *next);
      return;
    }
    Dispatch(gateway, next->m_id, *endpoint, now);
  }
}

void TickGateway(Gateway& gateway, TimePoint now) {
  SettleWithoutRight(gateway, now);
  FreeHeldSlots(gateway, now);
  for (auto& [id, endpoint] : gateway.m_endpoints) {
    const bool is_due = endpoint.m_state == EndpointState::kEjected &&
                        now >= endpoint.m_ejected_until;
    if (!is_due) continue;
    StepEndpoint(gateway, endpoint, EndpointEvent::kBackOffEnded, now);
  }
  SettleLate(gateway, now);
  TickLoans(gateway, now);
  PumpRequests(gateway, now);
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
    gateway.m_addresses[id] = entry.m_address;
    SetEndpointSlots(gateway.m_ledger, id, entry.m_slots);
    events[id] = entry.m_is_leaving ? EndpointEvent::kListedLeaving
                                    : EndpointEvent::kListedLive;
  }
  for (const auto& [id, event] : events) {
    StepEndpoint(gateway, gateway.m_endpoints.at(id), event, now);
  }
}

}  // namespace daisyarch
