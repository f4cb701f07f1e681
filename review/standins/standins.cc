#include "standins.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <cstring>
#include <iostream>
#include <sstream>

namespace review {

std::int64_t NowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

std::int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

void SleepMs(std::int64_t milliseconds) {
  std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
}

bool WaitUntil(std::int64_t limit_ms, const std::function<bool()>& condition) {
  const std::int64_t until = NowMs() + limit_ms;
  while (NowMs() < until) {
    if (condition()) return true;
    SleepMs(20);
  }
  return condition();
}

bool HasTrouble() {
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

Record::Record(const std::string& path) : m_file(path), m_started_at(NowMs()) {}

void Record::Write(const std::string& line) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_file << (NowMs() - m_started_at) << " ms: " << line << std::endl;
}

// ---- HTTP

namespace {

sockaddr_in AddressOf(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

bool WriteAll(int socket, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t count =
        send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) return false;
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

std::size_t ContentLength(const std::string& head) {
  std::string lower = head;
  std::transform(lower.begin(), lower.end(), lower.begin(), ::tolower);
  const std::size_t at = lower.find("content-length:");
  return at == std::string::npos ? 0 : std::stoul(lower.substr(at + 15));
}

// Reads one message; false if the connection ends or the time is over first.
bool ReadMessage(int socket, std::string& buffer, std::string& head,
                 std::string& body, std::int64_t until) {
  const std::string end = "\r\n\r\n";
  for (;;) {
    const std::size_t at = buffer.find(end);
    if (at != std::string::npos) {
      head = buffer.substr(0, at);
      const std::size_t total = at + end.size() + ContentLength(head);
      if (buffer.size() >= total) {
        body = buffer.substr(at + end.size(), total - at - end.size());
        buffer.erase(0, total);
        return true;
      }
    }
    const std::int64_t left = until - NowMs();
    if (left <= 0) return false;
    pollfd waiting{socket, POLLIN, 0};
    if (poll(&waiting, 1, static_cast<int>(left)) <= 0) return false;
    char part[65536];
    const ssize_t count = recv(socket, part, sizeof(part), 0);
    if (count <= 0) return false;
    buffer.append(part, static_cast<std::size_t>(count));
  }
}

std::string Unescape(const std::string& text) {
  std::string plain;
  for (std::size_t at = 0; at < text.size(); ++at) {
    if (text[at] == '%' && at + 2 < text.size()) {
      plain +=
          static_cast<char>(std::stoi(text.substr(at + 1, 2), nullptr, 16));
      at += 2;
    } else {
      plain += text[at];
    }
  }
  return plain;
}

std::map<std::string, std::string> QueryOf(const std::string& target) {
  std::map<std::string, std::string> query;
  const std::size_t mark = target.find('?');
  if (mark == std::string::npos) return query;
  std::stringstream parts(target.substr(mark + 1));
  std::string part;
  while (std::getline(parts, part, '&')) {
    const std::size_t equals = part.find('=');
    if (equals == std::string::npos) continue;
    query[part.substr(0, equals)] = Unescape(part.substr(equals + 1));
  }
  return query;
}

constexpr std::int64_t kIdleMs = 120000;

}  // namespace

Server::Server(Handler handler, std::uint16_t port)
    : m_handler(std::move(handler)) {
  m_listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in address = AddressOf(port);
  if (bind(m_listener, reinterpret_cast<sockaddr*>(&address),
           sizeof(address)) != 0 ||
      listen(m_listener, 1024) != 0) {
    std::cerr << "cannot listen on port " << port << "\n";
    std::exit(kNotRun);
  }
  socklen_t length = sizeof(address);
  getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &length);
  m_port = ntohs(address.sin_port);
  m_acceptor = std::thread([this] { Accept(); });
}

Server::~Server() { Stop(); }

void Server::Accept() {
  while (!m_is_stopped) {
    const int socket = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (socket < 0) return;
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (m_is_stopped) {
      close(socket);
      return;
    }
    m_sockets.insert(socket);
    m_threads.emplace_back([this, socket] { Serve(socket); });
  }
}

void Server::Serve(int socket) {
  std::string buffer;
  std::string head;
  std::string body;
  while (ReadMessage(socket, buffer, head, body, NowMs() + kIdleMs)) {
    Request request;
    std::stringstream first(head);
    first >> request.m_method >> request.m_target;
    request.m_body = body;
    const Response response = m_handler(request);
    if (response.m_status == 0) continue;
    if (response.m_status < 0) break;
    if (!WriteAll(socket, "HTTP/1.1 " + std::to_string(response.m_status) +
                              " status\r\nContent-Type: application/json\r\n"
                              "Content-Length: " +
                              std::to_string(response.m_body.size()) +
                              "\r\n\r\n" + response.m_body)) {
      break;
    }
  }
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_sockets.erase(socket);
  close(socket);
}

void Server::Stop() {
  if (m_is_stopped.exchange(true)) return;
  shutdown(m_listener, SHUT_RDWR);
  m_acceptor.join();
  close(m_listener);
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    for (const int socket : m_sockets) shutdown(socket, SHUT_RDWR);
  }
  for (std::thread& thread : m_threads) thread.join();
}

