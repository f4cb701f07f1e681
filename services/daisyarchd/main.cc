#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <malloc.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <functional>
#include <iostream>
#include <string>
#include <vector>

#include "daemon.h"
#include "log/log.h"
#include "settings/settings.h"
#include "settings/site_settings.h"
#include "settings_reload.h"
#include "site_daemon.h"

ABSL_FLAG(std::string, config, "", "YAML settings file");
ABSL_FLAG(std::string, site, "",
          "YAML settings file of a node on the users' platform");
ABSL_FLAG(bool, check_config, false, "check the settings and exit");

namespace daisyarch {
namespace {

constexpr int kExitOk = 0;
constexpr int kExitFailure = 1;
constexpr int kExitBadSettings = 2;

// Above this, memory is mapped by itself and given back when it is freed.
// Otherwise the allocator raises the bound with each large block that is freed,
// and blocks of a few hundred kilobytes fragment the heap for good.
constexpr int kMappedBytes = 512 * 1024;
constexpr int kFreeBytesKept = 1024 * 1024;

int Fail(const Error& error, int status) {
  std::cerr << "daisyarchd: " << ToString(error) << "\n";
  return status;
}

/// Runs a daemon until it has drained or the event loop ends.
template <typename Daemon, typename Settings>
int Serve(
    const Settings& settings,
    const std::function<void(boost::asio::io_context&, Daemon&)>& on_created) {
  mallopt(M_MMAP_THRESHOLD, kMappedBytes);
  mallopt(M_TRIM_THRESHOLD, kFreeBytesKept);
  StartLogging("daisyarchd");
  boost::asio::io_context loop(1);
  const auto daemon = Daemon::Create(loop, settings);
  if (!daemon) return Fail(daemon.assume_error(), kExitFailure);
  boost::asio::signal_set signals(loop, SIGTERM, SIGINT);
  signals.async_wait([&daemon](boost::system::error_code code, int) {
    if (!code) daemon.assume_value()->StartDrain();
  });
  on_created(loop, *daemon.assume_value());
  LogEvent(LogLevel::kInfo, "started", {{"node", settings.m_node.value()}});
  loop.run();
  return kExitOk;
}

template <typename Daemon, typename Settings>
int CheckAndServe(
    const Result<Settings>& settings,
    const std::function<void(boost::asio::io_context&, Daemon&)>& on_created =
        [](boost::asio::io_context&, Daemon&) {}) {
  if (!settings) return Fail(settings.assume_error(), kExitBadSettings);
  if (absl::GetFlag(FLAGS_check_config)) {
    std::cout << "the settings are valid\n";
    return kExitOk;
  }
  return Serve<Daemon>(settings.assume_value(), on_created);
}

using adapter::SiteDaemon;

int Run() {
  const std::string site = absl::GetFlag(FLAGS_site);
  if (site.empty()) {
    return CheckAndServe<Daemon>(LoadSettings(absl::GetFlag(FLAGS_config)));
  }
  return CheckAndServe<SiteDaemon, SiteSettings>(
      LoadSiteSettings(site),
      [&site](boost::asio::io_context& loop, SiteDaemon& daemon) {
        SettingsReload::Start(loop, site,
                              [&daemon](const SiteSettings& settings) {
                                daemon.Reload(settings);
                              });
      });
}

}  // namespace
}  // namespace daisyarch

int main(int argument_count, char** arguments) {
  absl::SetProgramUsageMessage(
      "daisyarchd --config=FILE|--site=FILE [--check-config]");
  // Abseil flags use underscores; --check-config is accepted as well.
  static char check_config[] = "--check_config";
  std::vector<char*> words(arguments, arguments + argument_count);
  for (char*& word : words) {
    if (std::string(word) == "--check-config") word = check_config;
  }
  absl::ParseCommandLine(argument_count, words.data());
  return daisyarch::Run();
}
