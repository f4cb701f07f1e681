#include "wire/relay_fields.h"

#include <utility>

#include "wire/binary_codec.h"
#include "wire/placement_fields.h"

namespace daisyarch {

template <>
struct EnumNames<ErrorCode> {
  static constexpr const char* kNames[] = {
      "invalid_argument", "not_found",       "conflict",  "not_run",
      "unavailable",      "outcome_unknown", "not_owner", "internal"};
};
template <>
struct EnumNames<fleet::StartOutcome> {
  static constexpr const char* kNames[] = {"started", "refused", "unanswered"};
};
template <>
struct EnumNames<fleet::RunOutcome> {
  static constexpr const char* kNames[] = {"done",   "failed", "stopped",
                                           "lapsed", "broken", "alone"};
};

namespace fleet {

// An outcome as it is encoded.
struct EncodedStart {
  StartOutcome m_outcome = StartOutcome::kUnanswered;
  bool m_has_clock = false;
  WorkerMilliseconds m_clock;
};
struct OrderDone {};
struct OrderFailure {
  ErrorCode m_code = ErrorCode::kInternal;
  std::string m_detail;
  bool m_is_closed_by_peer = false;
};
struct FailedOrder {
  OrderFailure m_failure;
};
struct FailedPoll {
  OrderFailure m_failure;
};
struct EncodedOutcome {
  OrderNumber m_number;
  std::variant<EncodedStart, OrderDone, WorkerReport, FailedOrder, FailedPoll>
      m_outcome;
};
struct EncodedAnswer {
  RelayMicroseconds m_clock;
  bool m_is_leaving = false;
  bool m_has_dropped_orders = false;
  std::vector<EncodedOutcome> m_outcomes;
};

template <typename Visitor>
void VisitFields(Visitor& visit, TaskReference& task) {
  visit("job", task.m_job);
  visit("occurrence", task.m_occurrence);
  visit("step", task.m_step);
  visit("index", task.m_index);
}

template <typename Visitor>
void VisitFields(Visitor& visit, StartOrder& order) {
  visit("worker", order.m_worker);
  visit("task", order.m_task);
  visit("run", order.m_run);
  visit("token", order.m_token);
  visit("lease_until", order.m_lease_until);
  visit("payload", order.m_payload);
  visit("checkpoint", order.m_checkpoint);
}

template <typename Visitor>
void VisitFields(Visitor& visit, StopOrder& order) {
  visit("worker", order.m_worker);
  visit("task", order.m_task);
  visit("run", order.m_run);
  visit("token", order.m_token);
}

template <typename Visitor>
void VisitFields(Visitor& visit, ThrottleOrder& order) {
  visit("worker", order.m_worker);
  visit("task", order.m_task);
  visit("run", order.m_run);
  visit("token", order.m_token);
  visit("percent", order.m_percent);
}

template <typename Visitor>
void VisitFields(Visitor& visit, PollOrder& order) {
  visit("worker", order.m_worker);
  visit("token", order.m_token);
  visit("acknowledged", order.m_acknowledged);
  visit("has_lease", order.m_has_lease);
  visit("lease_until", order.m_lease_until);
  visit("wait", order.m_wait);
}

template <typename Visitor>
void VisitFields(Visitor& visit, RelayedOrder& order) {
  visit("number", order.m_number);
  visit("address", order.m_address);
  visit("order", order.m_order);
}

template <typename Visitor>
void VisitFields(Visitor& visit, RelayCall& call) {
  visit("term", call.m_term);
  visit("session", call.m_session);
  visit("sent_at", call.m_sent_at);
  visit("orders", call.m_orders);
}

template <typename Visitor>
void VisitFields(Visitor& visit, ActiveRun& active) {
  visit("task", active.m_task);
  visit("run", active.m_run);
  visit("checkpoint", active.m_checkpoint);
  visit("progress_percent", active.m_progress_percent);
  visit("load", active.m_load);
}

template <typename Visitor>
void VisitFields(Visitor& visit, EndedRun& ended) {
  visit("number", ended.m_number);
  visit("task", ended.m_task);
  visit("run", ended.m_run);
  visit("outcome", ended.m_outcome);
  visit("checkpoint", ended.m_checkpoint);
}

template <typename Visitor>
void VisitFields(Visitor& visit, WorkerReport& report) {
  visit("incarnation", report.m_incarnation);
  visit("clock", report.m_clock);
  visit("running", report.m_running);
  visit("ended", report.m_ended);
  visit("lists_all_ends", report.m_lists_all_ends);
}

template <typename Visitor>
void VisitFields(Visitor& visit, EncodedStart& start) {
  visit("outcome", start.m_outcome);
  visit("has_clock", start.m_has_clock);
  visit("clock", start.m_clock);
}

template <typename Visitor>
void VisitFields(Visitor& /*visit*/, OrderDone& /*done*/) {}

template <typename Visitor>
void VisitFields(Visitor& visit, OrderFailure& failure) {
  visit("code", failure.m_code);
  visit("detail", failure.m_detail);
  visit("closed_by_peer", failure.m_is_closed_by_peer);
}

template <typename Visitor>
void VisitFields(Visitor& visit, FailedOrder& failed) {
  visit("failure", failed.m_failure);
}

template <typename Visitor>
void VisitFields(Visitor& visit, FailedPoll& failed) {
  visit("failure", failed.m_failure);
}

template <typename Visitor>
void VisitFields(Visitor& visit, EncodedOutcome& outcome) {
  visit("number", outcome.m_number);
  visit("outcome", outcome.m_outcome);
}

template <typename Visitor>
void VisitFields(Visitor& visit, EncodedAnswer& answer) {
  visit("clock", answer.m_clock);
  visit("leaving", answer.m_is_leaving);
  visit("dropped_orders", answer.m_has_dropped_orders);
  visit("outcomes", answer.m_outcomes);
}

template <typename Visitor>
void VisitFields(Visitor& visit, RelayNode& node) {
  visit("node", node.m_node);
  visit("address", node.m_address);
  visit("millicores", node.m_processors);
}

namespace {

// Changes with every change of the messages. Nodes of two versions use no
// relays of each other.
constexpr std::uint32_t kRelayFormat = 2;

OrderFailure FailureOf(const Error& error) {
  return {error.m_code, error.m_detail, error.m_is_closed_by_peer};
}

Error ErrorOf(OrderFailure failure) {
  return Error{failure.m_code, "relay order", "worker",
               std::move(failure.m_detail), failure.m_is_closed_by_peer};
}

EncodedOutcome EncodeOutcome(const RelayedOutcome& relayed) {
  EncodedOutcome encoded;
  encoded.m_number = relayed.m_number;
  const OrderOutcome& outcome = relayed.m_outcome;
  if (const auto* start = std::get_if<StartAnswer>(&outcome)) {
    encoded.m_outcome =
        EncodedStart{start->m_outcome, start->m_clock.has_value(),
                     start->m_clock.value_or(WorkerMilliseconds())};
  } else if (const auto* order = std::get_if<Result<void>>(&outcome)) {
    if (*order) {
      encoded.m_outcome = OrderDone{};
    } else {
      encoded.m_outcome = FailedOrder{FailureOf(order->assume_error())};
    }
  } else if (const auto* poll = std::get_if<Result<WorkerReport>>(&outcome)) {
    if (*poll) {
      encoded.m_outcome = poll->assume_value();
    } else {
      encoded.m_outcome = FailedPoll{FailureOf(poll->assume_error())};
    }
  }
  return encoded;
}

OrderOutcome OutcomeOf(const EncodedStart& start) {
  StartAnswer answer{start.m_outcome, std::nullopt};
  if (start.m_has_clock) answer.m_clock = start.m_clock;
  return answer;
}
OrderOutcome OutcomeOf(OrderDone /*done*/) {
  return OrderOutcome(std::in_place_type<Result<void>>, Success());
}
OrderOutcome OutcomeOf(WorkerReport& report) {
  return OrderOutcome(std::in_place_type<Result<WorkerReport>>,
                      std::move(report));
}
OrderOutcome OutcomeOf(FailedOrder& failed) {
  return OrderOutcome(std::in_place_type<Result<void>>,
                      ErrorOf(std::move(failed.m_failure)));
}
OrderOutcome OutcomeOf(FailedPoll& failed) {
  return OrderOutcome(std::in_place_type<Result<WorkerReport>>,
                      ErrorOf(std::move(failed.m_failure)));
}

template <typename Message>
std::string WriteMessage(const Message& message) {
  std::string bytes;
  BinaryWriter writer(bytes);
  writer.Write(kRelayFormat);
  writer.Write(message);
  return bytes;
}

template <typename Message>
Result<Message> ReadMessage(const std::string& bytes, const char* step,
                            const std::string& peer) {
  BinaryReader reader(bytes);
  std::uint32_t format = 0;
  if (!reader.Read(format) || format != kRelayFormat) {
    return Error{ErrorCode::kInvalidArgument, step, peer,
                 "the format is not " + std::to_string(kRelayFormat)};
  }
  Message message;
  if (!reader.Read(message)) {
    return Error{ErrorCode::kInvalidArgument, step, peer,
                 "field \"" + reader.error() + "\" is malformed"};
  }
  if (!reader.IsAtEnd()) {
    return Error{ErrorCode::kInvalidArgument, step, peer,
                 "bytes after the message"};
  }
  return message;
}

}  // namespace

std::string WriteRelayCall(const RelayCall& call) { return WriteMessage(call); }

std::string WriteRelayAnswer(const RelayAnswer& answer) {
  EncodedAnswer encoded{
      answer.m_clock, answer.m_is_leaving, answer.m_has_dropped_orders, {}};
  encoded.m_outcomes.reserve(answer.m_outcomes.size());
  for (const RelayedOutcome& outcome : answer.m_outcomes) {
    encoded.m_outcomes.push_back(EncodeOutcome(outcome));
  }
  return WriteMessage(encoded);
}

Result<RelayCall> ReadRelayCall(const std::string& bytes,
                                const std::string& peer) {
  return ReadMessage<RelayCall>(bytes, "read relay call", peer);
}

Result<RelayAnswer> ReadRelayAnswer(const std::string& bytes,
                                    const std::string& peer) {
  TRY_ASSIGN(EncodedAnswer encoded,
             ReadMessage<EncodedAnswer>(bytes, "read relay answer", peer));
  RelayAnswer answer{
      encoded.m_clock, encoded.m_is_leaving, encoded.m_has_dropped_orders, {}};
  answer.m_outcomes.reserve(encoded.m_outcomes.size());
  for (EncodedOutcome& outcome : encoded.m_outcomes) {
    answer.m_outcomes.push_back(
        {outcome.m_number,
         std::visit([](auto& concrete) { return OutcomeOf(concrete); },
                    outcome.m_outcome)});
  }
  return answer;
}

std::string WriteRelayNode(const RelayNode& node) {
  return WriteCbor(FieldWriter::Write(node));
}

Result<RelayNode> ReadRelayNode(const std::string& value,
                                const std::string& key) {
  return DecodeCbor<RelayNode>(value, "read relay node", key);
}

}  // namespace fleet

}  // namespace daisyarch
