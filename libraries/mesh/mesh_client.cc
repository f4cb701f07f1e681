#include "mesh/mesh_client.h"

#include <boost/asio/steady_timer.hpp>
#include <map>
#include <utility>
#include <vector>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>

#include "mesh/mesh_envelope.h"
#include "mesh/socket_options.h"

namespace daisyarch {

using WebSocketClient = websocketpp::client<websocketpp::config::asio_client>;
using Connection = websocketpp::connection_hdl;

namespace {

struct PendingCall {
  MeshResponder m_on_answer;
  std::unique_ptr<boost::asio::steady_timer> m_timer;
  std::string m_payload;  ///< Empty once sent.
  bool m_is_sent = false;
};

enum class LinkState { kClosed, kConnecting, kOpen };

}  // namespace

struct MeshClient::State {
  State(boost::asio::io_context& loop, Address address)
      : m_loop(loop), m_address(std::move(address)) {}

  boost::asio::io_context& m_loop;
  Address m_address;
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
        if (const auto self = current()) {
          OnMessage(self, message->get_payload());
        }
      });
  // Nobody here pings, and pongs would wait for a peer that doesn't read.
  session->set_ping_handler(
      [](const Connection&, const std::string&) { return false; });
  const auto on_closed = [current](const Connection&) {
    const auto self = current();
    if (!self) return;
    self->m_link = LinkState::kClosed;
    ++self->m_link_generation;
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

MeshClient::MeshClient(boost::asio::io_context& loop, Address address)
    : m_state(std::make_shared<State>(loop, std::move(address))) {
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
  client.set_max_message_size(kMaximumMeshMessageBytes);
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

}  // namespace daisyarch
