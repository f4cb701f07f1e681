#include "worker_http.h"

#include <utility>

#include "wire/placement_fields.h"

namespace daisyarch {

namespace {
constexpr unsigned kStatusOk = 200;
}  // namespace

void ExchangeOverHttp(HttpClient& client, const WorkerId& worker,
                      const WorkerControl& control, Duration timeout,
                      std::function<void(Result<WorkerReport>)> on_answer) {
  HttpRequest request;
  request.m_method = "POST";
  request.m_target = "/workers/" + worker.value() + "/control";
  request.m_headers.emplace_back("Content-Type", "application/json");
  request.m_body = Encode(control).dump();
  client.Send(
      std::move(request), timeout,
      [worker, on_answer = std::move(on_answer)](Result<HttpResponse> result) {
        if (!result) return on_answer(std::move(result).assume_error());
        const HttpResponse& response = result.assume_value();
        if (response.m_status != kStatusOk) {
          return on_answer(
              Error{ErrorCode::kInternal, "control worker", worker.value(),
                    "HTTP status " + std::to_string(response.m_status)});
        }
        on_answer(DecodeJson<WorkerReport>(
            response.m_body, "read worker report", worker.value()));
      });
}

}  // namespace daisyarch