std::uint16_t FreePort() {
  const int probe = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = AddressOf(0);
  bind(probe, reinterpret_cast<sockaddr*>(&address), sizeof(address));
  socklen_t length = sizeof(address);
  getsockname(probe, reinterpret_cast<sockaddr*>(&address), &length);
  close(probe);
  return ntohs(address.sin_port);
}

Response Send(std::uint16_t port, const std::string& method,
              const std::string& target, const std::string& host,
              const std::string& body, std::int64_t timeout_ms) {
  Response response{0, ""};
  const int connection = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = AddressOf(port);
  if (connect(connection, reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) == 0 &&
      WriteAll(connection,
               method + " " + target + " HTTP/1.1\r\nHost: " + host +
                   "\r\nContent-Type: application/json\r\n"
                   "X-Timeout-Ms: " +
                   std::to_string(timeout_ms) + "\r\nContent-Length: " +
                   std::to_string(body.size()) + "\r\n\r\n" + body)) {
    std::string buffer;
    std::string head;
    if (ReadMessage(connection, buffer, head, response.m_body,
                    NowMs() + timeout_ms)) {
      std::stringstream first(head);
      std::string version;
      first >> version >> response.m_status;
    }
  }
  close(connection);
  return response;
}

// ---- Base64

namespace {
constexpr char kDigits[] =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
}  // namespace

std::string EncodeBase64(const std::string& bytes) {
  std::string text;
  for (std::size_t at = 0; at < bytes.size(); at += 3) {
    std::uint32_t group = 0;
    for (std::size_t index = 0; index < 3; ++index) {
      group <<= 8;
      if (at + index < bytes.size()) {
        group |= static_cast<unsigned char>(bytes[at + index]);
      }
    }
    for (std::size_t index = 0; index < 4; ++index) {
      text += at + index > bytes.size()
                  ? '='
                  : kDigits[(group >> (18 - 6 * index)) & 63];
    }
  }
  return text;
}

std::string DecodeBase64(const std::string& text) {
  std::string bytes;
  std::uint32_t group = 0;
  int bits = 0;
  for (const char letter : text) {
    const char* digit = std::strchr(kDigits, letter);
    if (letter == '\0' || digit == nullptr) break;
    group = (group << 6) | static_cast<std::uint32_t>(digit - kDigits);
    bits += 6;
    if (bits < 8) continue;
    bits -= 8;
    bytes += static_cast<char>((group >> bits) & 255);
  }
  return bytes;
}

// ---- Store

namespace {

constexpr std::size_t kPageItems = 500;
constexpr std::size_t kPageBytes = 1000000;
constexpr std::size_t kEntriesPerTransaction = 32;

std::int64_t NumberAt(const Json& object, const char* name) {
  const auto field = object.find(name);
  return field == object.end() || !field->is_number_integer()
             ? 0
             : field->get<std::int64_t>();
}

std::string TextAt(const Json& object, const char* name) {
  const auto field = object.find(name);
  return field == object.end() || !field->is_string()
             ? ""
             : field->get<std::string>();
}

bool HasPrefix(const std::string& key, const std::string& prefix) {
  return key.compare(0, prefix.size(), prefix) == 0;
}

}  // namespace

