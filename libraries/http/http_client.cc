#include "http/http_client.h"

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "base/boot_clock.h"

namespace daisyarch {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;

namespace {
class Connection;
}  // namespace

struct HttpClient::State {
  State(asio::io_context& loop, Address address, const HttpClientLimits& limits)
      : m_loop(loop), m_address(std::move(address)), m_limits(limits) {}

  asio::io_context& m_loop;
  Address m_address;
  HttpClientLimits m_limits;
  std::vector<std::shared_ptr<Connection>> m_idle;
  std::set<std::shared_ptr<Connection>> m_busy;
  bool m_is_closed = false;
};

namespace {

bool IsClosedByPeer(beast::error_code code) {
  return code == asio::error::connection_refused ||
         code == asio::error::connection_reset ||
         code == asio::error::broken_pipe || code == asio::error::eof ||
         code == beast::http::error::end_of_stream ||
         code == beast::http::error::partial_message;
}

// Of a response: its header, or a trailer or a chunk's extensions.
constexpr std::size_t kMaximumHeaderBytes = 32UL * 1024;
// Of a header that is not whole yet. The library limits single lines only.
constexpr std::size_t kMaximumUnfinishedHeaderBytes = 8UL * 1024;
// What a field takes beside its text, and the fewest bytes that make one.
constexpr std::size_t kFieldBytes = 128;
constexpr std::size_t kLeastFieldText = 4;

class Connection : public std::enable_shared_from_this<Connection> {
 public:
  explicit Connection(std::shared_ptr<HttpClient::State> state)
      : m_stream(state->m_loop),
        m_state(std::move(state)),
        m_buffer(kMaximumHeaderBytes + m_state->m_limits.m_read_bytes),
        m_idle_timer(m_state->m_loop) {}

  ~Connection() { Uncount(); }

  void Run(HttpRequest request, Duration timeout,
           HttpResponseCallback on_answer) {
    m_is_idle = false;
    m_state->m_busy.insert(shared_from_this());
    m_request = std::move(request);
    m_timeout = timeout;
    m_on_answer = std::move(on_answer);
    if (m_is_connected) return Write();
    Connect();
  }

  void Close() {
    m_is_connected = false;
    m_is_idle = false;
    m_idle_timer.cancel();
    beast::error_code code;
    m_stream.socket().close(code);
    Uncount();
  }

 private:
  void Count() {
    if (!m_state->m_limits.m_budget || m_holding) return;
    m_holding = OpenHolding(*m_state->m_limits.m_budget,
                            m_state->m_limits.m_peer_kind, [] {});
  }

  void Uncount() {
    if (m_holding) CloseHolding(*m_state->m_limits.m_budget, *m_holding);
    m_holding.reset();
  }

  bool Charge(std::size_t bytes) {
    return !m_holding ||
           ChargeHolding(*m_state->m_limits.m_budget, *m_holding, bytes);
  }

  void Connect() {
    Count();
    beast::error_code code;
    const auto host = asio::ip::make_address(m_state->m_address.m_host, code);
    if (code) return Fail(ErrorCode::kUnavailable, "connect", code);
    m_connect_by = BootNow() + m_state->m_limits.m_connect_timeout;
    m_stream.expires_after(m_state->m_limits.m_connect_timeout);
    m_stream.async_connect(
        tcp::endpoint(host, m_state->m_address.m_port),
        [self = shared_from_this()](beast::error_code connect_code) {
          self->OnConnected(connect_code);
        });
  }

  void OnConnected(beast::error_code code) {
    if (code) return Fail(ErrorCode::kUnavailable, "connect", code);
    m_is_connected = true;
    m_stream.socket().set_option(tcp::no_delay(true), code);
    if (BootNow() > m_connect_by) return KeepForLater();
    Write();
  }

