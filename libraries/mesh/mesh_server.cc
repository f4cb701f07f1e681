#include "mesh/mesh_server.h"

#include <map>
#include <set>
#include <utility>
#include <vector>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/server.hpp>

#include "mesh/mesh_envelope.h"
#include "mesh/socket_options.h"

namespace daisyarch {

using WebSocketServer = websocketpp::server<websocketpp::config::asio>;
using Connection = websocketpp::connection_hdl;
using Message = WebSocketServer::message_ptr::element_type;

struct MeshServer::State {
  WebSocketServer m_server;
  MeshHandler m_handler;
  std::set<Connection, std::owner_less<Connection>> m_connections;
  std::shared_ptr<MemoryBudget> m_budget;
  std::map<Connection, HoldingId, std::owner_less<Connection>> m_holdings;
  /// Answers that may not be written yet: the library keeps one for so long.
  std::map<Connection, std::vector<std::weak_ptr<Message>>,
           std::owner_less<Connection>>
      m_unwritten;
  bool m_is_stopped = false;
};

namespace {

void CloseSocket(MeshServer::State& state, const Connection& connection) {
  websocketpp::lib::error_code code;
  const auto session = state.m_server.get_con_from_hdl(connection, code);
  boost::system::error_code close_code;
  if (!code) session->get_raw_socket().close(close_code);
}

// Without room for one more connection, closes it.
void Count(MeshServer::State& state, const Connection& connection) {
  if (!state.m_budget) return;
  const HoldingId holding =
      OpenHolding(*state.m_budget, PeerKind::kPeer,
                  [&state, connection] { CloseSocket(state, connection); });
  if (holding == state.m_budget->m_holdings.end()) {
    return CloseSocket(state, connection);
  }
  state.m_holdings.emplace(connection, holding);
}

void Uncount(MeshServer::State& state, const Connection& connection) {
  const auto holding = state.m_holdings.find(connection);
  if (holding == state.m_holdings.end()) return;
  CloseHolding(*state.m_budget, holding->second);
  state.m_holdings.erase(holding);
}

// A peer that calls gives way later than one that never has.
void NoteCall(MeshServer::State& state, const Connection& connection) {
  const auto holding = state.m_holdings.find(connection);
  if (holding == state.m_holdings.end()) return;
  SetHoldingState(*state.m_budget, holding->second, HoldingState::kFinished);
}

// Returns the bytes of the answers that are not written. The library's own sum
// lacks those that it has taken for the write under way.
std::size_t CountUnwritten(std::vector<std::weak_ptr<Message>>& messages) {
  std::size_t bytes = 0;
  std::vector<std::weak_ptr<Message>> unwritten;
  for (const std::weak_ptr<Message>& entry : messages) {
    const auto message = entry.lock();
    if (!message) continue;
    bytes += message->get_payload().size();
    unwritten.push_back(entry);
  }
  messages = std::move(unwritten);
  return bytes;
}

// A message that isn't prepared is copied as it is sent, and the copy can't be
// followed.
std::shared_ptr<Message> PrepareMessage(
    const WebSocketServer::connection_ptr& session,
    const std::string& payload) {
  namespace frame = websocketpp::frame;
  auto message = session->get_message(frame::opcode::binary, payload.size());
  message->set_payload(payload);
  message->set_header(frame::prepare_header(
      frame::basic_header(frame::opcode::binary, payload.size(), true, false),
      frame::extended_header(payload.size())));
  message->set_prepared(true);
  return message;
}

void Answer(const std::shared_ptr<MeshServer::State>& state,
            const Connection& connection, std::uint64_t number,
            const Result<Json>& result) {
  MeshEnvelope envelope;
  envelope.m_number = number;
  if (result) {
    envelope.m_body = result.assume_value();
  } else {
    envelope.m_error = ToString(result.assume_error().m_code);
    envelope.m_detail = ToString(result.assume_error());
  }
  websocketpp::lib::error_code code;
  const auto session = state->m_server.get_con_from_hdl(connection, code);
  if (code || state->m_connections.count(connection) == 0) return;
  const std::string payload = WriteCbor(Encode(envelope));
  // A peer that doesn't read makes its answers wait here.
  auto& unwritten = state->m_unwritten[connection];
  if (CountUnwritten(unwritten) + payload.size() > kMaximumMeshMessageBytes) {
    return CloseSocket(*state, connection);
  }
  const auto message = PrepareMessage(session, payload);
  if (!session->send(message)) unwritten.push_back(message);
}

std::string PeerAddress(const std::shared_ptr<MeshServer::State>& state,
                        const Connection& connection) {
  websocketpp::lib::error_code code;
  const auto session = state->m_server.get_con_from_hdl(connection, code);
  return code ? "" : session->get_remote_endpoint();
}

// A malformed message closes only the connection on which it arrived.
void OnMessage(const std::shared_ptr<MeshServer::State>& state,
               const Connection& connection, const std::string& payload) {
  const std::string peer = PeerAddress(state, connection);
  const auto envelope =
      DecodeCbor<MeshEnvelope>(payload, "read peer message", peer);
  if (!envelope) {
    websocketpp::lib::error_code code;
    state->m_server.close(connection,
                          websocketpp::close::status::invalid_payload,
                          "malformed message", code);
    return;
  }
  NoteCall(*state, connection);
  const MeshEnvelope& call = envelope.assume_value();
  const std::uint64_t number = call.m_number;
  state->m_handler(call.m_method, call.m_body, peer,
                   [state, connection, number](Result<Json> result) {
                     if (state->m_is_stopped) return;
                     Answer(state, connection, number, result);
                   });
}

}  // namespace

MeshServer::MeshServer(std::shared_ptr<State> state)
    : m_state(std::move(state)) {}

MeshServer::~MeshServer() { Stop(); }

Result<std::unique_ptr<MeshServer>> MeshServer::Create(
    boost::asio::io_context& loop, const Address& address, MeshHandler handler,
    const MeshServerLimits& limits) {
  auto state = std::make_shared<State>();
  state->m_handler = std::move(handler);
  state->m_budget = limits.m_budget;
  WebSocketServer& server = state->m_server;
  server.clear_access_channels(websocketpp::log::alevel::all);
  server.clear_error_channels(websocketpp::log::elevel::all);
  websocketpp::lib::error_code code;
  server.init_asio(&loop, code);
  // The server owns these handlers, so they hold it by weak reference only.
  const std::weak_ptr<State> weak = state;
  server.set_tcp_post_init_handler([weak](const Connection& connection) {
    const auto self = weak.lock();
    if (!self) return;
    websocketpp::lib::error_code error;
    const auto session = self->m_server.get_con_from_hdl(connection, error);
    if (error) return;
    SendWithoutDelay(session->get_raw_socket());
    Count(*self, connection);
  });
  server.set_reuse_addr(true);
  server.set_max_message_size(limits.m_maximum_message_bytes);
  server.set_fail_handler([weak](const Connection& connection) {
    if (const auto self = weak.lock()) Uncount(*self, connection);
  });
  server.set_open_handler([weak](const Connection& connection) {
    if (const auto self = weak.lock()) self->m_connections.insert(connection);
  });
  server.set_close_handler([weak](const Connection& connection) {
    const auto self = weak.lock();
    if (!self) return;
    self->m_connections.erase(connection);
    self->m_unwritten.erase(connection);
    Uncount(*self, connection);
  });
  // Nobody here pings, and pongs would wait for a peer that doesn't read.
  server.set_ping_handler(
      [](const Connection&, const std::string&) { return false; });
  server.set_message_handler(
      [weak](const Connection& connection,
             const WebSocketServer::message_ptr& message) {
        if (const auto self = weak.lock()) {
          OnMessage(self, connection, message->get_payload());
        }
      });
  boost::system::error_code address_code;
  const auto host = boost::asio::ip::make_address(address.m_host, address_code);
  if (!code && !address_code) {
    server.listen(boost::asio::ip::tcp::endpoint(host, address.m_port), code);
  }
  if (!code && !address_code) server.start_accept(code);
  if (code || address_code) {
    return Error{ErrorCode::kUnavailable, "listen for peers", ToString(address),
                 code ? code.message() : address_code.message()};
  }
  return std::unique_ptr<MeshServer>(new MeshServer(std::move(state)));
}

void MeshServer::Stop() {
  if (m_state->m_is_stopped) return;
  m_state->m_is_stopped = true;
  for (const auto& entry : m_state->m_holdings) {
    CloseHolding(*m_state->m_budget, entry.second);
  }
  m_state->m_holdings.clear();
  websocketpp::lib::error_code code;
  m_state->m_server.stop_listening(code);
  for (const Connection& connection : m_state->m_connections) {
    m_state->m_server.close(connection, websocketpp::close::status::going_away,
                            "stopping", code);
  }
}

}  // namespace daisyarch