Store::Store() {
  m_server = std::make_unique<Server>(
      [this](const Request& request) { return Handle(request); });
}

void Store::Put(const std::string& key, const std::string& value) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  ++m_revision;
  Write(key, EncodeBase64(value), 0);
  m_changed.notify_all();
}

void Store::Remove(const std::string& key) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  if (m_items.count(key) == 0) return;
  ++m_revision;
  Erase(key);
  m_changed.notify_all();
}

std::string Store::Get(const std::string& key) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  const auto found = m_items.find(key);
  return found == m_items.end() ? "" : DecodeBase64(found->second.m_value);
}

Json Store::ItemOf(const std::string& key) const {
  const Item& item = m_items.at(key);
  return {{"key", key},
          {"value", item.m_value},
          {"rev", item.m_revision},
          {"created", item.m_created},
          {"lease", item.m_lease}};
}

void Store::Write(const std::string& key, const std::string& value,
                  std::int64_t lease) {
  Item& item = m_items[key];
  if (item.m_created == 0) item.m_created = m_revision;
  item.m_value = value;
  item.m_revision = m_revision;
  item.m_lease = lease;
  m_history.push_back(ItemOf(key));
}

void Store::Erase(const std::string& key) {
  m_items.erase(key);
  m_history.push_back({{"key", key}, {"rev", m_revision}, {"tombstone", true}});
}

void Store::ExpireLeases() {
  const std::int64_t now = NowMs();
  for (auto next = m_leases.begin(); next != m_leases.end();) {
    if (next->second.m_ends_at > now) {
      ++next;
      continue;
    }
    const std::int64_t id = next->first;
    next = m_leases.erase(next);
    EndLease(id);
  }
}

Response Store::EndLease(std::int64_t id) {
  m_leases.erase(id);
  std::vector<std::string> keys;
  for (const auto& [key, item] : m_items) {
    if (item.m_lease == id) keys.push_back(key);
  }
  if (!keys.empty()) ++m_revision;
  for (const std::string& key : keys) Erase(key);
  if (!keys.empty()) m_changed.notify_all();
  return {200, "{}"};
}

Response Store::Handle(const Request& request) {
  const std::string path =
      request.m_target.substr(0, request.m_target.find('?'));
  auto query = QueryOf(request.m_target);
  if (path == "/daisyarch/kv-watch") {
    return Watch(query["prefix"], std::stoll(query["after"]),
                 std::stoll(query["wait_ms"]));
  }
  const std::lock_guard<std::mutex> lock(m_mutex);
  ExpireLeases();
  const Json body = request.m_body.empty()
                        ? Json::object()
                        : Json::parse(request.m_body, nullptr, false);
  if (!body.is_object()) return {400, "{}"};
  const std::string keep = "/daisyarch/kv-keep/";
  const std::string end = "/daisyarch/kv-lease-end/";
  if (path == "/daisyarch/kv-key") return ReadKey(query["key"]);
  if (path == "/daisyarch/kv-range") {
    return ReadRange(query["prefix"], query["after"]);
  }
  if (path == "/daisyarch/kv-txn") return Commit(body);
  if (path == "/daisyarch/kv-lease")
    return GrantLease(NumberAt(body, "ttl_ms"));
  if (HasPrefix(path, keep))
    return KeepLease(std::stoll(path.substr(keep.size())));
  if (HasPrefix(path, end))
    return EndLease(std::stoll(path.substr(end.size())));
  return {404, "{}"};
}

Response Store::ReadKey(const std::string& key) {
  if (m_items.count(key) == 0) return {404, Json{{"as_of", m_revision}}.dump()};
  Json answer = ItemOf(key);
  answer["as_of"] = m_revision;
  return {200, answer.dump()};
}

Response Store::ReadRange(const std::string& prefix, const std::string& after) {
  Json items = Json::array();
  std::size_t bytes = 0;
  bool has_more = false;
  for (const auto& [key, item] : m_items) {
    if (!HasPrefix(key, prefix) || (!after.empty() && key <= after)) continue;
    if (items.size() >= kPageItems || bytes >= kPageBytes) {
      has_more = true;
      break;
    }
    items.push_back(ItemOf(key));
    bytes += item.m_value.size();
  }
  return {200,
          Json{{"items", items}, {"has_more", has_more}, {"as_of", m_revision}}
              .dump()};
}

