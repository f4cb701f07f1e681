#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <boost/asio/steady_timer.hpp>

#include "fleet/store_keys.h"
#include "models/standin_control.h"
#include "site_store.h"
#include "store_view.h"

ABSL_FLAG(int, views, 0, "ports at which nodes see links of their own");

namespace daisyarch {
namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(4);

// The views and their servers, by the name of their port.
struct Views {
  std::map<std::string, StoreView> m_views;
  std::vector<std::unique_ptr<HttpServer>> m_servers;
};

Result<void> OpenViews(boost::asio::io_context& loop, SiteStore& store,
                       Views& views) {
  for (int number = 1; number <= absl::GetFlag(FLAGS_views); ++number) {
    const std::string name = "view" + std::to_string(number);
    const StoreView& view = views.m_views[name];
    TRY_ASSIGN(auto server,
               HttpServer::Create(
                   loop, kAnyPort, HttpServerLimits(),
                   [&store, &view](const HttpRequest& request,
                                   const HttpResponder& respond) {
                     HandleCall(store, ToStore(view, request),
                                [&view, respond](HttpResponse response) {
                                  respond(FromStore(view, std::move(response)));
                                });
                   }));
    PrintPort(name, server->port());
    views.m_servers.push_back(std::move(server));
  }
  return Success();
}

// The operator and the workers write and remove keys; the driver names the
// links of a view and asks for the leader's claim.
Json HandleControl(SiteStore& store, Views& views, const std::string& path,
                   const Json& body) {
  if (path == "/links") {
    StoreView& view = views.m_views[body.value("view", std::string())];
    for (const auto& [worker, link] : body["links"].items()) {
      AddLink(view, worker, link.get<std::string>());
    }
  }
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
  Views views;
  const auto opened = OpenViews(loop, store, views);
  if (!opened) {
    return ReportStandinError("site_store_standin", opened.assume_error());
  }
  const auto control = OpenControl(
      loop, [&store, &views](const std::string& path, const Json& body) {
        return HandleControl(store, views, path, body);
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
