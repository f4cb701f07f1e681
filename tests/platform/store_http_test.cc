#include "store_http.h"

#include <absl/strings/escaping.h>

#include <catch2/catch.hpp>
#include <deque>

#include "http/http_server.h"

namespace daisyarch::adapter {

namespace {

namespace asio = boost::asio;

constexpr Duration kTimeout = std::chrono::minutes(1);
// Far above the number of pages of any test.
constexpr std::size_t kMaximumCalls = 20;

/// A store that answers its calls with given bodies, and the last body again
/// once there is no other.
struct FakeStore {
  explicit FakeStore(std::deque<std::string> bodies)
      : m_bodies(std::move(bodies)),
        m_server(HttpServer::Create(m_loop, Address{"127.0.0.1", 0}, {},
                                    [this](HttpRequest request, auto respond) {
                                      m_targets.push_back(request.m_target);
                                      m_sent.push_back(request.m_body);
                                      HttpResponse response;
                                      response.m_status =
                                          m_targets.size() > kMaximumCalls
                                              ? 503
                                              : 200;
                                      response.m_body = m_bodies.front();
                                      if (m_bodies.size() > 1)
                                        m_bodies.pop_front();
                                      respond(std::move(response));
                                    })
                     .assume_value()),
        m_store(MakeHttpStore(m_loop, Address{"127.0.0.1", m_server->port()})) {
  }

