#include "wire/json.h"

#include <vector>

namespace daisyarch {

namespace {

// A list that grows has room for up to twice its values.
constexpr std::size_t kValueBytes = 2 * sizeof(Json);
// Of the entry of a map, beside the value, and of an empty map or list.
constexpr std::size_t kMemberBytes = 96;
constexpr std::size_t kContainerBytes = 48;

// Checks the nesting depth and the size. The library's CBOR reader recurses, so
// deeply nested input from an attacker has to be rejected before a document is
// built.
struct DocumentCheck {
  std::size_t m_depth = 0;
  std::size_t m_bytes = 0;
  std::string m_error;

  bool null() { return Add(kValueBytes); }
  bool boolean(bool /*value*/) { return Add(kValueBytes); }
  bool number_integer(Json::number_integer_t /*value*/) {
    return Add(kValueBytes);
  }
  bool number_unsigned(Json::number_unsigned_t /*value*/) {
    return Add(kValueBytes);
  }
  bool number_float(Json::number_float_t /*value*/,
                    const Json::string_t& /*text*/) {
    return Add(kValueBytes);
  }
  bool string(Json::string_t& /*value*/) {
    return Add(kValueBytes + sizeof(std::string));
  }
  bool binary(Json::binary_t& /*value*/) {
    return Add(kValueBytes + sizeof(Json::binary_t));
  }
  bool key(Json::string_t& /*value*/) { return Add(kMemberBytes); }
  bool start_object(std::size_t /*size*/) { return Enter(); }
  bool end_object() { return Leave(); }
  bool start_array(std::size_t /*size*/) { return Enter(); }
  bool end_array() { return Leave(); }
  bool parse_error(std::size_t /*position*/, const std::string& /*token*/,
                   const nlohmann::detail::exception& exception) {
    m_error = exception.what();
    return false;
  }

  bool Add(std::size_t bytes) {
    m_bytes += bytes;
    if (m_bytes <= kMaximumJsonBytes) return true;
    m_error = "too many values";
    return false;
  }
  bool Enter() {
    if (!Add(kValueBytes + kContainerBytes)) return false;
    if (++m_depth <= kMaximumJsonDepth) return true;
    m_error = "nested deeper than " + std::to_string(kMaximumJsonDepth);
    return false;
  }
  bool Leave() {
    --m_depth;
    return true;
  }
};

Result<Json> Parse(const std::string& input, const std::string& step,
                   const std::string& peer, Json::input_format_t format) {
  DocumentCheck check;
  if (!Json::sax_parse(input, &check, format)) {
    return Error{ErrorCode::kInvalidArgument, step, peer, check.m_error};
  }
  constexpr bool kStrict = true;
  constexpr bool kExceptions = false;
  Json value = format == Json::input_format_t::cbor
                   ? Json::from_cbor(input, kStrict, kExceptions)
                   : Json::parse(input, nullptr, kExceptions);
  if (value.is_discarded()) {
    return Error{ErrorCode::kInvalidArgument, step, peer, "malformed"};
  }
  return value;
}

}  // namespace

Result<Json> ParseJson(const std::string& text, const std::string& step,
                       const std::string& peer) {
  return Parse(text, step, peer, Json::input_format_t::json);
}

Result<Json> ParseCbor(const std::string& bytes, const std::string& step,
                       const std::string& peer) {
  return Parse(bytes, step, peer, Json::input_format_t::cbor);
}

namespace {

constexpr std::uint8_t kCborArray = 4;
constexpr std::uint8_t kCborMap = 5;

// Writes the count in the shortest form, as the library does.
std::string WriteCborHeader(std::uint8_t major_type, std::uint64_t count) {
  constexpr std::uint64_t kFirstInOneByte = 24;
  constexpr unsigned kBitsPerByte = 8;
  const auto first = static_cast<std::uint8_t>(major_type << 5U);
  if (count < kFirstInOneByte) {
    return std::string(1, static_cast<char>(first + count));
  }
  std::uint8_t size_code = kFirstInOneByte;
  unsigned bits = kBitsPerByte;
  while (bits < 64 && (count >> bits) != 0) {
    ++size_code;
    bits *= 2;
  }
  std::string header(1, static_cast<char>(first + size_code));
  while (bits > 0) {
    bits -= kBitsPerByte;
    header += static_cast<char>(count >> bits);
  }
  return header;
}

}  // namespace

std::string WriteCborArrayHeader(std::size_t count) {
  return WriteCborHeader(kCborArray, count);
}

std::string WriteCborMapHeader(std::size_t count) {
  return WriteCborHeader(kCborMap, count);
}

std::string WriteCbor(const Json& value) {
  const std::vector<std::uint8_t> bytes = Json::to_cbor(value);
  return std::string(bytes.begin(), bytes.end());
}

}  // namespace daisyarch
