#include "http/http_server.h"

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <iterator>
#include <optional>
#include <utility>

namespace daisyarch {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;

struct HttpServer::State {
  explicit State(asio::io_context& loop)
      : m_acceptor(loop), m_accept_timer(loop) {}

  tcp::acceptor m_acceptor;
  asio::steady_timer m_accept_timer;
  HttpServerLimits m_limits;
  HttpHandler m_handler;
  std::size_t m_open_requests = 0;
  bool m_is_draining = false;
};

namespace {

// Bytes that are read at a time: of a header, and of a body.
constexpr std::size_t kHeaderPiece = 2048;
constexpr std::size_t kBodyPiece = 16UL * 1024;
// What a connection holds while it waits for a request.
constexpr std::size_t kIdleBytes = 4096;
// What a field takes beside its text.
constexpr std::size_t kFieldBytes = 128;
// Pause after an error of accept(), such as no free descriptor, that would only
// repeat itself at once.
constexpr Duration kAcceptPause = std::chrono::milliseconds(100);

class Session : public std::enable_shared_from_this<Session> {
 public:
  Session(tcp::socket socket, std::shared_ptr<HttpServer::State> state)
      : m_stream(std::move(socket)),
        m_stall_timer(m_stream.get_executor()),
        m_state(std::move(state)),
        m_holding(OpenHolding(budget(), kind(), [this] { m_stream.close(); })),
        m_is_counted(m_holding != budget().m_holdings.end()),
        m_buffer(m_state->m_limits.m_maximum_header_bytes + kBodyPiece) {
    beast::error_code code;
    const auto remote = m_stream.socket().remote_endpoint(code);
    if (!code) {
      m_peer =
          remote.address().to_string() + ":" + std::to_string(remote.port());
    }
    m_stream.socket().set_option(tcp::no_delay(true), code);
  }

  ~Session() {
    if (m_is_counted) CloseHolding(budget(), m_holding);
  }

  // Without room for one more connection, closes it.
  void Start() {
    if (m_is_counted) Read();
  }

 private:
  const HttpServerLimits& limits() const { return m_state->m_limits; }
  MemoryBudget& budget() const { return *m_state->m_limits.m_budget; }
  PeerKind kind() const { return m_state->m_limits.m_peer_kind; }

  void Read() {
    if (!ChargeHolding(budget(), m_holding, kIdleBytes)) return;
    m_parser.emplace();
    m_parser->eager(true);
    m_parser->header_limit(
        static_cast<std::uint32_t>(limits().m_maximum_header_bytes));
    m_parser->body_limit(limits().m_maximum_body_bytes);
    m_received_bytes = 0;
    m_header_bytes = 0;
    m_fields = 0;
    m_stream.expires_after(limits().m_receive_timeout);
    if (m_buffer.size() > 0) return Parse(m_buffer.size());
    if (m_buffer.capacity() > kHeaderPiece) m_buffer.shrink_to_fit();
    ReadPiece();
  }

  void ReadPiece() {
    const std::size_t piece =
        m_parser->is_header_done() ? kBodyPiece : kHeaderPiece;
    const std::size_t space = m_buffer.max_size() - m_buffer.size();
    m_stream.async_read_some(
        m_buffer.prepare(std::min(piece, space)),
        [self = shared_from_this()](beast::error_code code, std::size_t bytes) {
          self->OnPiece(code, bytes);
        });
  }

  void OnPiece(beast::error_code code, std::size_t bytes) {
    if (code == beast::error::timeout) {
      return NoteRefusal(budget(), kind(), RefusalCause::kTooSlow);
    }
    if (code == asio::error::eof) return OnEnd();
    if (code) return;
    m_buffer.commit(bytes);
    Parse(bytes);
  }

  void OnEnd() {
    if (!m_parser->got_some()) return Close();
    Reject(400, RefusalCause::kMalformed, "the request is not complete");
  }

  // Takes the bytes that are new in the buffer, and what waits there.
  void Parse(std::size_t new_bytes) {
    // Of the buffer, what the parser has seen and waits to see with more.
    std::size_t seen = 0;
    while (seen < m_buffer.size() && !m_parser->is_done()) {
      const bool was_in_header = !m_parser->is_header_done();
      // A header that ends in a long piece is counted before what follows it.
      const std::size_t shown =
          was_in_header ? std::min(m_buffer.size(), seen + kHeaderPiece)
                        : m_buffer.size();
      beast::error_code code;
      const std::size_t taken = m_parser->put(
          asio::const_buffer(m_buffer.data().data(), shown), code);
      const bool needs_more = code == beast::http::error::need_more;
      if (code && !needs_more) return RejectMalformed(code);
      m_buffer.consume(taken);
      seen = needs_more ? shown - taken : 0;
      if (!was_in_header) continue;
      m_header_bytes += taken;
      if (!m_parser->is_header_done()) continue;
      m_fields = CountFields(m_parser->get());
      if (m_fields > limits().m_maximum_fields) return RejectForFields();
    }
    if (m_parser->is_done()) return Dispatch(m_parser->release());
    if (m_buffer.size() == m_buffer.max_size()) {
      return Reject(431, RefusalCause::kHeaderTooLarge,
                    "the trailer or a chunk's extension is too large");
    }
    Continue(new_bytes);
  }

