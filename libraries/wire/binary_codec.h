#pragma once

#include <cstdint>
#include <iterator>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

#include "base/quantity.h"
#include "base/result.h"
#include "base/strong_id.h"
#include "base/time.h"
#include "wire/field_codec.h"

// A compact encoding for messages between nodes of one version: the fields of
// VisitFields() in their order, without names. CBOR is for what lasts or is
// read by other versions.

namespace daisyarch {

/// Memory that the items of all lists of a message may take, without their
/// texts. An item of a few bytes can take 50 times as much.
constexpr std::size_t kMaximumItemBytes = 8UL * 1024 * 1024;

/// Appends the fields of a message to a buffer.
class BinaryWriter {
 public:
  explicit BinaryWriter(std::string& output) : m_output(output) {}

  template <typename Value>
  void operator()(const char* /*name*/, const Value& value) {
    Write(value);
  }

  template <typename Value>
  void Write(const Value& value) {
    if constexpr (std::is_enum_v<Value> || std::is_same_v<Value, bool>) {
      m_output.push_back(static_cast<char>(value));
    } else if constexpr (std::is_integral_v<Value>) {
      WriteInteger(value);
    } else {
      WriteObject(value);
    }
  }

 private:
  // Seven bits a byte, the lowest first. Negative numbers are interleaved with
  // positive ones, so that small ones are short.
  template <typename Integer>
  void WriteInteger(Integer value) {
    auto bits = static_cast<std::uint64_t>(value);
    if constexpr (std::is_signed_v<Integer>) {
      bits = (bits << 1U) ^ (value < 0 ? ~std::uint64_t{0} : 0);
    }
    constexpr std::uint64_t kContinued = 0x80;
    while (bits >= kContinued) {
      m_output.push_back(static_cast<char>(bits | kContinued));
      bits >>= 7U;
    }
    m_output.push_back(static_cast<char>(bits));
  }

  void WriteObject(const std::string& text) {
    WriteInteger(text.size());
    m_output += text;
  }
  template <typename Tag, typename Representation>
  void WriteObject(const StrongId<Tag, Representation>& id) {
    Write(id.value());
  }
  template <typename Tag>
  void WriteObject(const Quantity<Tag>& quantity) {
    Write(quantity.value());
  }
  void WriteObject(const Duration& duration) {
    Write(std::int64_t{duration.count()});
  }
  template <typename Item>
  void WriteObject(const std::vector<Item>& items) {
    WriteInteger(items.size());
    for (const Item& item : items) Write(item);
  }
  template <typename... Alternatives>
  void WriteObject(const std::variant<Alternatives...>& variant) {
    m_output.push_back(static_cast<char>(variant.index()));
    std::visit([this](const auto& alternative) { Write(alternative); },
               variant);
  }
  template <typename Message>
  void WriteObject(const Message& message) {
    // One VisitFields function serves both directions and so takes a mutable
    // message. The writer only reads the fields.
    VisitFields(*this, const_cast<Message&>(message));
  }

  std::string& m_output;
};

/// Reads the fields of a message, and keeps the name of the first malformed
/// one.
class BinaryReader {
 public:
  explicit BinaryReader(std::string_view input) : m_input(input) {}

  template <typename Value>
  void operator()(const char* name, Value& value) {
    if (!m_error.empty()) return;
    if (!Read(value) && m_error.empty()) m_error = name;
  }

  bool IsAtEnd() const { return m_input.empty(); }
  const std::string& error() const { return m_error; }

  template <typename Value>
  bool Read(Value& value) {
    if constexpr (std::is_enum_v<Value>) {
      return ReadEnum(value);
    } else if constexpr (std::is_same_v<Value, bool>) {
      std::uint8_t byte = 0;
      if (!ReadByte(byte) || byte > 1) return false;
      value = byte == 1;
      return true;
    } else if constexpr (std::is_integral_v<Value>) {
      return ReadInteger(value);
    } else {
      return ReadObject(value);
    }
  }