Response Store::Watch(const std::string& prefix, std::int64_t after,
                      std::int64_t wait_ms) {
  std::unique_lock<std::mutex> lock(m_mutex);
  const std::int64_t until = NowMs() + wait_ms;
  for (;;) {
    ExpireLeases();
    Json events = Json::array();
    for (auto event = m_history.rbegin(); event != m_history.rend(); ++event) {
      if (NumberAt(*event, "rev") <= after) break;
      if (HasPrefix(TextAt(*event, "key"), prefix)) events.push_back(*event);
    }
    std::reverse(events.begin(), events.end());
    const std::int64_t left = until - NowMs();
    if (!events.empty() || left <= 0) {
      return {200, Json{{"events", events}, {"as_of", m_revision}}.dump()};
    }
    m_changed.wait_for(
        lock, std::chrono::milliseconds(std::min<std::int64_t>(left, 50)));
  }
}

Response Store::Commit(const Json& transaction) {
  const Json none = Json::array();
  const auto list = [&](const char* name) {
    return transaction.contains(name) ? transaction[name] : none;
  };
  const Json expect = list("expect");
  const Json puts = list("puts");
  const Json remove = list("remove");
  if (expect.size() + puts.size() + remove.size() > kEntriesPerTransaction) {
    return {400, "{}"};
  }
  for (const Json& put : puts) {
    if (TextAt(put, "value").size() / 4 * 3 > kValueBytes + 2) {
      ++m_oversized_writes;
      return {400, "{}"};
    }
    const std::int64_t lease = NumberAt(put, "lease");
    if (lease != 0 && m_leases.count(lease) == 0) return {404, "{}"};
  }
  bool is_met = true;
  Json items = Json::array();
  for (const Json& row : expect) {
    const std::string key = TextAt(row, "key");
    const bool exists = m_items.count(key) > 0;
    const std::int64_t revision = exists ? m_items[key].m_revision : 0;
    if (revision != NumberAt(row, "rev")) is_met = false;
    if (exists) items.push_back(ItemOf(key));
  }
  if (!is_met) return {412, Json{{"items", items}}.dump()};
  ++m_revision;
  for (const Json& put : puts) {
    Write(TextAt(put, "key"), TextAt(put, "value"), NumberAt(put, "lease"));
  }
  for (const Json& key : remove) {
    if (m_items.count(key.get<std::string>()) > 0) Erase(key);
  }
  m_changed.notify_all();
  return {200, Json{{"rev", m_revision}}.dump()};
}

Response Store::GrantLease(std::int64_t term_ms) {
  const std::int64_t id = m_next_lease++;
  m_leases[id] = {term_ms, NowMs() + term_ms};
  return {200, Json{{"lease", id}, {"ttl_ms", term_ms}}.dump()};
}

Response Store::KeepLease(std::int64_t id) {
  const auto found = m_leases.find(id);
  if (found == m_leases.end()) return {404, "{}"};
  found->second.m_ends_at = NowMs() + found->second.m_term_ms;
  return {200, Json{{"lease", id}, {"ttl_ms", found->second.m_term_ms}}.dump()};
}

// ---- Executor

namespace {

constexpr std::int64_t kHeartbeatMs = 1100;
constexpr std::int64_t kTickMs = 5;
constexpr std::int64_t kLongestLeaseMs = 6000;
constexpr std::size_t kListedEnds = 500;
constexpr char kPool[] = "pool";

}  // namespace

Executor::Executor(Store& store, Record& record, std::string id, Room room,
                   std::vector<std::string> labels)
    : m_store(store),
      m_record(record),
      m_id(std::move(id)),
      m_room(room),
      m_labels(std::move(labels)) {
  m_on_start = [](const std::string&, const std::vector<std::string>&) {};
  m_delay_of = [](const std::string&, const Json&) { return std::int64_t{0}; };
  m_work_of = [](const std::string&) { return std::int64_t{500}; };
  m_end_of = [](const std::string&) { return std::string("done"); };
  Begin();
  m_ticker = std::thread([this] {
    while (!m_is_stopped) {
      Tick();
      SleepMs(kTickMs);
    }
  });
}

