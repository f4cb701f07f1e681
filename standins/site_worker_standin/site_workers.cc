#include "site_workers.h"

#include "base/stable_hash.h"
#include "models/standin_control.h"
#include "models/step_script.h"
#include "task_name.h"
#include "worker_calls.h"

namespace daisyarch {

namespace {

using fleet::WorkerMilliseconds;

constexpr Duration kHeartbeatInterval = std::chrono::milliseconds(1500);
constexpr Duration kEntryLasts = 3 * kHeartbeatInterval;
constexpr Duration kCallTimeout = std::chrono::seconds(1);
constexpr std::int64_t kMillicores = 4000;
constexpr std::int64_t kMebibytes = 16000;

std::uint64_t UnixMs() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

void Write(SiteWorkers& workers, const SiteWorker& worker, const char* event,
           const std::string& rest) {
  workers.m_record << ToMilliseconds(StandinNow().time_since_epoch()) << " "
                   << event << " " << worker.m_id << " " << rest << std::endl;
}

std::string RunText(const fleet::TaskReference& task, RunNumber run) {
  return adapter::WriteTaskName(task) + " " + std::to_string(run.value());
}

void WriteEnd(SiteWorkers& workers, const SiteWorker& worker, const char* event,
              const fleet::EndedRun& end) {
  static constexpr const char* kNames[] = {"done",   "failed", "stopped",
                                           "lapsed", "broken", "alone"};
  Write(workers, worker, event,
        RunText(end.m_task, end.m_run) + " " +
            kNames[static_cast<std::size_t>(end.m_outcome)]);
}

fleet::ModelRun PlanRun(const SiteWorker& worker,
                        const fleet::TaskReference& task, RunNumber run) {
  constexpr std::uint64_t kAll = 100;
  constexpr Duration kForever = std::chrono::hours(10);
  const StepScript script = ReadScript(worker.m_payload, task.m_step);
  // All members of a gang draw the same.
  fleet::TaskReference drawn = task;
  if (script.m_gang_size > 0) drawn.m_index = 0;
  const std::uint64_t hash = StableHash(worker.m_payload + RunText(drawn, run));
  fleet::ModelRun plan;
  // From half the work to one and a half of it.
  const auto share = static_cast<std::int64_t>(kAll / 2 + hash / kAll % kAll);
  const Duration work =
      script.m_work == Duration::zero()
          ? kForever
          : script.m_work * share / static_cast<std::int64_t>(kAll);
  plan.m_ends_at = StandinNow() + work;
  const bool fails = hash % kAll < script.m_fail_percent;
  plan.m_outcome =
      fails ? fleet::RunOutcome::kFailed : fleet::RunOutcome::kDone;
  return plan;
}

void WatchModel(SiteWorkers& workers, SiteWorker& worker) {
  fleet::FleetWorkerModel& model = worker.m_model;
  model.m_plan_run = [&worker](const auto& task, RunNumber run) {
    return PlanRun(worker, task, run);
  };
  model.m_on_start = [&workers, &worker](const auto& task, RunNumber run) {
    Write(workers, worker, "start",
          RunText(task, run) + " " +
              std::to_string(worker.m_model.m_highest_token.value()) + " " +
              worker.m_payload);
  };
  model.m_on_end = [&workers, &worker](const fleet::EndedRun& end) {
    WriteEnd(workers, worker, "end", end);
  };
  model.m_on_acknowledged = [&workers, &worker](const fleet::EndedRun& end) {
    WriteEnd(workers, worker, "noted", end);
  };
}

void SendToStore(SiteWorkers& workers, const char* path, const Json& body) {
  HttpRequest request;
  request.m_method = "POST";
  request.m_target = path;
  request.m_body = body.dump();
  workers.m_store->Send(std::move(request), kCallTimeout,
                        [](const Result<HttpResponse>&) {});
}

void WriteEntry(SiteWorkers& workers, SiteWorker& worker, TimePoint now) {
  worker.m_next_heartbeat_at = now + kHeartbeatInterval;
  const Json entry = {
      {"service", "pool"},
      {"addr", worker.m_address},
      {"zone", worker.m_zone},
      {"version", "1"},
      {"slots", 8},
      {"state", "ready"},
      {"cold_left_ms", 0},
      {"seq", ++worker.m_heartbeats},
      {"born", worker.m_model.m_listing.m_incarnation.value()},
      {"clock_ms", ClockOf(worker.m_model, now).value()},
      {"capacity", {{"cpu", kMillicores}, {"mem_mb", kMebibytes}, {"gpu", 0}}},
      {"labels", {"plain", "rack-1"}}};
  SendToStore(workers, "/put",
              {{"key", "servers/" + worker.m_id}, {"value", entry.dump()}});
}

void Begin(SiteWorkers& workers, SiteWorker& worker, TimePoint now) {
  Restart(worker.m_model, now);
  worker.m_model.m_listing.m_incarnation = Incarnation(
      std::max(worker.m_model.m_listing.m_incarnation.value(), UnixMs()));
  worker.m_heartbeats = 0;
  Write(workers, worker, "begin", worker.m_name);
  WriteEntry(workers, worker, now);
}

void PlanRestart(SiteWorker& worker, const Json& body) {
  if (!worker.m_model.m_is_up) return;
  worker.m_ends_at =
      StandinNow() + FromMilliseconds(body.value("withhold_ms", 0));
  worker.m_next_id = body.value("id", worker.m_id);
  worker.m_down = FromMilliseconds(body.value("down_ms", 0));
  worker.m_latest_call = FromMilliseconds(body.value("late_ms", 0));
}

void End(SiteWorkers& workers, SiteWorker& worker, TimePoint now) {
  CrashProcess(worker.m_model, now);
  worker.m_polls.clear();
  for (HeldCall& call : worker.m_held_calls) call.m_respond = nullptr;
  Write(workers, worker, "gone", worker.m_name);
  worker.m_ends_at = TimePoint::max();
  worker.m_restart_at = now + worker.m_down;
}

// The first call is due at once, the last one after the longest delay.
void SpreadHeldCalls(SiteWorker& worker, TimePoint now) {
  const auto gaps = static_cast<std::int64_t>(worker.m_held_calls.size()) - 1;
  std::int64_t number = 0;
  for (HeldCall& call : worker.m_held_calls) {
    call.m_due_at =
        gaps <= 0 ? now : now + worker.m_latest_call * number++ / gaps;
  }
}

void TakeHeldCalls(SiteWorkers& workers, SiteWorker& worker, TimePoint now) {
  while (!worker.m_held_calls.empty() &&
         worker.m_held_calls.front().m_due_at <= now) {
    const HttpRequest request = worker.m_held_calls.front().m_request;
    worker.m_held_calls.pop_front();
    HandleCall(workers, worker, request, [](const HttpResponse&) {});
    const WorkerMilliseconds lease =
        worker.m_model.m_lease_until - ClockOf(worker.m_model, now);
    std::cout << ToMilliseconds(now.time_since_epoch()) << " " << worker.m_id
              << " takes " << request.m_target
              << " of its former life; its lease lasts " << lease.value()
              << " ms" << std::endl;
  }
}

void RemoveFormerEntry(SiteWorkers& workers, SiteWorker& worker) {
  SendToStore(workers, "/remove", {{"key", "servers/" + worker.m_former_id}});
  worker.m_remove_at = TimePoint::max();
}

void TickWorker(SiteWorkers& workers, SiteWorker& worker, TimePoint now) {
  if (worker.m_address.empty()) return;
  if (now >= worker.m_remove_at) RemoveFormerEntry(workers, worker);
  if (!worker.m_model.m_is_up) {
    if (now < worker.m_restart_at) return;
    if (worker.m_next_id != worker.m_id) {
      if (!worker.m_former_id.empty()) RemoveFormerEntry(workers, worker);
      worker.m_former_id = worker.m_id;
      worker.m_remove_at = now + kEntryLasts;
      worker.m_id = worker.m_next_id;
    }
    Begin(workers, worker, now);
    return SpreadHeldCalls(worker, now);
  }
  if (now >= worker.m_ends_at) return End(workers, worker, now);
  Advance(worker.m_model, now);
  TakeHeldCalls(workers, worker, now);
  AnswerPolls(worker, now);
  if (now >= worker.m_next_heartbeat_at) WriteEntry(workers, worker, now);
}

}  // namespace

Result<void> AddWorker(SiteWorkers& workers, const std::string& name) {
  auto worker = std::make_unique<SiteWorker>();
  worker->m_name = name;
  worker->m_model.m_is_up = false;
  SiteWorker& added = *worker;
  TRY_ASSIGN(
      added.m_server,
      HttpServer::Create(workers.m_loop, kAnyPort, HttpServerLimits(),
                         [&workers, &added](const HttpRequest& request,
                                            const HttpResponder& respond) {
                           HandleCall(workers, added, request, respond);
                         }));
  PrintPort(name, added.m_server->port());
  WatchModel(workers, added);
  workers.m_workers.push_back(std::move(worker));
  return Success();
}

Json HandleControl(SiteWorkers& workers, const std::string& path,
                   const Json& body) {
  for (const auto& worker : workers.m_workers) {
    if (worker->m_name != body.value("worker", std::string())) continue;
    if (path == "/restart") PlanRestart(*worker, body);
    if (path != "/begin") continue;
    worker->m_id = body.value("id", worker->m_name);
    worker->m_zone = body.value("zone", std::string("zone-a"));
    worker->m_address = body.value("address", std::string());
    worker->m_model.m_clock_rate = body.value("clock_rate", 1.0);
    Begin(workers, *worker, StandinNow());
  }
  return Json::object();
}

void Tick(SiteWorkers& workers, TimePoint now) {
  for (auto gang = workers.m_gangs.begin(); gang != workers.m_gangs.end();) {
    gang = AdvanceGang(gang->second, now) ? std::next(gang)
                                          : workers.m_gangs.erase(gang);
  }
  for (const auto& worker : workers.m_workers) {
    TickWorker(workers, *worker, now);
  }
}

}  // namespace daisyarch
