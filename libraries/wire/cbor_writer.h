#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <cstring>
#include <string>
#include <type_traits>
#include <vector>

#include "base/quantity.h"
#include "base/strong_id.h"

namespace daisyarch {

/// Encodes a flat message as the same CBOR bytes as FieldWriter and
/// WriteCbor(), without a document in between. For messages that are encoded
/// often; their fields are numbers, texts, ids, quantities and lists of these.
class CborWriter {
 public:
  CborWriter() {
    m_values.reserve(kUsualBytes);
    m_fields.reserve(kUsualFields);
  }

  template <typename Value>
  void operator()(const char* name, const Value& value) {
    const std::size_t begin = m_values.size();
    Write(value);
    m_fields.push_back({name, begin, m_values.size()});
  }

  /// See FieldWriter.
  template <typename Value>
  void Optional(const char* name, const Value& value) {
    if (!(value == Value{})) (*this)(name, value);
  }

  /// Returns the fields' map; its keys are sorted.
  std::string Take() {
    std::sort(m_fields.begin(), m_fields.end(),
              [](const Field& left, const Field& right) {
                return std::strcmp(left.m_name, right.m_name) < 0;
              });
    std::string map;
    map.reserve(m_values.size() + m_fields.size() * kUsualKeyBytes);
    WriteHeader(kMap, m_fields.size(), map);
    for (const Field& field : m_fields) {
      const std::size_t length = std::strlen(field.m_name);
      WriteHeader(kText, length, map);
      map.append(field.m_name, length);
      map.append(m_values, field.m_begin, field.m_end - field.m_begin);
    }
    return map;
  }

 private:
  /// A field's name, and where its value lies in m_values.
  struct Field {
    const char* m_name;
    std::size_t m_begin;
    std::size_t m_end;
  };

  static constexpr std::size_t kUsualBytes = 64;
  static constexpr std::size_t kUsualFields = 10;
  static constexpr std::size_t kUsualKeyBytes = 12;
  static constexpr std::uint8_t kUnsigned = 0;
  static constexpr std::uint8_t kNegative = 1;
  static constexpr std::uint8_t kText = 3;
  static constexpr std::uint8_t kArray = 4;
  static constexpr std::uint8_t kMap = 5;
  static constexpr std::uint8_t kFalse = 0xf4;
  static constexpr std::uint8_t kTrue = 0xf5;

  // Writes the count in the shortest form.
  static void WriteHeader(std::uint8_t major_type, std::uint64_t count,
                          std::string& output) {
    constexpr std::uint64_t kFirstInOneByte = 24;
    constexpr unsigned kBitsPerByte = 8;
    const auto first = static_cast<std::uint8_t>(major_type << 5U);
    if (count < kFirstInOneByte) {
      output.push_back(static_cast<char>(first + count));
      return;
    }
    std::uint8_t size_code = kFirstInOneByte;
    unsigned bits = kBitsPerByte;
    while (bits < 64 && (count >> bits) != 0) {
      ++size_code;
      bits *= 2;
    }
    output.push_back(static_cast<char>(first + size_code));
    while (bits > 0) {
      bits -= kBitsPerByte;
      output.push_back(static_cast<char>(count >> bits));
    }
  }

  template <typename Value>
  void Write(const Value& value) {
    if constexpr (std::is_same_v<Value, bool>) {
      m_values.push_back(static_cast<char>(value ? kTrue : kFalse));
    } else if constexpr (std::is_unsigned_v<Value>) {
      WriteHeader(kUnsigned, value, m_values);
    } else if constexpr (std::is_integral_v<Value>) {
      // -1 is written as 0, -2 as 1.
      const auto bits = static_cast<std::uint64_t>(value);
      WriteHeader(value < 0 ? kNegative : kUnsigned, value < 0 ? ~bits : bits,
                  m_values);
    } else {
      WriteObject(value);
    }
  }
  void WriteObject(const std::string& text) {
    WriteHeader(kText, text.size(), m_values);
    m_values += text;
  }
  template <typename Tag, typename Representation>
  void WriteObject(const StrongId<Tag, Representation>& id) {
    Write(id.value());
  }
  template <typename Tag>
  void WriteObject(const Quantity<Tag>& quantity) {
    Write(quantity.value());
  }
  template <typename Item>
  void WriteObject(const std::vector<Item>& items) {
    WriteHeader(kArray, items.size(), m_values);
    for (const Item& item : items) Write(item);
  }

  std::string m_values;
  std::vector<Field> m_fields;
};

}  // namespace daisyarch