Executor::~Executor() {
  m_is_stopped = true;
  m_ticker.join();
  m_has_ended.notify_all();
  if (m_server) m_server->Stop();
}

void Executor::Begin() {
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    ++m_epoch;
    m_is_up = true;
    m_is_dark = false;
    m_born = UnixMs();
    m_began_at = NowMs();
    m_fence = m_deadline = m_last_end = 0;
    m_running.clear();
    m_closed.clear();
    m_finished.clear();
  }
  m_server = std::make_unique<Server>(
      [this](const Request& request) { return Handle(request); }, m_port);
  m_port = m_server->port();
  Publish();
}

void Executor::Publish() {
  m_record.Write("executor " + m_id + " starts with labels " +
                 Json(m_labels).dump());
  m_store.Put("servers/" + m_id,
              Json{{"service", kPool},
                   {"addr", "127.0.0.1:" + std::to_string(m_port)},
                   {"zone", "zone-a"},
                   {"version", "1"},
                   {"slots", 8},
                   {"state", "ready"},
                   {"cold_left_ms", 0},
                   {"seq", 1},
                   {"born", m_born},
                   {"capacity",
                    {{"cpu", m_room.m_processors},
                     {"mem_mb", m_room.m_memory},
                     {"gpu", 0}}},
                   {"labels", m_labels}}
                  .dump());
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_is_listed = true;
}

void Executor::Crash() {
  m_record.Write("executor " + m_id + " crashes");
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_is_up = false;
    m_silent_since = NowMs();
    m_running.clear();
  }
  m_has_ended.notify_all();
  m_server->Stop();
  m_server.reset();
}

void Executor::LosePower() {
  m_record.Write("executor " + m_id + " loses power");
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_is_up = false;
  m_is_dark = true;
  m_silent_since = NowMs();
  m_running.clear();
  m_has_ended.notify_all();
}

void Executor::Restart() { Restart(m_labels); }

void Executor::Restart(std::vector<std::string> labels) {
  if (m_server) {
    m_server->Stop();
    m_server.reset();
  }
  m_labels = std::move(labels);
  Begin();
}

bool Executor::IsUp() {
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_is_up;
}

std::size_t Executor::CountUnacknowledgedEnds() {
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_finished.size();
}

std::size_t Executor::CountEnds() {
  const std::lock_guard<std::mutex> lock(m_mutex);
  return static_cast<std::size_t>(m_last_end);
}

std::size_t Executor::CountRunning() {
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_running.size();
}

std::int64_t Executor::Clock() const { return NowMs() - m_began_at; }

void Executor::End(const std::string& task, const std::string& how) {
  const std::int64_t run = m_running.at(task).m_run;
  m_running.erase(task);
  m_closed[task] = std::max(m_closed[task], run);
  m_finished.push_back(Json::array({++m_last_end, task, run, how, ""}));
  m_record.Write("executor " + m_id + ": run " + std::to_string(run) + " of " +
                 task + " ends " + how);
  m_has_ended.notify_all();
}

void Executor::Advance() {
  if (!m_is_up) return;
  const bool has_lapsed = Clock() > m_deadline;
  std::vector<std::pair<std::string, std::string>> ends;
  for (const auto& [task, run] : m_running) {
    if (has_lapsed) {
      ends.emplace_back(task, "lapsed");
    } else if (NowMs() >= run.m_ends_at) {
      ends.emplace_back(task, m_end_of(task));
    }
  }
  for (const auto& [task, how] : ends) End(task, how);
}

void Executor::Tick() {
  bool must_remove = false;
  {
    std::unique_lock<std::mutex> lock(m_mutex);
    Advance();
    const auto late = m_late_orders;
    for (const LateOrder& order : late) {
      if (!m_is_up || NowMs() < order.m_due_at) continue;
      Json now = order.m_order;
      now.erase("wait_ms");
      const Response response = CarryOut(order.m_path, now, lock);
      m_record.Write("executor " + m_id + " carries out " + order.m_path +
                     " late: " + std::to_string(response.m_status) + " " +
                     response.m_body);
    }
    if (m_is_up) {
      m_late_orders.erase(
          std::remove_if(
              m_late_orders.begin(), m_late_orders.end(),
              [](const LateOrder& order) { return NowMs() >= order.m_due_at; }),
          m_late_orders.end());
    }
    must_remove =
        !m_is_up && m_is_listed && NowMs() - m_silent_since > 3 * kHeartbeatMs;
    if (must_remove) m_is_listed = false;
  }
  if (must_remove) m_store.Remove("servers/" + m_id);
}

