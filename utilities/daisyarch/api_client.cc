#include "api_client.h"

#include <boost/asio/io_context.hpp>
#include <optional>
#include <utility>

#include "control_api.h"
#include "http/http_client.h"
#include "mesh/mesh_envelope.h"

namespace daisyarch {

namespace {

constexpr Duration kCallTimeout = std::chrono::seconds(15);
constexpr unsigned kStatusOk = 200;

/// Returns an empty string when the field is missing or not a string.
std::string StringField(const Json& body, const char* field) {
  const auto found = body.find(field);
  if (found == body.end() || !found->is_string()) return "";
  return found->get<std::string>();
}

Error ToError(const Json& body, const std::string& peer) {
  if (!body.is_object()) {
    return Error{ErrorCode::kInternal, "read answer", peer,
                 "response body is not a JSON object"};
  }
  return Error{ParseErrorCode(StringField(body, "code")),
               StringField(body, "step"), StringField(body, "peer"),
               StringField(body, "detail")};
}

}  // namespace

Result<Json> CallDaemon(const Address& daemon, const std::string& method,
                        const std::string& path, const std::string& body) {
  boost::asio::io_context loop(1);
  HttpClient client(loop, daemon, HttpClientLimits());
  HttpRequest request;
  request.m_method = method;
  request.m_target = kControlPrefix + path;
  request.m_body = body;
  std::optional<Result<HttpResponse>> answer;
  client.Send(std::move(request), kCallTimeout,
              [&answer, &loop](Result<HttpResponse> result) {
                answer.emplace(std::move(result));
                loop.stop();
              });
  loop.run();
  if (!*answer) return std::move(*answer).assume_error();
  const HttpResponse& response = answer->assume_value();
  TRY_ASSIGN(Json parsed,
             ParseJson(response.m_body, "read answer", ToString(daemon)));
  if (response.m_status != kStatusOk) return ToError(parsed, ToString(daemon));
  return parsed;
}

}  // namespace daisyarch
