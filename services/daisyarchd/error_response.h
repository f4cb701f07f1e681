#pragma once

#include "base/error.h"
#include "http/http_message.h"

namespace daisyarch {

/// An error as a caller or operator receives it: a status, and a JSON object
/// with code, step, peer and detail.
HttpResponse MakeErrorResponse(const Error& error);

/// The HTTP status that stands for a code.
unsigned HttpStatusOf(ErrorCode code);

/// True for a header that concerns one connection and is not passed on.
bool IsHopByHop(const HttpHeader& header);

}  // namespace daisyarch