Response Executor::Reject(const char* reason) const {
  return {409, Json{{"clock_ms", Clock()}, {"reason", reason}}.dump()};
}

Response Executor::Handle(const Request& request) {
  std::unique_lock<std::mutex> lock(m_mutex);
  if (m_is_cut) return {0, ""};
  if (!m_is_up) return {m_is_dark ? 0 : -1, ""};
  const Json order = Json::parse(request.m_body, nullptr, false);
  if (!order.is_object()) return {400, "{}"};
  const std::int64_t delay = m_delay_of(request.m_target, order);
  if (delay == 0) return CarryOut(request.m_target, order, lock);
  m_record.Write("executor " + m_id + " does not answer " + request.m_target +
                 " " + order.dump());
  m_late_orders.push_back({NowMs() + delay, request.m_target, order});
  return {0, ""};
}

Response Executor::CarryOut(const std::string& path, const Json& order,
                            std::unique_lock<std::mutex>& lock) {
  Advance();
  const std::int64_t fence = NumberAt(order, "fence");
  if (fence < m_fence) return Reject("fence");
  m_fence = fence;
  if (path == "/daisyarch/run-start") return Start(order);
  if (path == "/daisyarch/run-stop") return Stop(order);
  if (path == "/daisyarch/hold") return Hold(order, lock);
  if (path == "/daisyarch/pace") {
    return {200, Json{{"clock_ms", Clock()}}.dump()};
  }
  return {404, "{}"};
}

void Executor::SetCut(bool is_cut) {
  m_record.Write(
      "executor " + m_id +
      (is_cut ? " is cut off from the nodes" : " is reachable again"));
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_is_cut = is_cut;
}

Response Executor::Start(const Json& order) {
  const std::string task = TextAt(order, "task");
  const std::int64_t run = NumberAt(order, "run");
  const std::int64_t deadline =
      std::min(NumberAt(order, "deadline_ms"), Clock() + kLongestLeaseMs);
  if (deadline <= Clock()) return Reject("late");
  m_deadline = std::max(m_deadline, deadline);
  const auto known = m_running.find(task);
  if (known != m_running.end() && known->second.m_run == run) {
    return {200, Json{{"clock_ms", Clock()}}.dump()};
  }
  const auto closed = m_closed.find(task);
  if (closed != m_closed.end() && run <= closed->second) return Reject("old");
  if (known != m_running.end()) return Reject("old");
  m_running[task] = {run, NowMs() + m_work_of(task)};
  m_record.Write("executor " + m_id + " starts run " + std::to_string(run) +
                 " of " + task);
  m_on_start(task, m_labels);
  return {200, Json{{"clock_ms", Clock()}}.dump()};
}

Response Executor::Stop(const Json& order) {
  const std::string task = TextAt(order, "task");
  const std::int64_t run = NumberAt(order, "run");
  const auto known = m_running.find(task);
  if (known != m_running.end() && known->second.m_run <= run) {
    End(task, "stopped");
  }
  m_closed[task] = std::max(m_closed[task], run);
  return {200, Json{{"clock_ms", Clock()}}.dump()};
}

