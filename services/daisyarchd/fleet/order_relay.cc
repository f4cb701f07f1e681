#include "fleet/order_relay.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "fleet/fleet_node.h"
#include "fleet/send_order.h"
#include "fleet/store_keys.h"
#include "log/log.h"
#include "wire/relay_fields.h"

namespace daisyarch::fleet {

namespace {

// Short enough that a leader soon notices a relay that is gone.
constexpr Duration kMaximumAnswerDelay = std::chrono::milliseconds(200);
// An answer costs the leader more than another outcome in it does.
constexpr Duration kGatherTime = std::chrono::milliseconds(3);
// Keeps answers well below the maximum size of a message.
constexpr std::size_t kMaximumRowsPerAnswer = 8192;
constexpr Duration kSessionTimeout = std::chrono::seconds(10);
constexpr Duration kRegistrationInterval = std::chrono::seconds(20);
constexpr Duration kRegistrationRetry = std::chrono::seconds(2);
// A registration outlives two that fail.
constexpr Duration kRegistrationLease = std::chrono::seconds(70);
constexpr double kMillicoresPerCore = 1000;

using SessionPointer = std::shared_ptr<RelaySession>;

TimePoint Now(const FleetNode& node) { return node.m_runtime.m_clock.m_now(); }

RelayMicroseconds ClockOf(const FleetNode& node) {
  return RelayMicroseconds(Now(node).time_since_epoch().count());
}

std::size_t RowsOf(const RelayedOutcome& outcome) {
  const auto* poll = std::get_if<Result<WorkerReport>>(&outcome.m_outcome);
  if (poll == nullptr || !*poll) return 1;
  const WorkerReport& report = poll->assume_value();
  return 1 + report.m_running.size() + report.m_ended.size();
}

// Takes the outcomes for one answer.
std::vector<RelayedOutcome> TakeOutcomes(RelaySession& session) {
  auto& outcomes = session.m_outcomes;
  std::size_t rows = 0;
  auto end = outcomes.begin();
  while (end != outcomes.end() && rows < kMaximumRowsPerAnswer) {
    rows += RowsOf(*end);
    ++end;
  }
  std::vector<RelayedOutcome> taken(std::make_move_iterator(outcomes.begin()),
                                    std::make_move_iterator(end));
  outcomes.erase(outcomes.begin(), end);
  return taken;
}

void AnswerCall(const FleetNode& node, RelaySession& session) {
  if (!session.m_respond) return;
  RelayAnswer answer;
  answer.m_clock = ClockOf(node);
  answer.m_is_leaving = node.m_is_stopping;
  answer.m_has_dropped_orders =
      std::exchange(session.m_has_dropped_orders, false);
  answer.m_outcomes = TakeOutcomes(session);
  const RelayResponder respond = std::exchange(session.m_respond, nullptr);
  respond(WriteRelayAnswer(answer));
}

void GatherOutcomes(FleetNode& node, const SessionPointer& session) {
  if (session->m_is_gathering || !session->m_respond ||
      session->m_outcomes.empty()) {
    return;
  }
  session->m_is_gathering = true;
  node.m_runtime.m_clock.m_run_after(
      kGatherTime, [&node, weak = std::weak_ptr<RelaySession>(session)] {
        const SessionPointer self = weak.lock();
        if (!self) return;
        self->m_is_gathering = false;
        if (!self->m_outcomes.empty()) AnswerCall(node, *self);
      });
}

void CarryOut(FleetNode& node, const SessionPointer& session,
              const RelayedOrder& relayed) {
  SendOrderTo(node.m_runtime.m_order_sender, relayed.m_address, relayed.m_order,
              [&node, weak = std::weak_ptr<RelaySession>(session),
               number = relayed.m_number](OrderOutcome outcome) {
                const SessionPointer self = weak.lock();
                if (!self) return;
                self->m_outcomes.push_back({number, std::move(outcome)});
                GatherOutcomes(node, self);
              });
}

bool IsGreeting(const RelayCall& call) {
  return call.m_sent_at == RelayMicroseconds();
}

// Returns the session of the call; nullptr if it is not open, or belongs to an
// earlier leader than this relay knows of. Only a greeting opens one: other
// calls are dated by the clock of the process that answered the greeting.
SessionPointer FindSession(OrderRelay& relay, const RelayCall& call) {
  if (call.m_term < relay.m_latest_term) return nullptr;
  relay.m_latest_term = call.m_term;
  const auto found = relay.m_sessions.find(call.m_term);
  const bool is_later = found == relay.m_sessions.end() ||
                        found->second->m_number < call.m_session;
  if (is_later) {
    if (!IsGreeting(call)) return nullptr;
    auto session = std::make_shared<RelaySession>();
    session->m_number = call.m_session;
    relay.m_sessions[call.m_term] = session;
    return session;
  }
  const bool is_open = found->second->m_number == call.m_session;
  return is_open ? found->second : nullptr;
}

void RetryRegistration(FleetNode& node, const Error& error) {
  node.m_order_relay.m_next_registration_at = Now(node) + kRegistrationRetry;
  LogError("relay_not_registered", error);
}

// A fresh entry each time needs no renewal, and replaces one that was removed.
void WriteRegistration(FleetNode& node, StoreLeaseId lease) {
  const SiteSettings& settings = node.m_runtime.m_settings;
  RelayNode entry;
  entry.m_node = settings.m_node;
  entry.m_address = ToString(settings.m_relay_address);
  entry.m_processors =
      Millicores(std::llround(settings.m_processor_share * kMillicoresPerCore));
  StoreTransaction transaction;
  transaction.m_puts.push_back(
      {kRelayPrefix + entry.m_node.value(), WriteRelayNode(entry), lease});
  node.m_runtime.m_store.m_commit(
      transaction, [&node](const Result<TransactionResult>& result) {
        node.m_order_relay.m_is_registering = false;
        if (!result) RetryRegistration(node, result.assume_error());
      });
}

void Register(FleetNode& node) {
  OrderRelay& relay = node.m_order_relay;
  relay.m_is_registering = true;
  relay.m_next_registration_at = Now(node) + kRegistrationInterval;
  node.m_runtime.m_store.m_grant_lease(
      kRegistrationLease, [&node](Result<StoreLeaseId> result) {
        if (result) return WriteRegistration(node, result.assume_value());
        node.m_order_relay.m_is_registering = false;
        RetryRegistration(node, result.assume_error());
      });
}

bool CanBeRelay(const FleetNode& node) {
  const FleetRuntime& runtime = node.m_runtime;
  return runtime.m_settings.m_relay_address.m_port != 0 &&
         !node.m_is_stopping &&
         runtime.m_settings.m_processor_share * kMillicoresPerCore >=
             static_cast<double>(
                 runtime.m_relay_limits.m_minimum_processors.value());
}

}  // namespace

void HandleRelayCall(FleetNode& node, const std::string& call_bytes,
                     const std::string& peer, RelayResponder respond) {
  const auto read = ReadRelayCall(call_bytes, peer);
  if (!read) return respond(read.assume_error());
  const RelayCall& call = read.assume_value();
  const SessionPointer session = FindSession(node.m_order_relay, call);
  if (!session) {
    return respond(Error{ErrorCode::kConflict, "relay orders", peer,
                         "the session is not open"});
  }
  AnswerCall(node, *session);
  session->m_respond = std::move(respond);
  session->m_called_at = Now(node);
  session->m_answer_by = Now(node) + kMaximumAnswerDelay;
  if (IsGreeting(call)) return AnswerCall(node, *session);
  for (const RelayedOrder& order : call.m_orders) {
    if (IsRecentOrder(call.m_sent_at, ClockOf(node))) {
      CarryOut(node, session, order);
    } else {
      session->m_has_dropped_orders = true;
      session->m_outcomes.push_back(
          {order.m_number,
           UnsentOutcome(order.m_order, "the order was late at the relay")});
    }
  }
  GatherOutcomes(node, session);
}

void TickOrderRelay(FleetNode& node) {
  OrderRelay& relay = node.m_order_relay;
  const TimePoint now = Now(node);
  for (auto entry = relay.m_sessions.begin();
       entry != relay.m_sessions.end();) {
    RelaySession& session = *entry->second;
    if (now >= session.m_answer_by) AnswerCall(node, session);
    const bool is_over = now - session.m_called_at >= kSessionTimeout;
    entry = is_over ? relay.m_sessions.erase(entry) : std::next(entry);
  }
  const bool is_due =
      !relay.m_is_registering && now >= relay.m_next_registration_at;
  if (is_due && CanBeRelay(node)) Register(node);
}

}  // namespace daisyarch::fleet
