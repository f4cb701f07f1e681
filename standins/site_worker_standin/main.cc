#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <boost/asio/steady_timer.hpp>

#include "models/standin_control.h"
#include "site_workers.h"

ABSL_FLAG(int, workers, 6, "number of workers");
ABSL_FLAG(std::string, record, "", "file for what the workers see");
ABSL_FLAG(std::string, store, "", "control address of the store's stand-in");

namespace daisyarch {
namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(5);

void ScheduleTick(boost::asio::steady_timer& timer, SiteWorkers& workers) {
  timer.expires_after(kTickInterval);
  timer.async_wait([&timer, &workers](boost::system::error_code code) {
    if (code) return;
    Tick(workers, StandinNow());
    ScheduleTick(timer, workers);
  });
}

Result<void> OpenWorkers(SiteWorkers& workers) {
  TRY_ASSIGN(const Address store, ParseAddress(absl::GetFlag(FLAGS_store)));
  workers.m_store =
      std::make_unique<HttpClient>(workers.m_loop, store, HttpClientLimits());
  workers.m_record.open(absl::GetFlag(FLAGS_record));
  for (int number = 1; number <= absl::GetFlag(FLAGS_workers); ++number) {
    TRY(AddWorker(workers, "w" + std::to_string(number)));
  }
  return Success();
}

int Run() {
  boost::asio::io_context loop(1);
  SiteWorkers workers(loop);
  const auto opened = OpenWorkers(workers);
  if (!opened) {
    return ReportStandinError("site_worker_standin", opened.assume_error());
  }
  const auto control =
      OpenControl(loop, [&workers](const std::string& path, const Json& body) {
        return HandleControl(workers, path, body);
      });
  if (!control) {
    return ReportStandinError("site_worker_standin", control.assume_error());
  }
  boost::asio::steady_timer timer(loop);
  ScheduleTick(timer, workers);
  return RunUntilStopped(loop);
}

}  // namespace
}  // namespace daisyarch

int main(int argument_count, char** arguments) {
  absl::SetProgramUsageMessage(
      "site_worker_standin --workers=COUNT --record=FILE --store=IP:PORT");
  absl::ParseCommandLine(argument_count, arguments);
  return daisyarch::Run();
}