Response Executor::Hold(const Json& order, std::unique_lock<std::mutex>& lock) {
  const std::int64_t acknowledged = NumberAt(order, "ack_cursor");
  while (!m_finished.empty() &&
         m_finished.front()[0].get<std::int64_t>() <= acknowledged) {
    m_finished.pop_front();
  }
  if (order.contains("deadline_ms")) {
    m_deadline = std::max(m_deadline, std::min(NumberAt(order, "deadline_ms"),
                                               Clock() + kLongestLeaseMs));
  }
  const std::int64_t epoch = m_epoch;
  const std::int64_t until = NowMs() + NumberAt(order, "wait_ms");
  while (m_finished.empty() && NowMs() < until && m_epoch == epoch && m_is_up) {
    m_has_ended.wait_for(lock, std::chrono::milliseconds(20));
  }
  if (!m_is_up || m_epoch != epoch) return {m_is_dark ? 0 : -1, ""};
  Json running = Json::array();
  for (const auto& [task, run] : m_running) {
    running.push_back(Json::array({task, run.m_run, "", 50, 0}));
  }
  Json finished = Json::array();
  for (const Json& end : m_finished) {
    if (finished.size() == kListedEnds) break;
    finished.push_back(end);
  }
  return {200, Json{{"clock_ms", Clock()},
                    {"born", m_born},
                    {"running", running},
                    {"finished", finished}}
                   .dump()};
}

// ---- Nodes

namespace {

constexpr std::int64_t kRestartDelayMs = 500;

void Replace(std::string& text, const std::string& name,
             const std::string& value) {
  const std::string mark = "{{" + name + "}}";
  for (std::size_t at = text.find(mark); at != std::string::npos;
       at = text.find(mark)) {
    text.replace(at, mark.size(), value);
  }
}

std::string ReadFile(const std::string& path) {
  std::ifstream stream(path);
  std::stringstream text;
  text << stream.rdbuf();
  return text.str();
}

std::int64_t ResidentMegabytes(pid_t process) {
  std::ifstream stream("/proc/" + std::to_string(process) + "/statm");
  std::int64_t total = 0;
  std::int64_t resident = 0;
  stream >> total >> resident;
  return resident * sysconf(_SC_PAGESIZE) / (1024 * 1024);
}

}  // namespace

Nodes::Nodes(Record& record, std::string root, std::string folder, Store& store,
             int count, std::int64_t memory_mb)
    : m_record(record), m_root(std::move(root)), m_memory_mb(memory_mb) {
  const std::string settings = ReadFile(m_root + "/deploy/settings.yaml");
  if (settings.empty() ||
      access((m_root + "/target/daisyarchd").c_str(), X_OK) != 0) {
    std::cerr << "run the build of the deploy file first\n";
    std::exit(kNotRun);
  }
  for (int index = 0; index < count; ++index) {
    Node node;
    node.m_name = "front-" + std::to_string(index + 1);
    node.m_client_port = FreePort();
    node.m_ready_port = FreePort();
    node.m_metrics_port = FreePort();
    node.m_settings = folder + "/" + node.m_name + ".yaml";
    node.m_log = folder + "/" + node.m_name + ".log";
    const auto address = [](std::uint16_t port) {
      return "127.0.0.1:" + std::to_string(port);
    };
    std::string text = settings;
    Replace(text, "node", node.m_name);
    Replace(text, "zone", "zone-a");
    Replace(text, "limits.cpu_share", "0.25");
    Replace(text, "bounds.far_x", "3");
    Replace(text, "listen.front", address(node.m_client_port));
    Replace(text, "listen.ready", address(node.m_ready_port));
    Replace(text, "ip", "127.0.0.1");
    Replace(text, "port_range.0", std::to_string(node.m_metrics_port));
    Replace(text, "platform.addr", address(store.port()));
    Replace(text, "platform.ttl_min_ms", "1000");
    Replace(text, "bounds.hold_max_ms", std::to_string(kLongestLeaseMs));
    Replace(text, "bounds.grace_s", "6");
    Replace(text, "bounds.status_s", "120");
    Replace(text, "bounds.harm_ms", "4000");
    Replace(text, "bounds.drain_ms", "2000");
    std::ofstream(node.m_settings) << text;
    m_nodes.push_back(node);
  }
  for (Node& node : m_nodes) Launch(node);
  m_supervisor = std::thread([this] {
    while (!m_is_stopped) {
      Supervise();
      SleepMs(20);
    }
  });
}

Nodes::~Nodes() {
  m_is_stopped = true;
  m_supervisor.join();
  for (Node& node : m_nodes) {
    if (node.m_process <= 0) continue;
    kill(node.m_process, SIGKILL);
    waitpid(node.m_process, nullptr, 0);
  }
}

