#include "mesh/mesh_client.h"

#include <boost/asio/steady_timer.hpp>
#include <map>
#include <optional>
#include <utility>
#include <vector>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>

#include "mesh/counted_message.h"
#include "mesh/mesh_envelope.h"
#include "mesh/socket_options.h"

namespace daisyarch {

namespace {

// The names are the library's.
// NOLINTBEGIN(readability-identifier-naming)
struct CountedClientConfig : websocketpp::config::asio_client {
  using type = CountedClientConfig;
  using message_type = CountedMessage;
  using con_msg_manager_type = CountedMessages;
  using endpoint_msg_manager_type =
      websocketpp::message_buffer::alloc::endpoint_msg_manager<CountedMessages>;
};
// NOLINTEND(readability-identifier-naming)

using WebSocketClient = websocketpp::client<CountedClientConfig>;
using Connection = websocketpp::connection_hdl;

// Bytes that the library reads at a time.
constexpr std::size_t kReadBytes =
    CountedClientConfig::connection_read_buffer_size;

struct PendingCall {
  MeshResponder m_on_answer;
  std::unique_ptr<boost::asio::steady_timer> m_timer;
  std::string m_payload;  ///< Empty once sent.
  bool m_is_sent = false;
};

enum class LinkState { kClosed, kConnecting, kOpen };

}  // namespace

struct MeshClient::State {
  State(boost::asio::io_context& loop, Address address,
        const MeshClientLimits& limits)
      : m_loop(loop), m_address(std::move(address)), m_limits(limits) {}
  ~State() { Uncount(); }
  State(const State&) = delete;
  State& operator=(const State&) = delete;

  void Count() {
    if (!m_limits.m_budget || m_holding) return;
    m_holding = OpenHolding(*m_limits.m_budget, PeerKind::kRelay, [] {});
  }
  void Uncount() {
    if (m_holding) CloseHolding(*m_limits.m_budget, *m_holding);
    m_holding.reset();
  }
  bool Charge(std::size_t bytes) {
    return !m_holding || ChargeHolding(*m_limits.m_budget, *m_holding, bytes);
  }