  // Waits for more of a request that has begun.
  void Continue(std::size_t new_bytes) {
    const bool has_just_begun = m_received_bytes == 0;
    m_received_bytes += new_bytes;
    if (has_just_begun) {
      SetHoldingState(budget(), m_holding, HoldingState::kUnfinished);
    }
    const std::size_t held = HeldBeside(m_parser->get().body().size());
    if (!ChargeHolding(budget(), m_holding, held)) return RejectForMemory();
    if (has_just_begun || m_received_bytes >= m_next_progress) {
      m_next_progress = m_received_bytes + limits().m_least_progress_bytes;
      m_stream.expires_after(limits().m_progress_period);
    }
    ReadPiece();
  }

  static std::size_t CountFields(const beast::http::fields& fields) {
    return static_cast<std::size_t>(
        std::distance(fields.begin(), fields.end()));
  }

  // Fields of a few bytes take many times as much memory.
  std::size_t HeldBeside(std::size_t body_bytes) const {
    return kIdleBytes + m_buffer.capacity() + m_header_bytes +
           m_fields * kFieldBytes + body_bytes;
  }

  void RejectForFields() {
    Reject(431, RefusalCause::kHeaderTooLarge, "too many fields");
  }

  void RejectForMemory() {
    Reject(503, RefusalCause::kMemory, "not run: out of memory for requests");
  }

  void RejectMalformed(beast::error_code code) {
    if (code == beast::http::error::body_limit) {
      return Reject(413, RefusalCause::kBodyTooLarge, "the body is too large");
    }
    if (code == beast::http::error::header_limit) {
      return Reject(431, RefusalCause::kHeaderTooLarge,
                    "the header is too large");
    }
    Reject(400, RefusalCause::kMalformed, code.message());
  }

  void Dispatch(beast::http::request<beast::http::string_body> message) {
    m_stream.expires_never();
    m_keep_alive = message.keep_alive();
    SetHoldingState(budget(), m_holding, HoldingState::kFinished);
    // Those of the trailer are there now.
    m_fields = CountFields(message);
    if (m_fields > limits().m_maximum_fields) return RejectForFields();
    if (!ChargeHolding(budget(), m_holding,
                       HeldBeside(message.body().size()))) {
      return RejectForMemory();
    }
    HttpRequest request;
    request.m_method = std::string(message.method_string());
    request.m_target = std::string(message.target());
    for (const auto& field : message) {
      request.m_headers.emplace_back(std::string(field.name_string()),
                                     std::string(field.value()));
    }
    request.m_body = std::move(message.body());
    request.m_peer = m_peer;
    ++m_state->m_open_requests;
    m_state->m_handler(std::move(request),
                       [self = shared_from_this()](HttpResponse response) {
                         self->SendResponse(std::move(response), true);
                       });
  }

  // What was sent has not reached the handler, so it has not run.
  void Reject(unsigned status, RefusalCause cause, const std::string& detail) {
    NoteRefusal(budget(), kind(), cause);
    m_parser.reset();
    m_keep_alive = false;
    HttpResponse response;
    response.m_status = status;
    response.m_headers.emplace_back("Content-Type", "application/json");
    if (status == 503) response.m_headers.emplace_back("Retry-After", "1");
    response.m_body =
        "{\"code\":\"invalid_argument\",\"step\":\"read request\","
        "\"peer\":\"" +
        m_peer + "\",\"detail\":\"" + detail + "\"}\n";
    SendResponse(std::move(response), false);
  }

  void SendResponse(HttpResponse response, bool was_counted) {
    SetHoldingState(budget(), m_holding, HoldingState::kAnswering);
    m_message = {};
    m_message.version(11);
    m_message.result(response.m_status);
    for (const auto& [name, value] : response.m_headers) {
      m_message.set(name, value);
    }
    m_message.body() = std::move(response.m_body);
    m_message.keep_alive(m_keep_alive && !m_state->m_is_draining);
    m_message.prepare_payload();
    m_stream.expires_after(m_state->m_limits.m_send_timeout);
    m_serializer.emplace(m_message);
    WritePiece(was_counted);
  }

