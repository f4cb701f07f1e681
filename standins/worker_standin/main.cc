#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <map>

#include "http/http_server.h"
#include "models/standin_main.h"
#include "models/worker_model.h"
#include "wire/placement_fields.h"

ABSL_FLAG(std::string, listen, "127.0.0.1:7200", "address to listen on");
ABSL_FLAG(int, millicores, 60000, "processors of each worker, in millicores");
ABSL_FLAG(int, mebibytes, 256000, "memory of each worker, in mebibytes");
ABSL_FLAG(int, accelerators, 0, "number of accelerators of each worker");
ABSL_FLAG(bool, fails_everything, false,
          "fail every task as soon as it starts");

namespace daisyarch {
namespace {

/// The workers by name. One process stands in for many; a worker exists from
/// the first control message to it.
using Workers = std::map<std::string, WorkerModel>;

WorkerModel MakeWorker() {
  WorkerModel worker;
  worker.m_capacity =
      Resources{Millicores(absl::GetFlag(FLAGS_millicores)),
                Mebibytes(absl::GetFlag(FLAGS_mebibytes)),
                Accelerators(absl::GetFlag(FLAGS_accelerators))};
  worker.m_fails_everything = absl::GetFlag(FLAGS_fails_everything);
  worker.m_incarnation = Incarnation(
      static_cast<std::uint64_t>(StandinNow().time_since_epoch().count()));
  return worker;
}

HttpResponse MakeResponse(unsigned status, std::string body) {
  HttpResponse response;
  response.m_status = status;
  response.m_headers.emplace_back("Content-Type", "application/json");
  response.m_body = std::move(body);
  return response;
}

HttpResponse HandleControl(Workers& workers, const HttpRequest& request,
                           const std::string& name) {
  const auto control =
      DecodeJson<WorkerControl>(request.m_body, "read control", request.m_peer);
  if (!control)
    return MakeResponse(400, ToString(control.assume_error()) + "\n");
  const auto worker = workers.try_emplace(name, MakeWorker()).first;
  const WorkerReport report =
      ApplyControl(worker->second, control.assume_value(), StandinNow());
  return MakeResponse(200, Encode(report).dump());
}

// Returns each worker's counters and violation, for tests.
HttpResponse MakeSummaryResponse(Workers& workers) {
  Json summary = Json::object();
  for (auto& [name, worker] : workers) {
    AdvanceWorker(worker, StandinNow());
    summary[name] = {{"starts", worker.m_starts},
                     {"finishes", worker.m_finishes},
                     {"running", RunningAttempts(worker).size()},
                     {"violation", worker.m_violation}};
  }
  return MakeResponse(200, summary.dump() + "\n");
}

HttpResponse Handle(Workers& workers, const HttpRequest& request) {
  const std::string prefix = "/workers/";
  const std::string suffix = "/control";
  const std::string& target = request.m_target;
  if (target == "/summary") return MakeSummaryResponse(workers);
  const bool is_control =
      request.m_method == "POST" && target.rfind(prefix, 0) == 0 &&
      target.size() > prefix.size() + suffix.size() &&
      target.compare(target.size() - suffix.size(), suffix.size(), suffix) == 0;
  if (!is_control) return MakeResponse(404, "no such path\n");
  return HandleControl(
      workers, request,
      target.substr(prefix.size(),
                    target.size() - prefix.size() - suffix.size()));
}

int Run() {
  const auto address = ParseAddress(absl::GetFlag(FLAGS_listen));
  if (!address) {
    return ReportStandinError("worker_standin", address.assume_error());
  }
  boost::asio::io_context loop(1);
  Workers workers;
  const auto server = HttpServer::Create(
      loop, address.assume_value(), HttpServerLimits(),
      [&workers](const HttpRequest& request, const HttpResponder& respond) {
        respond(Handle(workers, request));
      });
  if (!server)
    return ReportStandinError("worker_standin", server.assume_error());
  return RunUntilStopped(loop);
}

}  // namespace
}  // namespace daisyarch

int main(int argument_count, char** arguments) {
  absl::SetProgramUsageMessage("worker_standin --listen=IP:PORT");
  absl::ParseCommandLine(argument_count, arguments);
  return daisyarch::Run();
}