  boost::asio::io_context& m_loop;
  Address m_address;
  MeshClientLimits m_limits;
  std::optional<HoldingId> m_holding;  ///< Of the link, unless it is closed.
  WebSocketClient m_client;
  LinkState m_link = LinkState::kClosed;
  Connection m_connection;
  std::uint64_t m_link_generation = 0;
  std::uint64_t m_next_number = 1;
  std::map<std::uint64_t, PendingCall> m_calls;
};

namespace {

using StatePointer = std::shared_ptr<MeshClient::State>;

void FinishCall(const StatePointer& state, std::uint64_t number,
                Result<Json> result) {
  const auto call = state->m_calls.find(number);
  if (call == state->m_calls.end()) return;
  MeshResponder on_answer = std::move(call->second.m_on_answer);
  state->m_calls.erase(call);
  on_answer(std::move(result));
}

Error LinkError(const StatePointer& state, const PendingCall& call,
                const std::string& detail) {
  return Error{
      call.m_is_sent ? ErrorCode::kOutcomeUnknown : ErrorCode::kUnavailable,
      "call peer", ToString(state->m_address), detail};
}

void FailAllCalls(const StatePointer& state, const std::string& detail) {
  std::vector<std::pair<std::uint64_t, Error>> failures;
  for (const auto& [number, call] : state->m_calls) {
    failures.emplace_back(number, LinkError(state, call, detail));
  }
  for (auto& [number, error] : failures) FinishCall(state, number, error);
}

void CloseLink(const StatePointer& state, const std::string& detail) {
  if (state->m_link == LinkState::kClosed) return;
  state->m_link = LinkState::kClosed;
  ++state->m_link_generation;
  state->Uncount();
  websocketpp::lib::error_code code;
  const auto session =
      state->m_client.get_con_from_hdl(state->m_connection, code);
  // Skips the closing handshake, which an unresponsive peer may never answer.
  if (!code) session->terminate(websocketpp::lib::error_code());
  FailAllCalls(state, detail);
}

void SendCall(const StatePointer& state, PendingCall& call) {
  websocketpp::lib::error_code code;
  call.m_is_sent = true;
  state->m_client.send(state->m_connection, call.m_payload,
                       websocketpp::frame::opcode::binary, code);
  call.m_payload.clear();
}

void OnMessage(const StatePointer& state, const std::string& payload) {
  const auto envelope = DecodeCbor<MeshEnvelope>(payload, "read peer answer",
                                                 ToString(state->m_address));
  if (!envelope) return CloseLink(state, "malformed answer");
  const MeshEnvelope& answer = envelope.assume_value();
  if (answer.m_error.empty()) {
    return FinishCall(state, answer.m_number, answer.m_body);
  }
  FinishCall(state, answer.m_number,
             Error{ParseErrorCode(answer.m_error), "call peer",
                   ToString(state->m_address), answer.m_detail});
}

void OpenLink(const StatePointer& state) {
  websocketpp::lib::error_code code;
  const auto session = state->m_client.get_connection(
      "ws://" + ToString(state->m_address) + "/mesh", code);
  if (code) return FailAllCalls(state, code.message());
  state->m_link = LinkState::kConnecting;
  state->Count();
  const std::uint64_t generation = ++state->m_link_generation;
  const std::weak_ptr<MeshClient::State> weak = state;
  // Ignores events of a link that has been closed meanwhile.
  const auto current = [weak, generation]() -> StatePointer {
    auto self = weak.lock();
    if (!self || self->m_link_generation != generation) return nullptr;
    return self;
  };
  session->set_open_handler([current](const Connection&) {
    const auto self = current();
    if (!self) return;
    self->m_link = LinkState::kOpen;
    for (auto& entry : self->m_calls) SendCall(self, entry.second);
  });
  session->set_message_handler(
      [current](const Connection&,
                const WebSocketClient::message_ptr& message) {
        const auto self = current();
        if (!self) return;
        OnMessage(self, message->get_payload());
        self->Charge(0);
      });
  // Nobody here pings, and pongs would wait for a peer that doesn't read.
  session->set_ping_handler(
      [](const Connection&, const std::string&) { return false; });
  const auto messages =
      session->get_message(websocketpp::frame::opcode::binary, 0)
          ->messages()
          .lock();
  // The library is about to append to the message, so that the link can't be
  // closed here. Without its socket, the library reads no more and closes it.
  messages->m_on_growth = [current, raw = session.get()](std::size_t bytes) {
    const auto self = current();
    if (!self || self->Charge(bytes + kReadBytes)) return;
    boost::system::error_code close_code;
    raw->get_raw_socket().close(close_code);
  };
  const auto on_closed = [current](const Connection&) {
    const auto self = current();
    if (!self) return;
    self->m_link = LinkState::kClosed;
    ++self->m_link_generation;
    self->Uncount();
    FailAllCalls(self, "connection lost");
  };
  session->set_fail_handler(on_closed);
  session->set_close_handler(on_closed);
  state->m_connection = session->get_handle();
  state->m_client.connect(session);
}

void OnTimeout(const StatePointer& state, std::uint64_t number) {
  const auto call = state->m_calls.find(number);
  if (call == state->m_calls.end()) return;
  FinishCall(state, number, LinkError(state, call->second, "timed out"));
  CloseLink(state, "connection closed after another call timed out");
}

}  // namespace

MeshClient::MeshClient(boost::asio::io_context& loop, Address address,
                       const MeshClientLimits& limits)
    : m_state(std::make_shared<State>(loop, std::move(address), limits)) {
  WebSocketClient& client = m_state->m_client;
  client.clear_access_channels(websocketpp::log::alevel::all);
  client.clear_error_channels(websocketpp::log::elevel::all);
  websocketpp::lib::error_code code;
  client.init_asio(&loop, code);
  client.set_tcp_post_init_handler([&client](const Connection& connection) {
    websocketpp::lib::error_code error;
    const auto session = client.get_con_from_hdl(connection, error);
    if (!error) SendWithoutDelay(session->get_raw_socket());
  });
  client.set_max_message_size(limits.m_maximum_message_bytes);
}

MeshClient::~MeshClient() {
  m_state->m_calls.clear();
  CloseLink(m_state, "stopping");
}

void MeshClient::Call(const std::string& method, Json body, Duration timeout,
                      MeshResponder on_answer) {
  const std::uint64_t number = m_state->m_next_number++;
  MeshEnvelope envelope;
  envelope.m_number = number;
  envelope.m_method = method;
  envelope.m_body = std::move(body);
  PendingCall call;
  call.m_on_answer = std::move(on_answer);
  call.m_payload = WriteCbor(Encode(envelope));
  call.m_timer =
      std::make_unique<boost::asio::steady_timer>(m_state->m_loop, timeout);
  const std::weak_ptr<State> weak = m_state;
  call.m_timer->async_wait([weak, number](boost::system::error_code code) {
    const auto self = weak.lock();
    if (!code && self) OnTimeout(self, number);
  });
  PendingCall& stored =
      m_state->m_calls.emplace(number, std::move(call)).first->second;
  if (m_state->m_link == LinkState::kOpen) return SendCall(m_state, stored);
  if (m_state->m_link == LinkState::kClosed) OpenLink(m_state);
}

bool MeshClient::IsCalling() const { return !m_state->m_calls.empty(); }

}  // namespace daisyarch