  void WritePiece(bool was_counted) {
    AwaitStall();
    beast::http::async_write_some(
        m_stream, *m_serializer,
        [self = shared_from_this(), was_counted](beast::error_code code,
                                                 std::size_t) {
          self->m_stall_timer.cancel();
          if (!code && !self->m_serializer->is_done()) {
            SetHoldingState(self->budget(), self->m_holding,
                            HoldingState::kAnswering);
            return self->WritePiece(was_counted);
          }
          if (was_counted) --self->m_state->m_open_requests;
          self->OnWritten(code);
        });
  }

  // An answer that its peer reads is never cut.
  void AwaitStall() {
    m_stall_timer.expires_after(limits().m_progress_period);
    m_stall_timer.async_wait([weak = weak_from_this()](beast::error_code code) {
      const auto self = weak.lock();
      if (code || !self || !self->m_serializer) return;
      // It may be due already when a piece is written and sets it anew.
      if (self->m_stall_timer.expiry() >
          asio::steady_timer::clock_type::now()) {
        return;
      }
      SetHoldingState(self->budget(), self->m_holding, HoldingState::kStalled);
    });
  }

  void OnWritten(beast::error_code code) {
    m_serializer.reset();
    if (code) return;
    if (!m_message.keep_alive()) return Close();
    SetHoldingState(budget(), m_holding, HoldingState::kIdle);
    Read();
  }

  void Close() {
    beast::error_code code;
    m_stream.socket().shutdown(tcp::socket::shutdown_send, code);
  }

  beast::tcp_stream m_stream;
  asio::steady_timer m_stall_timer;
  std::shared_ptr<HttpServer::State> m_state;
  HoldingId m_holding;
  bool m_is_counted;
  std::string m_peer;
  beast::flat_buffer m_buffer;
  std::optional<beast::http::request_parser<beast::http::string_body>> m_parser;
  beast::http::response<beast::http::string_body> m_message;
  std::optional<beast::http::response_serializer<beast::http::string_body>>
      m_serializer;
  bool m_keep_alive = true;
  std::size_t m_received_bytes = 0;  ///< Of the present request.
  std::size_t m_header_bytes = 0;    ///< Of a header that the parser has taken.
  std::size_t m_fields = 0;          ///< That the parser has made of it.
  std::size_t m_next_progress = 0;   ///< Expected within the period.
};

void Accept(const std::shared_ptr<HttpServer::State>& state);

void AcceptLater(const std::shared_ptr<HttpServer::State>& state) {
  state->m_accept_timer.expires_after(kAcceptPause);
  state->m_accept_timer.async_wait([state](beast::error_code code) {
    if (!code && state->m_acceptor.is_open()) Accept(state);
  });
}

void Accept(const std::shared_ptr<HttpServer::State>& state) {
  state->m_acceptor.async_accept(
      [state](beast::error_code code, tcp::socket socket) {
        if (!state->m_acceptor.is_open()) return;
        if (code) return AcceptLater(state);
        std::make_shared<Session>(std::move(socket), state)->Start();
        Accept(state);
      });
}

}  // namespace

HttpServer::HttpServer(std::shared_ptr<State> state)
    : m_state(std::move(state)) {}

HttpServer::~HttpServer() {
  StartDraining();
  // Sessions can outlive the server. The requests that they read from now on
  // must not reach the handler, whose owner is about to be destroyed.
  m_state->m_handler = [](const HttpRequest&, const HttpResponder&) {};
}

Result<std::unique_ptr<HttpServer>> HttpServer::Create(
    asio::io_context& loop, const Address& address,
    const HttpServerLimits& limits, HttpHandler handler) {
  auto state = std::make_shared<State>(loop);
  state->m_limits = limits;
  if (!state->m_limits.m_budget) {
    state->m_limits.m_budget = std::make_shared<MemoryBudget>();
  }
  state->m_handler = std::move(handler);
  beast::error_code code;
  const auto host = asio::ip::make_address(address.m_host, code);
  const tcp::endpoint endpoint(host, address.m_port);
  if (!code) state->m_acceptor.open(endpoint.protocol(), code);
  if (!code) {
    state->m_acceptor.set_option(asio::socket_base::reuse_address(true), code);
  }
  if (!code) state->m_acceptor.bind(endpoint, code);
  if (!code) {
    state->m_acceptor.listen(asio::socket_base::max_listen_connections, code);
  }
  if (code) {
    return Error{ErrorCode::kUnavailable, "listen for HTTP", ToString(address),
                 code.message()};
  }
  Accept(state);
  return std::unique_ptr<HttpServer>(new HttpServer(std::move(state)));
}

void HttpServer::StartDraining() {
  m_state->m_is_draining = true;
  beast::error_code code;
  m_state->m_acceptor.close(code);
  m_state->m_accept_timer.cancel();
}

std::size_t HttpServer::open_requests() const {
  return m_state->m_open_requests;
}

std::uint16_t HttpServer::port() const {
  return m_state->m_acceptor.local_endpoint().port();
}

}  // namespace daisyarch
