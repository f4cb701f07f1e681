#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

#include "base/ids.h"
#include "base/quantity.h"
#include "base/result.h"
#include "base/task_id.h"
#include "base/time.h"
#include "wire/json.h"

namespace daisyarch {

/// The encoded names of an enum's values, in the order of the enum. Specialized
/// next to the VisitFields functions.
template <typename Enum>
struct EnumNames;

/// The encoded "kind" of each alternative of a variant, in the order of the
/// variant. Specialized next to the VisitFields functions.
template <typename Variant>
struct VariantKinds;

/// Encodes a message field by field. Each message type has a function
/// VisitFields(visitor, message) that calls the visitor once per field, with
/// the field's name and value.
class FieldWriter {
 public:
  template <typename Value>
  void operator()(const char* name, const Value& value) {
    m_object[name] = Write(value);
  }

  /// Encodes a field that older records lack, unless it has its default, which
  /// a reader assumes for a missing field.
  template <typename Value>
  void Optional(const char* name, const Value& value) {
    if (!(value == Value{})) (*this)(name, value);
  }

  Json Take() { return std::move(m_object); }

  template <typename Value>
  static Json Write(const Value& value) {
    if constexpr (std::is_enum_v<Value>) {
      return EnumNames<Value>::kNames[static_cast<std::size_t>(value)];
    } else if constexpr (std::is_arithmetic_v<Value> ||
                         std::is_same_v<Value, std::string> ||
                         std::is_same_v<Value, Json>) {
      return value;
    } else {
      return WriteObject(value);
    }
  }

 private:
  template <typename Tag, typename Representation>
  static Json WriteObject(const StrongId<Tag, Representation>& id) {
    return id.value();
  }
  static Json WriteObject(const JobId& id) { return ToString(id); }
  static Json WriteObject(const TaskId& id) { return ToString(id); }
  template <typename Tag>
  static Json WriteObject(const Quantity<Tag>& quantity) {
    return quantity.value();
  }
  static Json WriteObject(const Duration& duration) { return duration.count(); }
  template <typename Item>
  static Json WriteObject(const std::vector<Item>& items) {
    Json array = Json::array();
    for (const Item& item : items) array.push_back(Write(item));
    return array;
  }
  template <typename Key, typename Item>
  static Json WriteObject(const std::map<Key, Item>& items) {
    Json object = Json::object();
    for (const auto& [key, item] : items) object[key.value()] = Write(item);
    return object;
  }
  template <typename... Alternatives>
  static Json WriteObject(const std::variant<Alternatives...>& variant) {
    using Kinds = VariantKinds<std::variant<Alternatives...>>;
    Json object = std::visit(
        [](const auto& alternative) { return Write(alternative); }, variant);
    object["kind"] = Kinds::kNames[variant.index()];
    return object;
  }
  template <typename Message>
  static Json WriteObject(const Message& message) {
    FieldWriter writer;
    writer.m_object = Json::object();
    // One VisitFields function serves both directions and so takes a mutable
    // message. The writer only reads the fields.
    VisitFields(writer, const_cast<Message&>(message));
    return writer.Take();
  }

  Json m_object;
};

/// Decodes a message field by field and keeps the first error.
class FieldReader {
 public:
  explicit FieldReader(const Json& object) : m_object(object) {}

  template <typename Value>
  void operator()(const char* name, Value& value) {
    if (!m_error.empty()) return;
    const auto field = m_object.find(name);
    if (field == m_object.end()) {
      m_error = std::string("field \"") + name + "\" is missing";
      return;
    }
    const std::string error = Read(*field, value);
    if (!error.empty()) {
      m_error = std::string("field \"") + name + "\": " + error;
    }
  }

  /// Decodes a field that older records lack; leaves `value` as it is if the
  /// field is missing.
  template <typename Value>
  void Optional(const char* name, Value& value) {
    if (m_object.find(name) != m_object.end()) (*this)(name, value);
  }

  /// Decodes `json` into `value`. Returns the error, or "" on success.
  template <typename Value>
  static std::string Read(const Json& json, Value& value) {
    if constexpr (std::is_enum_v<Value>) {
      return ReadEnum(json, value);
    } else if constexpr (std::is_same_v<Value, bool>) {
      if (!json.is_boolean()) return "expected true or false";
      value = json.get<bool>();
      return "";
    } else if constexpr (std::is_integral_v<Value>) {
      return ReadInteger(json, value);
    } else if constexpr (std::is_floating_point_v<Value>) {
      if (!json.is_number()) return "expected a number";
      value = json.get<Value>();
      return "";
    } else if constexpr (std::is_same_v<Value, std::string>) {
      if (!json.is_string()) return "expected text";
      value = json.get<std::string>();
      return "";
    } else if constexpr (std::is_same_v<Value, Json>) {
      value = json;
      return "";
    } else {
      return ReadObject(json, value);
    }
  }