  asio::io_context m_loop;
  std::deque<std::string> m_bodies;
  std::vector<std::string> m_targets;
  std::vector<std::string> m_sent;  ///< The bodies of the calls.
  std::unique_ptr<HttpServer> m_server;
  Store m_store;
};

std::string Item(const std::string& key, const std::string& value) {
  return "{\"key\":\"" + key + "\",\"value\":\"" + absl::Base64Escape(value) +
         "\",\"rev\":7,\"created\":7,\"lease\":0}";
}

std::string Page(const std::string& items, bool has_more) {
  return "{\"as_of\":9,\"items\":[" + items +
         "],\"has_more\":" + (has_more ? "true" : "false") + "}";
}

Result<StoreListing> List(FakeStore& fake) {
  std::optional<Result<StoreListing>> answer;
  fake.m_store.m_list("servers/", kTimeout, [&](Result<StoreListing> result) {
    answer = std::move(result);
  });
  while (!answer) fake.m_loop.run_one();
  return std::move(*answer);
}

std::vector<std::string> KeysOf(const StoreListing& listing) {
  std::vector<std::string> keys;
  for (const StoredItem& item : listing.m_items) keys.push_back(item.m_key);
  return keys;
}

using Keys = std::vector<std::string>;

}  // namespace

// Guards against one odd item that hides the others of its page, or whose
// missing key ends the process where the prefix is taken off.
TEST_CASE("An odd item of a listing page hides no other item") {
  const std::string nested(100'000, '[');
  for (const std::string& odd :
       {std::string("7"), std::string("null"), std::string("[]"),
        std::string("{}"), std::string("\"text\""),
        std::string(R"({"key":7,"value":"","rev":7})"),
        std::string(R"({"value":"","rev":7})"),
        std::string(R"({"key":"","value":"","rev":7})"),
        std::string(R"({"key":"other/w","value":"","rev":7})"),
        std::string(R"({"key":"serv","value":"","rev":7})")}) {
    INFO(odd);
    FakeStore fake({Page(Item("servers/a", "1") + "," + odd, true),
                    Page(odd + "," + Item("servers/b", "2"), false)});
    const auto listing = List(fake);
    REQUIRE(listing);
    CHECK(KeysOf(listing.assume_value()) == Keys{"servers/a", "servers/b"});
    CHECK(fake.m_targets.size() == 2);
    CHECK(fake.m_targets.back() ==
          "/daisyarch/kv-range?prefix=servers/&after=servers/a");
  }
  for (const std::string& odd :
       {std::string(R"({"key":"servers/o","value":"%%","rev":7})"),
        std::string(R"({"key":"servers/o","value":7,"rev":"7"})"),
        std::string(R"({"key":"servers/o","rev":-7})"),
        std::string(R"({"key":"servers/o","rev":18446744073709551615})"),
        Item("servers/o", nested), Item("servers/o", "\xff\xfe")}) {
    INFO(odd.substr(0, 400));
    FakeStore fake(
        {Page(Item("servers/a", "1") + "," + odd + "," + Item("servers/p", "2"),
              false)});
    const auto listing = List(fake);
    REQUIRE(listing);
    CHECK(KeysOf(listing.assume_value()) ==
          Keys{"servers/a", "servers/o", "servers/p"});
    CHECK(listing.assume_value().m_items[2].m_value == "2");
  }
}

// Guards against a listing that ends early without an error, and against one
// that reads the same page without end.
TEST_CASE("A listing whose pages make no progress is an error") {
  for (const std::string& page :
       {Page("", true), Page("7", true), Page(Item("other/w", "1"), true),
        Page(R"({"value":"","rev":7})", true),
        Page(Item("servers/a", "1"), true)}) {
    INFO(page);
    FakeStore fake({page});
    const auto listing = List(fake);
    REQUIRE_FALSE(listing);
    CHECK(listing.assume_error().m_code == ErrorCode::kInvalidArgument);
    CHECK(fake.m_targets.size() <= 2);
  }
}

TEST_CASE("A change without a readable key is left out of a watch's answer") {
  FakeStore fake({R"({"as_of":9,"events":[7,{"rev":8,"value":"MQ=="},)"
                  R"({"key":7,"rev":8,"tombstone":true},)"
                  R"({"key":"other/w","rev":8,"value":"MQ=="},)"
                  R"({"key":"servers/a","rev":8,"value":"MQ=="},)"
                  R"({"key":"servers/b","rev":9,"tombstone":true}]})"});
  std::optional<Result<StoreChanges>> answer;
  fake.m_store.m_watch(
      "servers/", StoreRevision(7), std::chrono::seconds(1),
      [&](Result<StoreChanges> result) { answer = std::move(result); });
  while (!answer) fake.m_loop.run_one();
  REQUIRE(*answer);
  const auto& changes = answer->assume_value().m_changes;
  REQUIRE(changes.size() == 2);
  CHECK(changes[0].m_key == "servers/a");
  CHECK(changes[0].m_value == "1");
  CHECK(changes[1].m_key == "servers/b");
  CHECK_FALSE(changes[1].m_value.has_value());
}

TEST_CASE("A transaction is sent with all bytes of its values") {
  std::string bytes;
  for (int byte = 0; byte < 256; ++byte) bytes += static_cast<char>(byte);
  StoreTransaction transaction;
  transaction.m_expectations.push_back({"claim", StoreRevision(3)});
  transaction.m_puts.push_back({"odd \"key\"", bytes, StoreLeaseId(5)});
  transaction.m_puts.push_back({"empty", "", StoreLeaseId()});
  transaction.m_puts.push_back({"one", "1", StoreLeaseId()});
  transaction.m_removals.push_back("gone");
  FakeStore fake({R"({"rev":9})"});
  std::optional<Result<TransactionResult>> answer;
  fake.m_store.m_commit(transaction, [&](Result<TransactionResult> result) {
    answer = std::move(result);
  });
  while (!answer) fake.m_loop.run_one();
  REQUIRE(*answer);
  CHECK(answer->assume_value().m_revision == StoreRevision(9));
  REQUIRE(fake.m_sent.size() == 1);
  CHECK(fake.m_sent.front() ==
        R"({"expect":[{"key":"claim","rev":3}],"puts":[)"
        R"({"key":"odd \"key\"","value":")" +
            absl::Base64Escape(bytes) +
            R"(","lease":5},{"key":"empty","value":""},)"
            R"({"key":"one","value":"MQ=="}],"remove":["gone"]})");
}

}  // namespace daisyarch::adapter
