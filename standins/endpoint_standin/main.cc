#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <boost/asio/steady_timer.hpp>
#include <memory>

#include "http/http_server.h"
#include "models/standin_main.h"
#include "wire/json.h"

ABSL_FLAG(std::string, listen, "127.0.0.1:7300", "address to listen on");
ABSL_FLAG(int, slots, 8, "requests that may be served at once");
ABSL_FLAG(int, service_us, 2000, "service time of a request, in microseconds");
ABSL_FLAG(bool, echo_body, true, "answer with the body of the request");

namespace daisyarch {
namespace {

/// The stand-in's counters, and the fault that a test has requested.
struct EndpointService {
  boost::asio::io_context& m_loop;
  int m_in_use = 0;
  int m_peak_in_use = 0;
  std::uint64_t m_requests = 0;
  /// Requests that arrived with all slots in use.
  std::uint64_t m_overloads = 0;
  int m_unanswered = 0;  ///< How many of the next requests get no answer.
};

HttpResponse MakeAnswer(const HttpRequest& request) {
  HttpResponse response;
  response.m_headers.emplace_back(
      "X-Request-Id", FindHeader(request.m_headers, "X-Request-Id"));
  response.m_body =
      absl::GetFlag(FLAGS_echo_body) ? request.m_body : "served\n";
  if (response.m_body.empty()) response.m_body = "served\n";
  return response;
}

HttpResponse MakeCountsResponse(const EndpointService& service) {
  const Json counts = {{"requests", service.m_requests},
                       {"most_in_use", service.m_peak_in_use},
                       {"overloads", service.m_overloads}};
  HttpResponse response;
  response.m_body = counts.dump() + "\n";
  return response;
}

void Serve(EndpointService& service, const HttpRequest& request,
           const HttpResponder& respond) {
  ++service.m_requests;
  ++service.m_in_use;
  service.m_peak_in_use = std::max(service.m_peak_in_use, service.m_in_use);
  if (service.m_in_use > absl::GetFlag(FLAGS_slots)) ++service.m_overloads;
  if (service.m_unanswered > 0) {
    --service.m_unanswered;
    --service.m_in_use;
    return;
  }
  const auto timer = std::make_shared<boost::asio::steady_timer>(
      service.m_loop, Duration(absl::GetFlag(FLAGS_service_us)));
  timer->async_wait(
      [&service, request, respond, timer](boost::system::error_code) {
        --service.m_in_use;
        respond(MakeAnswer(request));
      });
}

void Handle(EndpointService& service, const HttpRequest& request,
            const HttpResponder& respond) {
  const std::string silent = "/standin/silent/";
  if (request.m_target == "/standin/counts")
    return respond(MakeCountsResponse(service));
  if (request.m_target.rfind(silent, 0) == 0) {
    service.m_unanswered = std::stoi(request.m_target.substr(silent.size()));
    return respond(HttpResponse{});
  }
  Serve(service, request, respond);
}

int Run() {
  const auto address = ParseAddress(absl::GetFlag(FLAGS_listen));
  if (!address) {
    return ReportStandinError("endpoint_standin", address.assume_error());
  }
  boost::asio::io_context loop(1);
  EndpointService service{loop};
  const auto server = HttpServer::Create(
      loop, address.assume_value(), HttpServerLimits(),
      [&service](const HttpRequest& request, const HttpResponder& respond) {
        Handle(service, request, respond);
      });
  if (!server) {
    return ReportStandinError("endpoint_standin", server.assume_error());
  }
  return RunUntilStopped(loop);
}

}  // namespace
}  // namespace daisyarch

int main(int argument_count, char** arguments) {
  absl::SetProgramUsageMessage("endpoint_standin --listen=IP:PORT");
  absl::ParseCommandLine(argument_count, arguments);
  return daisyarch::Run();
}
