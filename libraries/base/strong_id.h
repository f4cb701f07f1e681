#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace daisyarch {

/// An identifier; the tag makes each kind of identifier a type of its own.
template <typename Tag, typename Representation>
class StrongId {
 public:
  StrongId() = default;
  explicit StrongId(Representation value) : m_value(std::move(value)) {}

  const Representation& value() const { return m_value; }

  friend bool operator==(const StrongId& left, const StrongId& right) {
    return left.m_value == right.m_value;
  }
  friend bool operator!=(const StrongId& left, const StrongId& right) {
    return left.m_value != right.m_value;
  }
  friend bool operator<(const StrongId& left, const StrongId& right) {
    return left.m_value < right.m_value;
  }
  friend bool operator<=(const StrongId& left, const StrongId& right) {
    return !(right < left);
  }
  friend bool operator>(const StrongId& left, const StrongId& right) {
    return right < left;
  }
  friend bool operator>=(const StrongId& left, const StrongId& right) {
    return !(left < right);
  }
  friend std::ostream& operator<<(std::ostream& stream, const StrongId& id) {
    return stream << id.m_value;
  }

 private:
  Representation m_value{};
};

/// Returns the identifier that follows `id`; for counters such as epochs.
template <typename Tag>
StrongId<Tag, std::uint64_t> Next(const StrongId<Tag, std::uint64_t>& id) {
  return StrongId<Tag, std::uint64_t>(id.value() + 1);
}

}  // namespace daisyarch

namespace std {
template <typename Tag, typename Representation>
struct hash<daisyarch::StrongId<Tag, Representation>> {
  size_t operator()(
      const daisyarch::StrongId<Tag, Representation>& id) const noexcept {
    return hash<Representation>()(id.value());
  }
};
}  // namespace std