void Nodes::Launch(Node& node) {
  const std::string site = "--site=" + node.m_settings;
  const pid_t child = fork();
  if (child == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int log =
        open(node.m_log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    if (chdir(m_root.c_str()) != 0) _exit(127);
    execl("target/daisyarchd", "target/daisyarchd", site.c_str(), nullptr);
    _exit(127);
  }
  node.m_process = child;
  m_record.Write(node.m_name + " starts as process " + std::to_string(child));
}

void Nodes::Supervise() {
  const std::lock_guard<std::mutex> lock(m_mutex);
  for (Node& node : m_nodes) {
    if (node.m_process <= 0) {
      if (NowMs() >= node.m_start_at) Launch(node);
      continue;
    }
    if (m_memory_mb > 0) {
      const std::int64_t resident = ResidentMegabytes(node.m_process);
      if (resident > m_memory_mb) {
        m_record.Write(node.m_name + " uses " + std::to_string(resident) +
                       " MB: the platform kills it");
        kill(node.m_process, SIGKILL);
      }
    }
    int status = 0;
    if (waitpid(node.m_process, &status, WNOHANG) != node.m_process) continue;
    ++node.m_ends;
    m_record.Write(node.m_name + " has ended by itself: " +
                   (WIFSIGNALED(status)
                        ? "signal " + std::to_string(WTERMSIG(status))
                        : "status " + std::to_string(WEXITSTATUS(status))));
    node.m_process = -1;
    node.m_start_at = NowMs() + kRestartDelayMs;
  }
}

bool Nodes::IsReady(int node) {
  return Send(m_nodes[node].m_ready_port, "GET", "/daisyarch/ready", "ready",
              "", 500)
             .m_status == 200;
}

int Nodes::EndsOf(int node) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_nodes[node].m_ends;
}

void Nodes::Signal(int node, int signal) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  if (m_nodes[node].m_process > 0) kill(m_nodes[node].m_process, signal);
}

// ---- Clients and operator

Arguments ReadArguments(int count, char** words) {
  if (count != 4) {
    std::cerr << "expected the repository, a folder and the record\n";
    std::exit(kNotRun);
  }
  signal(SIGPIPE, SIG_IGN);
  return {words[1], words[2], words[3]};
}

void WriteConfiguration(Store& store, int maximum_attempts) {
  store.Put(
      "op/config",
      Json{{"version", 7},
           {"routes",
            {{{"name", "work"},
              {"host", kHost},
              {"prefix", kPrefix},
              {"service", kPool},
              {"priority", 1},
              {"max_attempts", maximum_attempts},
              {"stretch", 2.0},
              {"target_duration_ms", 1000}}}},
           {"services", {{{"name", kPool}, {"enforces_capacity", false}}}},
           {"limits", {{"max_body_bytes", 262144}}}}
          .dump());
}

std::string JobId(int number) {
  char text[17];
  std::snprintf(text, sizeof(text), "%016x", 0x5c0e7a00 + number);
  return text;
}

int Submit(Record& record, Nodes& nodes, int first_node, const std::string& id,
           const std::string& body, int retries) {
  int status = 0;
  for (int attempt = 0; attempt <= retries; ++attempt) {
    const int node = (first_node + attempt) % nodes.count();
    const Response response =
        Send(nodes.port(node), "POST", kPrefix + id, kHost, body, 3000);
    status = response.m_status;
    record.Write("POST of job " + id + " at node " + std::to_string(node + 1) +
                 ": " +
                 (status == 0 ? "the connection ends without an answer"
                              : std::to_string(status)));
    const bool must_repeat = status == 0 || status == 502 || status == 504;
    if (!must_repeat) return status;
    SleepMs(200);
  }
  return status;
}

std::string StateOf(Record& record, Nodes& nodes, int node,
                    const std::string& id) {
  const Response response =
      Send(nodes.port(node), "GET", kPrefix + id, kHost, "", 3000);
  std::string state = std::to_string(response.m_status);
  if (response.m_status == 200) {
    const Json body = Json::parse(response.m_body, nullptr, false);
    if (body.is_object()) state = TextAt(body, "state");
  }
  record.Write("GET of job " + id + " at node " + std::to_string(node + 1) +
               ": " + state);
  return state;
}

}  // namespace review
