#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <boost/asio/steady_timer.hpp>

#include "fleet/store_keys.h"
#include "models/standin_control.h"
#include "site_store.h"

namespace daisyarch {
namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(4);

// The operator and the workers write and remove keys; the driver asks for the
// leader's claim.
Json HandleControl(SiteStore& store, const std::string& path,
                   const Json& body) {
  const std::string key = body.value("key", std::string());
  if (path == "/put") PutKey(store, key, body.value("value", std::string()));
  if (path == "/remove") RemoveKey(store.m_model, key);
  const auto claim = store.m_model.m_entries.find(fleet::kClaimKey);
  if (claim == store.m_model.m_entries.end()) return {{"holder", ""}};
  return {{"holder", claim->second.m_value}};
}

void ScheduleTick(boost::asio::steady_timer& timer, SiteStore& store) {
  timer.expires_after(kTickInterval);
  timer.async_wait([&timer, &store](boost::system::error_code code) {
    if (code) return;
    Tick(store, StandinNow());
    ScheduleTick(timer, store);
  });
}

int Run() {
  boost::asio::io_context loop(1);
  SiteStore store;
  const auto server = HttpServer::Create(
      loop, kAnyPort, HttpServerLimits(),
      [&store](const HttpRequest& request, const HttpResponder& respond) {
        HandleCall(store, request, respond);
      });
  if (!server) {
    return ReportStandinError("site_store_standin", server.assume_error());
  }
  PrintPort("store", server.assume_value()->port());
  const auto control =
      OpenControl(loop, [&store](const std::string& path, const Json& body) {
        return HandleControl(store, path, body);
      });
  if (!control) {
    return ReportStandinError("site_store_standin", control.assume_error());
  }
  boost::asio::steady_timer timer(loop);
  ScheduleTick(timer, store);
  return RunUntilStopped(loop);
}

}  // namespace
}  // namespace daisyarch

int main(int argument_count, char** arguments) {
  absl::SetProgramUsageMessage("site_store_standin");
  absl::ParseCommandLine(argument_count, arguments);
  return daisyarch::Run();
}