  // A busy loop learns late that a connection is made. It can serve the next
  // request, so that a loop that is always busy can send any.
  void KeepForLater() {
    ReturnToPool();
    Finish(Error{ErrorCode::kUnavailable, "connect",
                 ToString(m_state->m_address), "the loop was busy"});
  }

  void Write() {
    ++m_use_count;
    m_message = {};
    m_message.version(11);
    m_message.method_string(m_request.m_method);
    m_message.target(m_request.m_target);
    m_message.set(beast::http::field::host, ToString(m_state->m_address));
    for (const auto& [name, value] : m_request.m_headers) {
      m_message.set(name, value);
    }
    m_message.body() = std::move(m_request.m_body);
    m_message.prepare_payload();
    // One timeout covers the request and its response.
    m_stream.expires_after(m_timeout);
    beast::http::async_write(
        m_stream, m_message,
        [self = shared_from_this()](beast::error_code code, std::size_t) {
          self->OnWritten(code);
        });
  }

  void OnWritten(beast::error_code code) {
    if (code) return Fail(ErrorCode::kOutcomeUnknown, "send request", code);
    m_parser.emplace();
    m_parser->eager(true);
    m_parser->body_limit(m_state->m_limits.m_maximum_response_bytes);
    m_header_bytes = 0;
    ReadPiece();
  }

  void ReadPiece() {
    const std::size_t space = m_buffer.max_size() - m_buffer.size();
    m_stream.async_read_some(
        m_buffer.prepare(std::min(space, m_state->m_limits.m_read_bytes)),
        [self = shared_from_this()](beast::error_code code, std::size_t bytes) {
          self->OnPiece(code, bytes);
        });
  }

  void OnPiece(beast::error_code code, std::size_t bytes) {
    m_buffer.commit(bytes);
    if (code == asio::error::eof) {
      if (!m_parser->got_some()) return OnRead(code);
      code = {};
      m_parser->put_eof(code);
      return OnRead(code);
    }
    while (!code && m_buffer.size() > 0 && !m_parser->is_done()) {
      const std::size_t taken = m_parser->put(m_buffer.data(), code);
      m_buffer.consume(taken);
      if (!m_parser->is_header_done()) m_header_bytes += taken;
    }
    if (code == beast::http::error::need_more) code = {};
    if (code || m_parser->is_done()) return OnRead(code);
    if (m_buffer.size() == m_buffer.max_size() ||
        m_header_bytes > kMaximumUnfinishedHeaderBytes || !Charge(Held())) {
      return OnRead(beast::http::error::buffer_overflow);
    }
    ReadPiece();
  }

  std::size_t Held() const {
    return m_buffer.capacity() + m_parser->get().body().size() +
           m_header_bytes / kLeastFieldText * kFieldBytes;
  }

  void OnRead(beast::error_code code) {
    if (code) return Fail(ErrorCode::kOutcomeUnknown, "read answer", code);
    Charge(0);
    auto message = m_parser->release();
    HttpResponse response;
    response.m_status = message.result_int();
    for (const auto& field : message) {
      response.m_headers.emplace_back(std::string(field.name_string()),
                                      std::string(field.value()));
    }
    response.m_body = std::move(message.body());
    // Bytes after the response belong to no request. A connection that received
    // them can't be trusted to match later responses to requests.
    const bool is_reusable = message.keep_alive() && m_buffer.size() == 0;
    if (is_reusable) {
      ReturnToPool();
    } else {
      Close();
    }
    Finish(std::move(response));
  }

  void ReturnToPool() {
    if (m_state->m_is_closed) return Close();
    m_state->m_idle.push_back(shared_from_this());
    m_stream.expires_never();
    const std::uint64_t use_count = m_use_count;
    // An idle connection that becomes readable was closed by the peer, or has
    // received unsolicited data.
    m_stream.socket().async_wait(
        tcp::socket::wait_read,
        [self = shared_from_this(), use_count](beast::error_code code) {
          if (!code && self->m_use_count == use_count) self->CloseIdle();
        });
    m_is_idle = true;
    m_idle_since = std::chrono::steady_clock::now();
    ScheduleIdleTimeout();
  }

