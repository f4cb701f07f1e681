#include "error_response.h"

#include <strings.h>

#include "wire/json.h"

namespace daisyarch {

unsigned HttpStatusOf(ErrorCode code) {
  switch (code) {
    case ErrorCode::kInvalidArgument:
      return 400;
    case ErrorCode::kNotFound:
      return 404;
    case ErrorCode::kConflict:
      return 409;
    case ErrorCode::kNotRun:
    case ErrorCode::kUnavailable:
    case ErrorCode::kNotOwner:
      return 503;
    case ErrorCode::kOutcomeUnknown:
      return 504;
    case ErrorCode::kInternal:
      return 500;
  }
  return 500;
}

HttpResponse MakeErrorResponse(const Error& error) {
  HttpResponse response;
  response.m_status = HttpStatusOf(error.m_code);
  response.m_headers.emplace_back("Content-Type", "application/json");
  const Json body = {{"code", ToString(error.m_code)},
                     {"step", error.m_step},
                     {"peer", error.m_peer},
                     {"detail", error.m_detail}};
  // Text received from others may not be valid UTF-8; invalid bytes are
  // replaced.
  response.m_body =
      body.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n";
  return response;
}

bool IsHopByHop(const HttpHeader& header) {
  for (const char* name :
       {"Connection", "Host", "Content-Length", "Transfer-Encoding",
        "Keep-Alive", "Expect", "X-Request-Id"}) {
    if (strcasecmp(header.first.c_str(), name) == 0) return true;
  }
  return false;
}

}  // namespace daisyarch
