// The project's stand-in of the users' workers with the loads that they report:
// a task that serves tells its tail in milliseconds, a task that fills the
// processors that it uses. Its payload says which it is: its second part is
// ";serves,TAIL,TARGET" or ";fills,CPU,ADDED", where ADDED is what one such
// task adds to the tail of each task that serves beside it while it works
// unlimited. The figures are of the last half second: the tail is the worst in
// it.
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <cstdio>
#include <deque>
#include <map>

#include "models/standin_control.h"
#include "site_worker.h"
#include "site_workers.h"
#include "task_name.h"

ABSL_FLAG(int, workers, 6, "number of workers");
ABSL_FLAG(std::string, record, "", "file for what the workers see");
ABSL_FLAG(std::string, store, "", "control address of the store's stand-in");

namespace daisyarch {
namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(5);
constexpr Duration kFigureWindow = std::chrono::milliseconds(500);

struct Share {
  long m_tail = 0;
  long m_target = 0;
  long m_cpu = 0;
  long m_added = 0;
};

// By job, as told by the first order for it.
std::map<std::string, Share>& Shares() {
  static std::map<std::string, Share> shares;
  return shares;
}

Share ReadShare(const std::string& payload) {
  Share share;
  const auto serves = payload.find("serves,");
  const auto fills = payload.find("fills,");
  if (serves != std::string::npos) {
    std::sscanf(payload.c_str() + serves, "serves,%ld,%ld", &share.m_tail,
                &share.m_target);
  } else if (fills != std::string::npos) {
    std::sscanf(payload.c_str() + fills, "fills,%ld,%ld", &share.m_cpu,
                &share.m_added);
  }
  return share;
}

std::int64_t TailNow(const SiteWorker& worker,
                     const fleet::TaskReference& task) {
  std::int64_t tail = Shares()[task.m_job.value()].m_tail;
  for (const auto& [other, run] : worker.m_model.m_running) {
    tail += Shares()[other.m_job.value()].m_added * run.m_limit_percent / 100;
  }
  return tail;
}

/// The tails of the tasks that serve, by worker and task, in the last half
/// second.
using Tails = std::map<std::pair<std::string, fleet::TaskReference>,
                       std::deque<std::pair<TimePoint, std::int64_t>>>;

Tails& RecentTails() {
  static Tails tails;
  return tails;
}

void SampleTails(const SiteWorker& worker, TimePoint now) {
  for (const auto& [task, run] : worker.m_model.m_running) {
    if (Shares()[task.m_job.value()].m_tail == 0) continue;
    auto& samples = RecentTails()[{worker.m_name, task}];
    samples.emplace_back(now, TailNow(worker, task));
    while (samples.front().first < now - kFigureWindow) samples.pop_front();
  }
}

std::int64_t LoadOf(const SiteWorker& worker, const fleet::TaskReference& task,
                    const fleet::ModelRun& run) {
  const Share& own = Shares()[task.m_job.value()];
  if (own.m_cpu > 0) return own.m_cpu * run.m_limit_percent / 100;
  if (own.m_tail == 0) return 0;
  std::int64_t worst = TailNow(worker, task);
  for (const auto& sample : RecentTails()[{worker.m_name, task}]) {
    worst = std::max(worst, sample.second);
  }
  return worst;
}

// Records when a task's figure goes over its target and under it again, and
// when tasks that fill begin and cease to work beside those that serve.
void RecordFigures(SiteWorkers& workers, const SiteWorker& worker,
                   TimePoint now) {
  static std::map<std::string, bool> states;
  const auto record = [&](const std::string& name, bool state, const char* on,
                          const char* off) {
    bool& known = states[name + " " + on];
    if (known == state) return;
    known = state;
    workers.m_record << ToMilliseconds(now.time_since_epoch()) << " "
                     << (state ? on : off) << " " << name << std::endl;
  };
  bool does_fill = false;
  for (const auto& [task, run] : worker.m_model.m_running) {
    const Share& share = Shares()[task.m_job.value()];
    does_fill = does_fill || (share.m_cpu > 0 && run.m_limit_percent > 0);
    if (share.m_target == 0) continue;
    record(worker.m_id + " " + adapter::WriteTaskName(task),
           LoadOf(worker, task, run) > share.m_target, "over", "under");
  }
  record(worker.m_id, does_fill, "fills", "rests");
}

void WatchLoads(SiteWorker& worker) {
  fleet::FleetWorkerModel& model = worker.m_model;
  model.m_load_of = [&worker](const auto& task, const auto& run) {
    return LoadOf(worker, task, run);
  };
  const auto plan = model.m_plan_run;
  model.m_plan_run = [&worker, plan](const auto& task, RunNumber run) {
    Shares()[task.m_job.value()] = ReadShare(worker.m_payload);
    fleet::ModelRun planned = plan(task, run);
    planned.m_saves_progress = Shares()[task.m_job.value()].m_cpu > 0;
    return planned;
  };
}

void ScheduleTick(boost::asio::steady_timer& timer, SiteWorkers& workers) {
  timer.expires_after(kTickInterval);
  timer.async_wait([&timer, &workers](boost::system::error_code code) {
    if (code) return;
    Tick(workers, StandinNow());
    for (const auto& worker : workers.m_workers) {
      SampleTails(*worker, StandinNow());
      RecordFigures(workers, *worker, StandinNow());
    }
    ScheduleTick(timer, workers);
  });
}

int Run() {
  boost::asio::io_context loop(1);
  SiteWorkers workers(loop);
  const auto store = ParseAddress(absl::GetFlag(FLAGS_store));
  if (!store) return ReportStandinError("review_workers", store.assume_error());
  workers.m_store = std::make_unique<HttpClient>(loop, store.assume_value(),
                                                 HttpClientLimits());
  workers.m_record.open(absl::GetFlag(FLAGS_record));
  for (int number = 1; number <= absl::GetFlag(FLAGS_workers); ++number) {
    const auto added = AddWorker(workers, "w" + std::to_string(number));
    if (!added)
      return ReportStandinError("review_workers", added.assume_error());
    WatchLoads(*workers.m_workers.back());
  }
  const auto control =
      OpenControl(loop, [&workers](const std::string& path, const Json& body) {
        return HandleControl(workers, path, body);
      });
  if (!control)
    return ReportStandinError("review_workers", control.assume_error());
  boost::asio::steady_timer timer(loop);
  ScheduleTick(timer, workers);
  return RunUntilStopped(loop);
}

}  // namespace
}  // namespace daisyarch

int main(int argument_count, char** arguments) {
  absl::ParseCommandLine(argument_count, arguments);
  return daisyarch::Run();
}
