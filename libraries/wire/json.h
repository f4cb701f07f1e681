#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "base/result.h"

namespace daisyarch {

using Json = nlohmann::json;

/// Values nested deeper than this are refused.
constexpr std::size_t kMaximumJsonDepth = 32;

/// Parses JSON text; kInvalidArgument with the byte at fault.
Result<Json> ParseJson(const std::string& text, const std::string& step,
                       const std::string& peer);

/// Parses CBOR; kInvalidArgument with the byte at fault.
Result<Json> ParseCbor(const std::string& bytes, const std::string& step,
                       const std::string& peer);

std::string WriteCbor(const Json& value);

}  // namespace daisyarch