 private:
  bool ReadByte(std::uint8_t& byte) {
    if (m_input.empty()) return false;
    byte = static_cast<std::uint8_t>(m_input.front());
    m_input.remove_prefix(1);
    return true;
  }

  template <typename Integer>
  bool ReadInteger(Integer& value) {
    std::uint64_t bits = 0;
    if (!ReadBits(bits)) return false;
    if constexpr (std::is_signed_v<Integer>) {
      const auto wide = static_cast<std::int64_t>(bits >> 1U) ^
                        -static_cast<std::int64_t>(bits & 1U);
      value = static_cast<Integer>(wide);
      return static_cast<std::int64_t>(value) == wide;
    } else {
      value = static_cast<Integer>(bits);
      return static_cast<std::uint64_t>(value) == bits;
    }
  }

  bool ReadBits(std::uint64_t& bits) {
    constexpr unsigned kBitsPerByte = 7;
    constexpr unsigned kContinued = 0x80;
    for (unsigned shift = 0; shift < 64; shift += kBitsPerByte) {
      std::uint8_t byte = 0;
      if (!ReadByte(byte)) return false;
      const std::uint64_t part = byte & ~kContinued & 0xFFU;
      if (shift == 63 && part > 1) return false;
      bits |= part << shift;
      if ((byte & kContinued) == 0) return true;
    }
    return false;
  }

  template <typename Enum>
  bool ReadEnum(Enum& value) {
    std::uint8_t index = 0;
    if (!ReadByte(index) || index >= std::size(EnumNames<Enum>::kNames)) {
      return false;
    }
    value = static_cast<Enum>(index);
    return true;
  }

  // Every item takes a byte or more, so a larger count is malformed; without
  // this check it would reserve memory for items that never come.
  bool ReadCount(std::size_t& count) {
    return ReadInteger(count) && count <= m_input.size();
  }

  bool ReadObject(std::string& text) {
    std::size_t size = 0;
    if (!ReadCount(size)) return false;
    text.assign(m_input.substr(0, size));
    m_input.remove_prefix(size);
    return true;
  }
  template <typename Tag, typename Representation>
  bool ReadObject(StrongId<Tag, Representation>& id) {
    Representation representation{};
    if (!Read(representation)) return false;
    id = StrongId<Tag, Representation>(std::move(representation));
    return true;
  }
  template <typename Tag>
  bool ReadObject(Quantity<Tag>& quantity) {
    std::int64_t amount = 0;
    if (!Read(amount)) return false;
    quantity = Quantity<Tag>(amount);
    return true;
  }
  bool ReadObject(Duration& duration) {
    std::int64_t microseconds = 0;
    if (!Read(microseconds)) return false;
    duration = Duration(microseconds);
    return true;
  }
  template <typename Item>
  bool ReadObject(std::vector<Item>& items) {
    std::size_t count = 0;
    if (!ReadCount(count)) return false;
    if (count > m_item_room / sizeof(Item)) return false;
    m_item_room -= count * sizeof(Item);
    items.clear();
    for (; count > 0; --count) {
      Item item{};
      if (!Read(item)) return false;
      items.push_back(std::move(item));
    }
    return true;
  }
  template <typename... Alternatives>
  bool ReadObject(std::variant<Alternatives...>& variant) {
    std::uint8_t index = 0;
    return ReadByte(index) && ReadAlternative<0>(index, variant);
  }
  template <std::size_t kIndex, typename... Alternatives>
  bool ReadAlternative(std::uint8_t index,
                       std::variant<Alternatives...>& variant) {
    if constexpr (kIndex == sizeof...(Alternatives)) {
      return false;
    } else {
      if (index != kIndex) return ReadAlternative<kIndex + 1>(index, variant);
      return Read(variant.template emplace<kIndex>());
    }
  }
  template <typename Message>
  bool ReadObject(Message& message) {
    VisitFields(*this, message);
    return m_error.empty();
  }

  std::string_view m_input;
  std::size_t m_item_room = kMaximumItemBytes;
  std::string m_error;
};

}  // namespace daisyarch
