// A stand-in of the platform's store as PROTOCOL.md describes it: one revision
// counter, conditional writes, leases, watches over 20 s of history, and pages
// of about 500 items or 1 MB. It prints "port store N" and "port control N".
// The operator and the workers write through the control port: /put and
// /remove take `key` and `value`; /value returns the value of a key, and /sum
// the number of items below a prefix and the bytes of their values; /silent
// takes `for_ms`: meanwhile calls are neither carried out nor answered, then or
// later, and leases pause.

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstring>
#include <deque>
#include <iostream>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

namespace {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr std::size_t kPageItems = 500;
constexpr std::size_t kPageBytes = 1000 * 1000;
constexpr std::size_t kMaximumValueBytes = 1048576;
constexpr auto kHistory = std::chrono::seconds(20);
constexpr auto kAnswerTime = milliseconds(4);

// Values are kept as they are sent, as base64.
struct Entry {
  std::string m_value;
  std::uint64_t m_revision = 0;
  std::uint64_t m_created = 0;
  std::uint64_t m_lease = 0;
};

struct Event {
  std::string m_key;
  std::string m_value;
  std::uint64_t m_revision = 0;
  bool m_is_removed = false;
  Clock::time_point m_at;
};

struct Lease {
  milliseconds m_term{};
  Clock::time_point m_ends_at;
};

struct Store {
  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::map<std::string, Entry> m_entries;
  std::map<std::uint64_t, Lease> m_leases;
  std::deque<Event> m_history;
  std::uint64_t m_revision = 1;
  std::uint64_t m_compacted = 0;
  std::uint64_t m_last_lease = 0;
  /// Until then the store carries out nothing and answers nothing.
  Clock::time_point m_silent_until;
};

struct Reply {
  int m_status = 200;
  std::string m_body = "{}";
};

bool HasPrefix(const std::string& key, const std::string& prefix) {
  return key.compare(0, prefix.size(), prefix) == 0;
}

void Put(Store& store, const std::string& key, const std::string& value,
         std::uint64_t lease) {
  Entry& entry = store.m_entries[key];
  entry.m_value = value;
  entry.m_revision = store.m_revision;
  if (entry.m_created == 0) entry.m_created = store.m_revision;
  entry.m_lease = lease;
  store.m_history.push_back(
      {key, value, store.m_revision, false, Clock::now()});
}

void Remove(Store& store, const std::string& key) {
  if (store.m_entries.erase(key) == 0) return;
  store.m_history.push_back({key, "", store.m_revision, true, Clock::now()});
}

void EndLease(Store& store, std::uint64_t lease) {
  if (store.m_leases.erase(lease) == 0) return;
  std::vector<std::string> keys;
  for (const auto& [key, entry] : store.m_entries) {
    if (entry.m_lease == lease) keys.push_back(key);
  }
  if (keys.empty()) return;
  ++store.m_revision;
  for (const std::string& key : keys) Remove(store, key);
}

void Refresh(Store& store) {
  const auto now = Clock::now();
  std::vector<std::uint64_t> ended;
  for (const auto& [id, lease] : store.m_leases) {
    if (lease.m_ends_at <= now) ended.push_back(id);
  }
  for (const std::uint64_t id : ended) EndLease(store, id);
  while (!store.m_history.empty() &&
         now - store.m_history.front().m_at > kHistory) {
    store.m_compacted = store.m_history.front().m_revision;
    store.m_history.pop_front();
  }
}

Json ItemOf(const std::string& key, const Entry& entry) {
  return {{"key", key},
          {"value", entry.m_value},
          {"rev", entry.m_revision},
          {"created", entry.m_created},
          {"lease", entry.m_lease}};
}

std::string Decode(const std::string& text) {
  std::string decoded;
  for (std::size_t at = 0; at < text.size(); ++at) {
    if (text[at] == '%' && at + 2 < text.size()) {
      decoded +=
          static_cast<char>(std::stoi(text.substr(at + 1, 2), nullptr, 16));
      at += 2;
    } else {
      decoded += text[at];
    }
  }
  return decoded;
}

std::string QueryText(const std::string& target, const std::string& name) {
  const auto query = target.find('?');
  if (query == std::string::npos) return "";
  const std::string parts = "&" + target.substr(query + 1);
  const auto found = parts.find("&" + name + "=");
  if (found == std::string::npos) return "";
  const auto begin = found + name.size() + 2;
  return Decode(parts.substr(begin, parts.find('&', begin) - begin));
}

std::uint64_t QueryNumber(const std::string& target, const std::string& name) {
  const std::string text = QueryText(target, name);
  return text.empty() ? 0 : std::stoull(text);
}

Reply ReadKey(Store& store, const std::string& key) {
  const auto found = store.m_entries.find(key);
  if (found == store.m_entries.end()) return {404, "{}"};
  Json item = ItemOf(key, found->second);
  item["as_of"] = store.m_revision;
  return {200, item.dump()};
}

Reply ReadRange(Store& store, const std::string& prefix,
                const std::string& after) {
  Json items = Json::array();
  std::size_t bytes = 0;
  bool has_more = false;
  auto next = store.m_entries.lower_bound(prefix);
  if (!after.empty()) next = store.m_entries.upper_bound(after);
  for (; next != store.m_entries.end() && HasPrefix(next->first, prefix);
       ++next) {
    bytes += next->second.m_value.size();
    if (!items.empty() && (items.size() == kPageItems || bytes > kPageBytes)) {
      has_more = true;
      break;
    }
    items.push_back(ItemOf(next->first, next->second));
  }
  return {200, Json{{"items", items},
                    {"has_more", has_more},
                    {"as_of", store.m_revision}}
                   .dump()};
}

Reply Watch(Store& store, std::unique_lock<std::mutex>& lock,
            const std::string& prefix, std::uint64_t after,
            milliseconds longest) {
  const auto until = Clock::now() + longest;
  while (true) {
    Refresh(store);
    if (after < store.m_compacted) return {410, "{}"};
    Json events = Json::array();
    for (auto event = store.m_history.rbegin();
         event != store.m_history.rend() && event->m_revision > after;
         ++event) {
      if (!HasPrefix(event->m_key, prefix)) continue;
      Json row = {{"key", event->m_key}, {"rev", event->m_revision}};
      if (event->m_is_removed) {
        row["tombstone"] = true;
      } else {
        row["value"] = event->m_value;
      }
      events.push_back(std::move(row));
    }
    std::reverse(events.begin(), events.end());
    const auto now = Clock::now();
    if (!events.empty() || now >= until) {
      return {200,
              Json{{"events", events}, {"as_of", store.m_revision}}.dump()};
    }
    store.m_changed.wait_until(lock, std::min(until, now + milliseconds(20)));
  }
}

Reply Commit(Store& store, const Json& body) {
  const Json expect = body.value("expect", Json::array());
  const Json puts = body.value("puts", Json::array());
  const Json removed = body.value("remove", Json::array());
  if (expect.size() + puts.size() + removed.size() > 32) return {400, "{}"};
  for (const Json& row : puts) {
    const std::string key = row.at("key");
    if (HasPrefix(key, "op/") || HasPrefix(key, "servers/")) return {403, "{}"};
    if (row.at("value").get_ref<const std::string&>().size() / 4 * 3 >
        kMaximumValueBytes) {
      return {400, "{}"};
    }
    const std::uint64_t lease = row.value("lease", std::uint64_t{0});
    if (lease != 0 && store.m_leases.count(lease) == 0) return {404, "{}"};
  }
  bool holds = true;
  Json items = Json::array();
  for (const Json& row : expect) {
    const auto found = store.m_entries.find(row.at("key"));
    const bool is_there = found != store.m_entries.end();
    const std::uint64_t revision = is_there ? found->second.m_revision : 0;
    holds = holds && revision == row.at("rev").get<std::uint64_t>();
    if (is_there) items.push_back(ItemOf(found->first, found->second));
  }
  if (!holds) return {412, Json{{"items", items}}.dump()};
  ++store.m_revision;
  for (const Json& row : puts) {
    Put(store, row.at("key"), row.at("value"),
        row.value("lease", std::uint64_t{0}));
  }
  for (const Json& key : removed) Remove(store, key);
  store.m_changed.notify_all();
  return {200, Json{{"rev", store.m_revision}}.dump()};
}

Reply GrantLease(Store& store, const Json& body) {
  const milliseconds term(body.value("ttl_ms", 1000));
  store.m_leases[++store.m_last_lease] = {term, Clock::now() + term};
  return {200,
          Json{{"lease", store.m_last_lease}, {"ttl_ms", term.count()}}.dump()};
}

Reply KeepLease(Store& store, std::uint64_t id) {
  const auto found = store.m_leases.find(id);
  if (found == store.m_leases.end()) return {404, "{}"};
  found->second.m_ends_at = Clock::now() + found->second.m_term;
  return {200, "{}"};
}

std::uint64_t IdOf(const std::string& path) {
  return std::stoull(path.substr(path.rfind('/') + 1));
}

Reply HandleStore(Store& store, const std::string& method,
                  const std::string& target, const std::string& text) {
  std::this_thread::sleep_for(kAnswerTime);
  Json body = Json::parse(text, nullptr, false);
  if (!body.is_object()) body = Json::object();
  const std::string path = target.substr(0, target.find('?'));
  std::unique_lock<std::mutex> lock(store.m_mutex);
  Refresh(store);
  if (path == "/daisyarch/kv-key") {
    return ReadKey(store, QueryText(target, "key"));
  }
  if (path == "/daisyarch/kv-range") {
    return ReadRange(store, QueryText(target, "prefix"),
                     QueryText(target, "after"));
  }
  if (path == "/daisyarch/kv-watch") {
    return Watch(store, lock, QueryText(target, "prefix"),
                 QueryNumber(target, "after"),
                 milliseconds(QueryNumber(target, "wait_ms")));
  }
  if (path == "/daisyarch/kv-txn") return Commit(store, body);
  if (path == "/daisyarch/kv-lease") return GrantLease(store, body);
  if (HasPrefix(path, "/daisyarch/kv-keep/")) {
    return KeepLease(store, IdOf(path));
  }
  if (HasPrefix(path, "/daisyarch/kv-lease-end/") && method == "DELETE") {
    EndLease(store, IdOf(path));
    return {};
  }
  return {404, "{}"};
}

std::string Encode(const std::string& bytes) {
  static const char kLetters[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t at = 0; at < bytes.size(); at += 3) {
    std::uint32_t group = 0;
    for (std::size_t next = at; next < at + 3; ++next) {
      group =
          group << 8 |
          (next < bytes.size() ? static_cast<unsigned char>(bytes[next]) : 0U);
    }
    for (int shift = 18; shift >= 0; shift -= 6) {
      text += kLetters[group >> shift & 63U];
    }
  }
  for (std::size_t rest = (3 - bytes.size() % 3) % 3, at = 1; at <= rest; ++at)
    text[text.size() - at] = '=';
  return text;
}

std::string DecodeBase64(const std::string& text) {
  static const std::string kLetters =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string bytes;
  std::uint32_t group = 0;
  int bits = 0;
  for (const char letter : text) {
    const auto value = kLetters.find(letter);
    if (value == std::string::npos) break;
    group = group << 6 | static_cast<std::uint32_t>(value);
    bits += 6;
    if (bits < 8) continue;
    bits -= 8;
    bytes += static_cast<char>(group >> bits & 255U);
  }
  return bytes;
}

Reply HandleControl(Store& store, const std::string&, const std::string& target,
                    const std::string& text) {
  const Json body = Json::parse(text, nullptr, false);
  if (!body.is_object()) return {400, "{}"};
  const std::unique_lock<std::mutex> lock(store.m_mutex);
  Refresh(store);
  const std::string key = body.value("key", std::string());
  if (target == "/put") {
    ++store.m_revision;
    Put(store, key, Encode(body.value("value", std::string())), 0);
  } else if (target == "/remove" && store.m_entries.count(key) > 0) {
    ++store.m_revision;
    Remove(store, key);
  } else if (target == "/silent") {
    const milliseconds period(body.value("for_ms", 0));
    store.m_silent_until = Clock::now() + period;
    for (auto& entry : store.m_leases) entry.second.m_ends_at += period;
  } else if (target == "/sum") {
    std::size_t items = 0;
    std::size_t bytes = 0;
    for (auto next = store.m_entries.lower_bound(key);
         next != store.m_entries.end() && HasPrefix(next->first, key); ++next) {
      ++items;
      bytes += next->second.m_value.size() / 4 * 3;
    }
    return {200, Json{{"items", items}, {"bytes", bytes}}.dump()};
  } else if (target == "/value") {
    const auto found = store.m_entries.find(key);
    if (found == store.m_entries.end()) return {404, "{}"};
    return {200, Json{{"value", DecodeBase64(found->second.m_value)}}.dump(
                     -1, ' ', false, Json::error_handler_t::replace)};
  }
  store.m_changed.notify_all();
  return {};
}

using Handler = Reply (*)(Store&, const std::string&, const std::string&,
                          const std::string&);

bool ReadMore(int socket, std::string& buffer) {
  char piece[65536];
  const ssize_t count = recv(socket, piece, sizeof piece, 0);
  if (count <= 0) return false;
  buffer.append(piece, static_cast<std::size_t>(count));
  return true;
}

std::size_t LengthOf(const std::string& header) {
  for (std::size_t at = 0; at < header.size();) {
    const auto end = header.find("\r\n", at);
    const std::string line = header.substr(at, end - at);
    const auto colon = line.find(':');
    if (colon == 14 && strncasecmp(line.c_str(), "content-length", 14) == 0) {
      return std::stoul(line.substr(colon + 1));
    }
    if (end == std::string::npos) break;
    at = end + 2;
  }
  return 0;
}

bool IsSilent(Store& store) {
  const std::unique_lock<std::mutex> lock(store.m_mutex);
  return Clock::now() < store.m_silent_until;
}

// A connection on which an answer was lost answers nothing any more.
void WaitForClose(int socket, std::string& buffer) {
  while (ReadMore(socket, buffer)) buffer.clear();
  close(socket);
}

void Serve(Store& store, int socket, Handler handle) {
  std::string buffer;
  while (true) {
    auto end = buffer.find("\r\n\r\n");
    while (end == std::string::npos) {
      if (!ReadMore(socket, buffer)) {
        close(socket);
        return;
      }
      end = buffer.find("\r\n\r\n");
    }
    const std::string header = buffer.substr(0, end);
    const std::size_t length = LengthOf(header);
    while (buffer.size() < end + 4 + length) {
      if (!ReadMore(socket, buffer)) {
        close(socket);
        return;
      }
    }
    const std::string body = buffer.substr(end + 4, length);
    buffer.erase(0, end + 4 + length);
    const auto space = header.find(' ');
    const std::string method = header.substr(0, space);
    const std::string target =
        header.substr(space + 1, header.find(' ', space + 1) - space - 1);
    if (handle == HandleStore && IsSilent(store)) {
      return WaitForClose(socket, buffer);
    }
    Reply reply = handle(store, method, target, body);
    if (handle == HandleStore && IsSilent(store)) {
      return WaitForClose(socket, buffer);
    }
    const std::string text =
        "HTTP/1.1 " + std::to_string(reply.m_status) +
        " -\r\nContent-Type: application/json\r\nContent-Length: " +
        std::to_string(reply.m_body.size()) + "\r\n\r\n" + reply.m_body;
    std::size_t sent = 0;
    while (sent < text.size()) {
      const ssize_t count =
          send(socket, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
      if (count <= 0) {
        close(socket);
        return;
      }
      sent += static_cast<std::size_t>(count);
    }
  }
}

int Listen(const char* name) {
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  bind(socket, reinterpret_cast<sockaddr*>(&address), sizeof address);
  listen(socket, 512);
  socklen_t size = sizeof address;
  getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size);
  std::cout << "port " << name << " " << ntohs(address.sin_port) << std::endl;
  return socket;
}

void AcceptAll(Store& store, int listener, Handler handle) {
  while (true) {
    const int socket = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (socket < 0) continue;
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    std::thread(Serve, std::ref(store), socket, handle).detach();
  }
}

}  // namespace

int main() {
  static Store store;
  const int calls = Listen("store");
  const int control = Listen("control");
  std::thread(AcceptAll, std::ref(store), control, HandleControl).detach();
  AcceptAll(store, calls, HandleStore);
}
