#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "base/result.h"

namespace daisyarch {

using Json = nlohmann::json;

/// Input nested deeper than this is rejected.
constexpr std::size_t kMaximumJsonDepth = 32;

/// Memory that the values of a document may take, without their texts. A few
/// bytes of input can take 50 times as much.
constexpr std::size_t kMaximumJsonBytes = 32UL * 1024 * 1024;

/// Parses JSON text; kInvalidArgument with the position of a syntax error.
Result<Json> ParseJson(const std::string& text, const std::string& step,
                       const std::string& peer);

/// Parses CBOR bytes; kInvalidArgument with the position of a syntax error.
Result<Json> ParseCbor(const std::string& bytes, const std::string& step,
                       const std::string& peer);

/// Returns the CBOR bytes of `value`.
std::string WriteCbor(const Json& value);

/// Returns the bytes before the `count` elements of a CBOR array.
std::string WriteCborArrayHeader(std::size_t count);

/// Returns the bytes before the `count` pairs of key and value of a CBOR map.
std::string WriteCborMapHeader(std::size_t count);

}  // namespace daisyarch
