#include "client_table.h"

#include <catch2/catch.hpp>

namespace daisyarch::adapter {

namespace {

struct FakeClient {
  bool IsCalling() const { return m_is_calling; }

  bool m_is_calling = false;
};

std::shared_ptr<FakeClient> Use(ClientTable<FakeClient>& table,
                                const std::string& address, int seconds) {
  return UseClient(
      table, address, TimePoint(std::chrono::seconds(seconds)),
      [](const Address&) { return std::make_shared<FakeClient>(); });
}

}  // namespace

// Guards against a process that keeps a client for each address that workers
// have ever registered.
TEST_CASE("The client of an address that is used no longer is forgotten") {
  ClientTable<FakeClient> table;
  Use(table, "127.0.0.1:1", 1);
  Use(table, "127.0.0.1:2", 1)->m_is_calling = true;
  const auto used = Use(table, "127.0.0.1:3", 1);
  CHECK(Use(table, "127.0.0.1:3", 9) == used);
  CHECK(Use(table, "no address", 9) == nullptr);
  CHECK(table.size() == 3);
  DropUnusedClients(table, TimePoint(std::chrono::seconds(5)));
  CHECK(table.size() == 2);
  CHECK(table.count("127.0.0.1:1") == 0);
}

}  // namespace daisyarch::adapter