  // One timer runs on while the connection is used again and again, and is set
  // anew only when it expires.
  void ScheduleIdleTimeout() {
    if (m_is_idle_timer_set) return;
    m_is_idle_timer_set = true;
    m_idle_timer.expires_at(m_idle_since + m_state->m_limits.m_idle_timeout);
    m_idle_timer.async_wait(
        [self = shared_from_this()](beast::error_code code) {
          self->m_is_idle_timer_set = false;
          if (!code && self->m_is_idle) self->CheckIdleTimeout();
        });
  }

  void CheckIdleTimeout() {
    const auto idle_until = m_idle_since + m_state->m_limits.m_idle_timeout;
    if (std::chrono::steady_clock::now() < idle_until) {
      return ScheduleIdleTimeout();
    }
    CloseIdle();
  }

  void CloseIdle() {
    auto& idle = m_state->m_idle;
    for (auto position = idle.begin(); position != idle.end(); ++position) {
      if (position->get() != this) continue;
      idle.erase(position);
      break;
    }
    Close();
  }

  void Fail(ErrorCode kind, const std::string& step, beast::error_code code) {
    Close();
    Finish(Error{kind, step, ToString(m_state->m_address), code.message(),
                 IsClosedByPeer(code)});
  }

  void Finish(Result<HttpResponse> result) {
    m_state->m_busy.erase(shared_from_this());
    HttpResponseCallback on_answer = std::move(m_on_answer);
    m_on_answer = nullptr;
    on_answer(std::move(result));
  }

  beast::tcp_stream m_stream;
  std::shared_ptr<HttpClient::State> m_state;
  HttpRequest m_request;
  Duration m_timeout{};
  HttpResponseCallback m_on_answer;
  TimePoint m_connect_by{};
  bool m_is_connected = false;
  std::uint64_t m_use_count = 0;
  beast::flat_buffer m_buffer;
  std::optional<HoldingId> m_holding;
  beast::http::request<beast::http::string_body> m_message;
  std::optional<beast::http::response_parser<beast::http::string_body>>
      m_parser;
  asio::steady_timer m_idle_timer;
  std::size_t m_header_bytes = 0;  ///< Taken before the header was whole.
  bool m_is_idle_timer_set = false;
  bool m_is_idle = false;
  std::chrono::steady_clock::time_point m_idle_since;
};

}  // namespace

HttpClient::HttpClient(asio::io_context& loop, Address address,
                       const HttpClientLimits& limits)
    : m_state(std::make_shared<State>(loop, std::move(address), limits)) {}

HttpClient::~HttpClient() {
  m_state->m_is_closed = true;
  CloseIdleConnections();
}

void HttpClient::Send(HttpRequest request, Duration timeout,
                      HttpResponseCallback on_answer) {
  std::shared_ptr<Connection> connection;
  if (m_state->m_idle.empty()) {
    connection = std::make_shared<Connection>(m_state);
  } else {
    // The connection used last is the least likely to be dead.
    connection = std::move(m_state->m_idle.back());
    m_state->m_idle.pop_back();
  }
  connection->Run(std::move(request), timeout, std::move(on_answer));
}

void HttpClient::CloseIdleConnections() {
  const auto idle = std::move(m_state->m_idle);
  m_state->m_idle.clear();
  for (const auto& connection : idle) connection->Close();
}

void HttpClient::CloseAllConnections() {
  CloseIdleConnections();
  // Iterates over a copy because a closed connection removes itself from the
  // set.
  const auto busy = m_state->m_busy;
  for (const auto& connection : busy) connection->Close();
}

bool HttpClient::IsCalling() const { return !m_state->m_busy.empty(); }

const Address& HttpClient::address() const { return m_state->m_address; }

}  // namespace daisyarch
