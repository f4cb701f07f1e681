#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <boost/asio/steady_timer.hpp>
#include <fstream>
#include <functional>
#include <sstream>

#include "http/http_server.h"
#include "models/standin_main.h"
#include "store_http.h"

ABSL_FLAG(std::string, listen, "127.0.0.1:7100", "address to listen on");
ABSL_FLAG(std::string, hosts, "", "JSON file with the host list");

namespace daisyarch {
namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(20);

std::string ReadHosts(const std::string& path) {
  if (path.empty()) return R"({"workers":[],"endpoints":[]})";
  std::ifstream stream(path);
  std::ostringstream text;
  text << stream.rdbuf();
  return text.str();
}

int Run() {
  const auto address = ParseAddress(absl::GetFlag(FLAGS_listen));
  if (!address) {
    return ReportStandinError("platform_standin", address.assume_error());
  }
  boost::asio::io_context loop(1);
  StoreService service{loop};
  service.m_hosts = ReadHosts(absl::GetFlag(FLAGS_hosts));
  const auto server = HttpServer::Create(
      loop, address.assume_value(), HttpServerLimits(),
      [&service](const HttpRequest& request, const HttpResponder& respond) {
        HandleStoreCall(service, request, respond);
      });
  if (!server) {
    return ReportStandinError("platform_standin", server.assume_error());
  }
  boost::asio::steady_timer timer(loop);
  std::function<void()> tick = [&] {
    TickStore(service, StandinNow());
    timer.expires_after(kTickInterval);
    timer.async_wait([&tick](boost::system::error_code code) {
      if (!code) tick();
    });
  };
  tick();
  return RunUntilStopped(loop);
}

}  // namespace
}  // namespace daisyarch

int main(int argument_count, char** arguments) {
  absl::SetProgramUsageMessage(
      "platform_standin --listen=IP:PORT --hosts=FILE");
  absl::ParseCommandLine(argument_count, arguments);
  return daisyarch::Run();
}
