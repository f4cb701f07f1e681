#include "fleet/relay_links.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "decisions/fleet/late_start.h"
#include "fleet/leader.h"
#include "fleet/store_keys.h"
#include "log/log.h"
#include "wire/relay_fields.h"

namespace daisyarch::fleet {

namespace {

// A relay answers each call within a quarter of a second. The rest is for late
// loops: a call without an answer puts every order at the relay in doubt.
constexpr Duration kCallTimeout = std::chrono::milliseconds(1500);
// The workers' limit on an order over an open connection, and the time that the
// order and its outcome may take on their way.
constexpr Duration kOutcomeTimeout = std::chrono::milliseconds(1300);
constexpr Duration kDeadlineCheckInterval = std::chrono::milliseconds(200);
constexpr Duration kRetryDelay = std::chrono::seconds(3);
constexpr Duration kDirectPeriod = std::chrono::seconds(5);
constexpr Duration kWatchInterval = std::chrono::seconds(1);
// A leader whose ticks come further apart makes its orders late itself, and
// needs its relays all the more.
constexpr Duration kPunctualTickGap = std::chrono::milliseconds(250);
// Keeps calls well below the maximum size of a message.
constexpr std::size_t kMaximumPayloadPerCall = 1024 * 1024;
constexpr double kMillicoresPerCore = 1000;

TimePoint Now(const Leader& leader) { return leader.m_runtime.m_clock.m_now(); }

void SendCall(const LeaderPointer& leader, RelayLink& link);

// Ends the session. Queued orders were not sent; the others may still be
// carried out.
void FailOrders(const LeaderPointer& leader, RelayLink& link) {
  const auto queue = std::exchange(link.m_queue, {});
  auto open = std::exchange(link.m_open, {});
  link.m_session = RelaySessionNumber();
  link.m_calls_in_flight = 0;
  for (const RelayedOrder& queued : queue) {
    open.erase(queued.m_number);
    HandleOrderOutcome(
        leader, queued.m_order,
        UnsentOutcome(queued.m_order, "the link to the relay was lost"));
  }
  for (const auto& entry : open) {
    const Order& order = entry.second.m_order;
    HandleOrderOutcome(leader, order,
                       UnknownOutcome(order, "the link to the relay was lost"));
  }
  RequestSchedulingPass(leader);
}

void OpenSession(const LeaderPointer& leader, RelayLink& link) {
  leader->m_relays.m_last_session = Next(leader->m_relays.m_last_session);
  link.m_session = leader->m_relays.m_last_session;
  link.m_calls_in_flight = 0;
  link.m_clock = RelayClockOffset();
  SendCall(leader, link);
}

void StepLink(const LeaderPointer& leader, RelayLink& link,
              RelayLinkEvent event) {
  const RelayLinkState before = link.m_state;
  RelayLinkEffects effects;
  leader->m_runtime.m_fleet_state_machines.m_relay_link.Step(link.m_state,
                                                             event, effects);
  if (link.m_state == before) return;
  LogEvent(LogLevel::kInfo, "relay_link",
           {{"relay", link.m_relay.m_node.value()},
            {"from", ToString(before)},
            {"to", ToString(link.m_state)},
            {"open_orders", std::uint64_t{link.m_open.size()}}});
  if (effects.m_must_wait_to_retry) {
    link.m_retry_at = Now(*leader) + kRetryDelay;
  }
  if (effects.m_must_fail_orders) FailOrders(leader, link);
  if (effects.m_must_greet) OpenSession(leader, link);
}

// Only the relay may be cut off from the worker.
void ServeDirectly(Leader& leader, const WorkerId& worker) {
  leader.m_relays.m_direct_until[worker] = Now(leader) + kDirectPeriod;
}

void ApplyOutcome(const LeaderPointer& leader, RelayLink& link,
                  const RelayedOutcome& outcome) {
  const auto open = link.m_open.find(outcome.m_number);
  if (open == link.m_open.end()) return;
  const Order order = std::move(open->second.m_order);
  link.m_open.erase(open);
  // An outcome of another kind than the order's comes from a faulty relay.
  const bool fits =
      UnsentOutcome(order, "").index() == outcome.m_outcome.index();
  const auto* poll = std::get_if<Result<WorkerReport>>(&outcome.m_outcome);
  if (poll != nullptr && !*poll &&
      poll->assume_error().m_code == ErrorCode::kOutcomeUnknown) {
    ServeDirectly(*leader, WorkerOf(order));
  }
  HandleOrderOutcome(
      leader, order,
      fits ? outcome.m_outcome : UnknownOutcome(order, "malformed outcome"));
}

// A reading is at most as old as a call may take; an older one is of a clock
// that has begun anew.
bool IsClockReset(const RelayLink& link, RelayMicroseconds clock,
                  TimePoint now) {
  return link.m_clock.m_is_known &&
         clock + RelayMicroseconds(kCallTimeout.count()) <
             RelayClockAt(link.m_clock, now);
}

void FinishCall(const LeaderPointer& leader, RelayLink& link,
                const Result<std::string>& result) {
  --link.m_calls_in_flight;
  if (!result) {
    LogError("relay_call_failed", result.assume_error());
    return StepLink(leader, link, RelayLinkEvent::kFailed);
  }
  const auto answer =
      ReadRelayAnswer(result.assume_value(), link.m_relay.m_node.value());
  if (!answer) {
    LogError("relay_answer_malformed", answer.assume_error());
    return StepLink(leader, link, RelayLinkEvent::kFailed);
  }
  const RelayAnswer& read = answer.assume_value();
  if (IsClockReset(link, read.m_clock, Now(*leader))) {
    return StepLink(leader, link, RelayLinkEvent::kFailed);
  }
  AddClockReading(link.m_clock, read.m_clock, Now(*leader));
  const bool is_relay_late =
      read.m_has_dropped_orders && leader->m_tick_gap < kPunctualTickGap;
  StepLink(leader, link,
           read.m_is_leaving || is_relay_late
               ? RelayLinkEvent::kLeavingAnnounced
               : RelayLinkEvent::kAnswered);
  for (const RelayedOutcome& outcome : read.m_outcomes) {
    ApplyOutcome(leader, link, outcome);
  }
  RequestSchedulingPass(leader);
}

// Takes queued orders for one call.
std::vector<RelayedOrder> TakeOrders(RelayLink& link) {
  std::size_t bytes = 0;
  auto end = link.m_queue.begin();
  while (end != link.m_queue.end() && bytes < kMaximumPayloadPerCall) {
    constexpr std::size_t kOtherBytes = 128;
    bytes += kOtherBytes;
    if (const auto* start = std::get_if<StartOrder>(&end->m_order)) {
      bytes += start->m_payload.size();
    }
    ++end;
  }
  std::vector<RelayedOrder> taken(std::make_move_iterator(link.m_queue.begin()),
                                  std::make_move_iterator(end));
  link.m_queue.erase(link.m_queue.begin(), end);
  return taken;
}

// The relay counts the age of an order from the same time.
void RecordStartsSent(Leader& leader, RelayLink& link,
                      std::vector<RelayedOrder>& orders, TimePoint now) {
  for (RelayedOrder& relayed : orders) {
    auto* start = std::get_if<StartOrder>(&relayed.m_order);
    if (start == nullptr) continue;
    RecordStartSent(leader.m_fleet, *start, now);
    const auto open = link.m_open.find(relayed.m_number);
    if (open == link.m_open.end()) continue;
    std::get<StartOrder>(open->second.m_order).m_sent_at = start->m_sent_at;
  }
}

void SendCall(const LeaderPointer& leader, RelayLink& link) {
  const TimePoint now = Now(*leader);
  RelayCall call;
  call.m_term = leader->m_claim.m_term;
  call.m_session = link.m_session;
  if (link.m_clock.m_is_known) {
    call.m_sent_at = RelayClockAt(link.m_clock, now);
  }
  call.m_orders = TakeOrders(link);
  RecordStartsSent(*leader, link, call.m_orders, now);
  ++leader->m_load.m_relay_calls;
  ++link.m_calls_in_flight;
  const std::weak_ptr<Leader> weak = leader;
  leader->m_runtime.m_call_relay(
      link.m_relay.m_address, WriteRelayCall(call), kCallTimeout,
      [weak, relay = link.m_relay.m_node,
       session = link.m_session](const Result<std::string>& result) {
        const LeaderPointer self = weak.lock();
        if (!self) return;
        const auto found = self->m_relays.m_links.find(relay);
        if (found == self->m_relays.m_links.end() ||
            found->second.m_session != session) {
          return;
        }
        FinishCall(self, found->second, result);
      });
}

void ApplyEntry(RelayLinks& relays, const std::string& key,
                const std::string& value) {
  auto entry = ReadRelayNode(value, key);
  if (!entry) return LogError("relay_unreadable", entry.assume_error());
  const NodeId node = entry.assume_value().m_node;
  relays.m_nodes[node] = std::move(entry).assume_value();
}

void ApplyListing(RelayLinks& relays, const std::vector<StoredItem>& items) {
  relays.m_nodes.clear();
  for (const StoredItem& item : items) {
    ApplyEntry(relays, item.m_key, item.m_value);
  }
}

void ApplyChanges(RelayLinks& relays, const std::vector<StoreChange>& changes) {
  for (const StoreChange& change : changes) {
    if (change.m_value) {
      ApplyEntry(relays, change.m_key, *change.m_value);
    } else {
      relays.m_nodes.erase(NodeId(change.m_key.substr(kRelayPrefix.size())));
    }
  }
}

// Returns the nodes that may become relays. An entry may be missing while the
// store is down, so a link that works stays in use without one.
std::vector<RelayNode> FindCandidates(const Leader& leader) {
  const RelayLinks& relays = leader.m_relays;
  std::map<NodeId, RelayNode> candidates = relays.m_nodes;
  candidates.erase(leader.m_runtime.m_settings.m_node);
  for (const auto& [node, link] : relays.m_links) {
    if (link.m_state == RelayLinkState::kServing) {
      candidates[node] = link.m_relay;
    } else if (link.m_state == RelayLinkState::kLeaving ||
               link.m_state == RelayLinkState::kSuspected) {
      candidates.erase(node);
    }
  }
  std::vector<RelayNode> result;
  for (auto& entry : candidates) result.push_back(std::move(entry.second));
  return result;
}

std::vector<RelayNode> FindServing(const RelayLinks& relays) {
  std::vector<RelayNode> serving;
  for (const auto& entry : relays.m_links) {
    if (entry.second.m_state == RelayLinkState::kServing) {
      serving.push_back(entry.second.m_relay);
    }
  }
  return serving;
}

// Returns this node with the processor time that the relays lack.
RelayNode StandIn(const Leader& leader, const std::vector<RelayNode>& relays) {
  const RelayLimits& limits = leader.m_runtime.m_relay_limits;
  constexpr std::int64_t kMillicores = 1000;
  Millicores missing(
      static_cast<std::int64_t>(leader.m_fleet.m_workers.size()) * kMillicores /
      limits.m_relayed_workers_per_core);
  for (const RelayNode& relay : relays) missing -= relay.m_processors;
  return {leader.m_runtime.m_settings.m_node, "",
          std::max(missing, Millicores(1))};
}

// Relays that serve stay in use as long as they suffice, so that one that was
// lost does not displace the one that has replaced it.
void UpdateChoice(const LeaderPointer& leader) {
  RelayLinks& relays = leader->m_relays;
  const RelayLimits& limits = leader->m_runtime.m_relay_limits;
  const Millicores own_processors(std::llround(
      leader->m_runtime.m_settings.m_processor_share * kMillicoresPerCore));
  const std::size_t workers = leader->m_fleet.m_workers.size();
  relays.m_serving =
      ChooseRelays(limits, FindServing(relays), own_processors, workers);
  std::set<NodeId> serving;
  for (const RelayNode& relay : relays.m_serving) serving.insert(relay.m_node);
  for (auto& [node, link] : relays.m_links) {
    if (serving.count(node) == 0) {
      StepLink(leader, link, RelayLinkEvent::kReleased);
    }
  }
  if (CanServe(limits, relays.m_serving, workers)) return;
  const auto chosen =
      ChooseRelays(limits, FindCandidates(*leader), own_processors, workers);
  for (const RelayNode& relay : chosen) {
    RelayLink& link = relays.m_links[relay.m_node];
    if (link.m_state == RelayLinkState::kIdle) link.m_relay = relay;
    StepLink(leader, link, RelayLinkEvent::kChosen);
  }
  if (!relays.m_serving.empty()) {
    relays.m_serving.push_back(StandIn(*leader, relays.m_serving));
  }
}

void GiveUpLateOrders(const LeaderPointer& leader, RelayLink& link) {
  const TimePoint now = Now(*leader);
  std::vector<Order> late;
  for (auto open = link.m_open.begin(); open != link.m_open.end();) {
    if (now < open->second.m_deadline) {
      ++open;
      continue;
    }
    late.push_back(std::move(open->second.m_order));
    open = link.m_open.erase(open);
  }
  for (const Order& order : late) {
    ServeDirectly(*leader, WorkerOf(order));
    HandleOrderOutcome(leader, order,
                       UnknownOutcome(order, "no outcome from the relay"));
  }
}

Duration OutcomeTimeoutOf(const Order& order) {
  const auto* poll = std::get_if<PollOrder>(&order);
  return kOutcomeTimeout + (poll == nullptr ? Duration{} : poll->m_wait);
}

// Takes the starts back that are late before they leave; see SendOrders().
void WithholdStarts(const LeaderPointer& leader, RelayLink& link) {
  const auto first = std::stable_partition(
      link.m_queue.begin(), link.m_queue.end(), [](const RelayedOrder& queued) {
        return !std::holds_alternative<StartOrder>(queued.m_order);
      });
  const std::vector<RelayedOrder> starts(
      std::make_move_iterator(first),
      std::make_move_iterator(link.m_queue.end()));
  link.m_queue.erase(first, link.m_queue.end());
  for (const RelayedOrder& start : starts) {
    link.m_open.erase(start.m_number);
    HandleOrderOutcome(leader, start.m_order,
                       UnsentOutcome(start.m_order, "the turn took too long"));
  }
}

bool IsServedDirectly(Leader& leader, const WorkerId& worker) {
  auto& direct_until = leader.m_relays.m_direct_until;
  const auto found = direct_until.find(worker);
  if (found == direct_until.end()) return false;
  if (Now(leader) < found->second) return true;
  direct_until.erase(found);
  return false;
}

}  // namespace

void StartRelays(const LeaderPointer& leader) {
  auto watch = std::make_shared<PrefixWatch>();
  watch->m_prefix = kRelayPrefix;
  watch->m_interval = kWatchInterval;
  const std::weak_ptr<Leader> weak = leader;
  watch->m_on_listing = [weak](const std::vector<StoredItem>& items) {
    const LeaderPointer self = weak.lock();
    if (self) ApplyListing(self->m_relays, items);
  };
  watch->m_on_changes = [weak](const std::vector<StoreChange>& changes) {
    const LeaderPointer self = weak.lock();
    if (self) ApplyChanges(self->m_relays, changes);
  };
  leader->m_relays.m_watch = std::move(watch);
}

void TickRelays(const LeaderPointer& leader) {
  RelayLinks& relays = leader->m_relays;
  if (!leader->m_runtime.m_call_relay) return;
  TickWatch(relays.m_watch, leader->m_runtime.m_store,
            leader->m_runtime.m_clock.m_now);
  const TimePoint now = Now(*leader);
  const bool must_check_deadlines = now >= relays.m_next_deadline_check_at;
  if (must_check_deadlines) {
    relays.m_next_deadline_check_at = now + kDeadlineCheckInterval;
  }
  for (auto& entry : relays.m_links) {
    RelayLink& link = entry.second;
    if (must_check_deadlines) GiveUpLateOrders(leader, link);
    if (link.m_open.empty()) StepLink(leader, link, RelayLinkEvent::kDrained);
    if (now >= link.m_retry_at) {
      StepLink(leader, link, RelayLinkEvent::kRetryDue);
    }
  }
  UpdateChoice(leader);
}

bool GiveToRelay(Leader& leader, const std::string& address,
                 const Order& order) {
  RelayLinks& relays = leader.m_relays;
  if (relays.m_serving.empty()) return false;
  const WorkerId& worker = WorkerOf(order);
  if (IsServedDirectly(leader, worker)) return false;
  const bool is_start = std::holds_alternative<StartOrder>(order);
  if (is_start && !MayRelayStart(leader.m_fleet.m_limits.m_maximum_listing_age,
                                 Now(leader) - leader.m_fleet.m_listed_at)) {
    return false;
  }
  const RelayNode& relay = relays.m_serving[RelayOf(relays.m_serving, worker)];
  const auto found = relays.m_links.find(relay.m_node);
  if (found == relays.m_links.end() ||
      found->second.m_state != RelayLinkState::kServing) {
    return false;
  }
  RelayLink& link = found->second;
  relays.m_last_order = Next(relays.m_last_order);
  link.m_queue.push_back({relays.m_last_order, address, order});
  link.m_open.emplace(
      relays.m_last_order,
      OpenOrder{WithoutPayload(order), Now(leader) + OutcomeTimeoutOf(order)});
  ++leader.m_load.m_relayed_orders;
  return true;
}

void CallRelays(const LeaderPointer& leader) {
  for (auto& entry : leader->m_relays.m_links) {
    RelayLink& link = entry.second;
    if (!MayStartsLeave(*leader)) WithholdStarts(leader, link);
    const bool is_open = link.m_state == RelayLinkState::kServing ||
                         link.m_state == RelayLinkState::kLeaving;
    if (!is_open) continue;
    // One call always waits at the relay, for the outcomes.
    if (link.m_calls_in_flight == 0) SendCall(leader, link);
    while (!link.m_queue.empty()) SendCall(leader, link);
  }
}

}  // namespace daisyarch::fleet
