#include "worker_calls.h"

#include "json_fields.h"
#include "models/standin_control.h"
#include "models/step_script.h"
#include "task_name.h"

namespace daisyarch {

namespace {

using adapter::IntegerAt;
using adapter::TextAt;
using fleet::FleetWorkerModel;
using fleet::StartOutcome;
using fleet::WorkerMilliseconds;

constexpr unsigned kStatusBadRequest = 400;
constexpr unsigned kStatusNotFound = 404;
constexpr unsigned kStatusConflict = 409;
constexpr unsigned kStatusOtherWorker = 421;
constexpr std::int64_t kLongestPollMs = 2000;

const char* NameOf(fleet::RunOutcome outcome) {
  static constexpr const char* kNames[] = {"done",   "failed", "stopped",
                                           "lapsed", "broken", "alone"};
  return kNames[static_cast<std::size_t>(outcome)];
}

std::uint64_t UnsignedAt(const Json& body, const char* name) {
  return static_cast<std::uint64_t>(IntegerAt(body, name));
}

Json ClockBody(const FleetWorkerModel& model) {
  return {{"clock_ms", ClockOf(model, StandinNow()).value()}};
}

HttpResponse Reject(const FleetWorkerModel& model, const char* reason) {
  Json body = ClockBody(model);
  body["reason"] = reason;
  return JsonResponse(kStatusConflict, body);
}

HttpResponse Report(const FleetWorkerModel& model, TimePoint now) {
  const fleet::WorkerReport report = ReportOf(model, now);
  Json body = ClockBody(model);
  body["born"] = report.m_incarnation.value();
  body["running"] = Json::array();
  for (const fleet::ActiveRun& run : report.m_running) {
    body["running"].push_back({adapter::WriteTaskName(run.m_task),
                               run.m_run.value(), run.m_checkpoint,
                               run.m_progress_percent, run.m_load});
  }
  body["finished"] = Json::array();
  for (const fleet::EndedRun& end : report.m_ended) {
    body["finished"].push_back(
        {end.m_number.value(), adapter::WriteTaskName(end.m_task),
         end.m_run.value(), NameOf(end.m_outcome), end.m_checkpoint});
  }
  return JsonResponse(200, body);
}

void JoinGang(SiteWorkers& workers, SiteWorker& worker,
              const fleet::StartOrder& order) {
  const StepScript script = ReadScript(order.m_payload, order.m_task.m_step);
  if (script.m_gang_size == 0) return;
  const auto run = worker.m_model.m_running.find(order.m_task);
  if (run == worker.m_model.m_running.end()) return;
  const auto [gang, is_new] = workers.m_gangs.try_emplace(
      {order.m_task.m_job.value(), order.m_task.m_occurrence,
       order.m_task.m_step, order.m_run.value()});
  if (is_new) {
    gang->second.m_run = order.m_run;
    gang->second.m_size = script.m_gang_size;
    gang->second.m_work = script.m_work;
    gang->second.m_fails = run->second.m_outcome == fleet::RunOutcome::kFailed;
    gang->second.m_began_at = StandinNow();
  }
  for (const SiteGang::Member& member : gang->second.m_members) {
    if (member.m_task == order.m_task) return;
  }
  run->second.m_ends_at = TimePoint::max();
  gang->second.m_members.push_back(
      {&worker, order.m_task, worker.m_model.m_listing.m_incarnation});
}

HttpResponse Start(SiteWorkers& workers, SiteWorker& worker, const Json& body,
                   const fleet::TaskReference& task) {
  fleet::StartOrder order;
  order.m_task = task;
  order.m_run = RunNumber(UnsignedAt(body, "run"));
  order.m_token = FencingToken(UnsignedAt(body, "fence"));
  order.m_lease_until = WorkerMilliseconds(IntegerAt(body, "deadline_ms"));
  order.m_payload = TextAt(body, "spec");
  order.m_checkpoint = TextAt(body, "checkpoint");
  FleetWorkerModel& model = worker.m_model;
  if (order.m_token < model.m_highest_token) return Reject(model, "fence");
  worker.m_payload = order.m_payload;
  if (Receive(model, order, StandinNow()) != StartOutcome::kStarted) {
    return Reject(model, "old");
  }
  JoinGang(workers, worker, order);
  return JsonResponse(200, ClockBody(model));
}

HttpResponse Stop(FleetWorkerModel& model, const Json& body,
                  const fleet::TaskReference& task) {
  fleet::StopOrder order;
  order.m_task = task;
  order.m_run = RunNumber(UnsignedAt(body, "run"));
  order.m_token = FencingToken(UnsignedAt(body, "fence"));
  if (!Receive(model, order, StandinNow())) return Reject(model, "fence");
  return JsonResponse(200, ClockBody(model));
}

HttpResponse Throttle(FleetWorkerModel& model, const Json& body,
                      const fleet::TaskReference& task) {
  fleet::ThrottleOrder order;
  order.m_task = task;
  order.m_run = RunNumber(UnsignedAt(body, "run"));
  order.m_token = FencingToken(UnsignedAt(body, "fence"));
  order.m_percent = static_cast<std::uint8_t>(UnsignedAt(body, "percent"));
  if (!Receive(model, order, StandinNow())) return Reject(model, "fence");
  return JsonResponse(200, ClockBody(model));
}

void Poll(SiteWorker& worker, const Json& body, const HttpResponder& respond) {
  const TimePoint now = StandinNow();
  fleet::PollOrder order;
  order.m_token = FencingToken(UnsignedAt(body, "fence"));
  order.m_acknowledged = OutcomeNumber(UnsignedAt(body, "ack_cursor"));
  order.m_has_lease = body.contains("deadline_ms");
  order.m_lease_until = WorkerMilliseconds(IntegerAt(body, "deadline_ms"));
  if (!Receive(worker.m_model, order, now)) {
    return respond(Reject(worker.m_model, "fence"));
  }
  const std::int64_t wait =
      std::min(IntegerAt(body, "wait_ms"), kLongestPollMs);
  worker.m_polls.push_back({now + FromMilliseconds(wait), respond});
  AnswerPolls(worker, now);
}

}  // namespace

void HandleCall(SiteWorkers& workers, SiteWorker& worker,
                const HttpRequest& request, const HttpResponder& respond) {
  // Dropping the responder closes the connection.
  if (worker.m_address.empty() || !worker.m_model.m_is_up) return;
  if (worker.m_ends_at != TimePoint::max()) {
    worker.m_held_calls.push_back({request, respond, TimePoint::max()});
    return;
  }
  const std::string expected =
      FindHeader(request.m_headers, "X-Expect-Instance");
  if (!expected.empty() && expected != worker.m_id) {
    return respond(JsonResponse(kStatusOtherWorker, Json::object()));
  }
  const Json body = Json::parse(request.m_body, nullptr, false);
  if (!body.is_object()) {
    return respond(JsonResponse(kStatusBadRequest, Json::object()));
  }
  if (request.m_target == "/daisyarch/hold") return Poll(worker, body, respond);
  const auto task = adapter::ReadTaskName(TextAt(body, "task"));
  if (!task) return respond(JsonResponse(kStatusBadRequest, Json::object()));
  if (request.m_target == "/daisyarch/run-start") {
    // A lease that is over ends its runs before another worker starts them,
    // however late this process gets to it.
    for (const auto& other : workers.m_workers) {
      Advance(other->m_model, StandinNow());
    }
    return respond(Start(workers, worker, body, *task));
  }
  if (request.m_target == "/daisyarch/run-stop") {
    return respond(Stop(worker.m_model, body, *task));
  }
  if (request.m_target == "/daisyarch/pace") {
    return respond(Throttle(worker.m_model, body, *task));
  }
  respond(JsonResponse(kStatusNotFound, Json::object()));
}

void AnswerPolls(SiteWorker& worker, TimePoint now) {
  if (!worker.m_model.m_is_up) return worker.m_polls.clear();
  // The next polls of a worker that is about to end are held.
  const bool is_answered =
      !worker.m_model.m_ended.empty() || worker.m_ends_at != TimePoint::max();
  for (auto poll = worker.m_polls.begin(); poll != worker.m_polls.end();) {
    if (!is_answered && now < poll->m_until) {
      ++poll;
      continue;
    }
    poll->m_respond(Report(worker.m_model, now));
    poll = worker.m_polls.erase(poll);
  }
}

}  // namespace daisyarch
