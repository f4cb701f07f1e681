#pragma once

#include "base/error.h"
#include "http/http_message.h"

namespace daisyarch {

/// Returns the error as clients and operators receive it: an HTTP status and
/// a JSON object with code, step, peer and detail.
HttpResponse MakeErrorResponse(const Error& error);

/// Returns the HTTP status for an error code.
unsigned HttpStatusOf(ErrorCode code);

/// Returns whether a header is dropped when a request is forwarded: it
/// concerns one connection only, or is X-Request-Id, which this node sets.
bool IsHopByHop(const HttpHeader& header);

}  // namespace daisyarch