 private:
  template <typename Integer>
  static std::string ReadInteger(const Json& json, Integer& value) {
    if (!json.is_number_integer()) return "expected an integer";
    if (json.is_number_unsigned()) {
      const auto wide = json.get<std::uint64_t>();
      value = static_cast<Integer>(wide);
      const bool fits = static_cast<std::uint64_t>(value) == wide &&
                        !(std::is_signed_v<Integer> && value < Integer{});
      return fits ? "" : "out of range";
    }
    const auto wide = json.get<std::int64_t>();
    value = static_cast<Integer>(wide);
    const bool fits =
        std::is_signed_v<Integer> && static_cast<std::int64_t>(value) == wide;
    return fits ? "" : "out of range";
  }
  template <typename Enum>
  static std::string ReadEnum(const Json& json, Enum& value) {
    if (!json.is_string()) return "expected a name";
    std::size_t index = 0;
    for (const char* name : EnumNames<Enum>::kNames) {
      if (json.get_ref<const std::string&>() == name) {
        value = static_cast<Enum>(index);
        return "";
      }
      ++index;
    }
    return "unknown name \"" + json.get<std::string>() + "\"";
  }
  template <typename Tag, typename Representation>
  static std::string ReadObject(const Json& json,
                                StrongId<Tag, Representation>& id) {
    Representation representation{};
    const std::string error = Read(json, representation);
    id = StrongId<Tag, Representation>(std::move(representation));
    return error;
  }
  static std::string ReadObject(const Json& json, JobId& id) {
    return ReadParsed(json, id, ParseJobId);
  }
  static std::string ReadObject(const Json& json, TaskId& id) {
    return ReadParsed(json, id, ParseTaskId);
  }
  template <typename Value>
  static std::string ReadParsed(const Json& json, Value& value,
                                Result<Value> (*parse)(const std::string&)) {
    if (!json.is_string()) return "expected text";
    auto parsed = parse(json.get_ref<const std::string&>());
    if (!parsed) return parsed.assume_error().m_detail;
    value = parsed.assume_value();
    return "";
  }
  template <typename Tag>
  static std::string ReadObject(const Json& json, Quantity<Tag>& quantity) {
    std::int64_t amount = 0;
    const std::string error = Read(json, amount);
    quantity = Quantity<Tag>(amount);
    return error;
  }
  static std::string ReadObject(const Json& json, Duration& duration) {
    std::int64_t microseconds = 0;
    const std::string error = Read(json, microseconds);
    duration = Duration(microseconds);
    return error;
  }
  template <typename Item>
  static std::string ReadObject(const Json& json, std::vector<Item>& items) {
    if (!json.is_array()) return "expected a list";
    items.clear();
    items.reserve(json.size());
    for (const Json& element : json) {
      Item item{};
      const std::string error = Read(element, item);
      if (!error.empty()) return error;
      items.push_back(std::move(item));
    }
    return "";
  }
  template <typename Key, typename Item>
  static std::string ReadObject(const Json& json, std::map<Key, Item>& items) {
    if (!json.is_object()) return "expected an object";
    items.clear();
    for (const auto& [name, element] : json.items()) {
      Item item{};
      const std::string error = Read(element, item);
      if (!error.empty()) return error;
      items.emplace(Key(name), std::move(item));
    }
    return "";
  }
  template <typename... Alternatives>
  static std::string ReadObject(const Json& json,
                                std::variant<Alternatives...>& variant) {
    using Variant = std::variant<Alternatives...>;
    if (!json.is_object()) return "expected an object";
    const auto kind = json.find("kind");
    if (kind == json.end() || !kind->is_string())
      return "field \"kind\" is missing";
    return ReadAlternative<Variant, 0>(json, kind->get<std::string>(), variant);
  }
  template <typename Variant, std::size_t kIndex>
  static std::string ReadAlternative(const Json& json, const std::string& kind,
                                     Variant& variant) {
    if constexpr (kIndex == std::variant_size_v<Variant>) {
      return "unknown kind \"" + kind + "\"";
    } else {
      if (kind != VariantKinds<Variant>::kNames[kIndex]) {
        return ReadAlternative<Variant, kIndex + 1>(json, kind, variant);
      }
      std::variant_alternative_t<kIndex, Variant> alternative{};
      const std::string error = Read(json, alternative);
      variant = std::move(alternative);
      return error;
    }
  }
  template <typename Message>
  static std::string ReadObject(const Json& json, Message& message) {
    if (!json.is_object()) return "expected an object";
    FieldReader reader(json);
    VisitFields(reader, message);
    return reader.m_error;
  }

  const Json& m_object;
  std::string m_error;
};

/// Encodes a message as a JSON document; WriteCbor() or dump() gives the bytes.
template <typename Message>
Json Encode(const Message& message) {
  return FieldWriter::Write(message);
}

/// Decodes a message; kInvalidArgument with the name of the invalid field.
template <typename Message>
Result<Message> Decode(const Json& json, const std::string& step,
                       const std::string& peer) {
  Message message{};
  const std::string error = FieldReader::Read(json, message);
  if (!error.empty()) {
    return Error{ErrorCode::kInvalidArgument, step, peer, error};
  }
  return message;
}

/// Decodes a message from CBOR bytes.
template <typename Message>
Result<Message> DecodeCbor(const std::string& bytes, const std::string& step,
                           const std::string& peer) {
  TRY_ASSIGN(const Json json, ParseCbor(bytes, step, peer));
  return Decode<Message>(json, step, peer);
}

/// Decodes a message from JSON text.
template <typename Message>
Result<Message> DecodeJson(const std::string& text, const std::string& step,
                           const std::string& peer) {
  TRY_ASSIGN(const Json json, ParseJson(text, step, peer));
  return Decode<Message>(json, step, peer);
}

}  // namespace daisyarch
