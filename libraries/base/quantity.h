#pragma once

#include <cstdint>
#include <ostream>

namespace daisyarch {

/// An amount in one unit; the tag makes each unit a type of its own.
template <typename Tag>
class Quantity {
 public:
  constexpr Quantity() = default;
  constexpr explicit Quantity(std::int64_t value) : m_value(value) {}

  constexpr std::int64_t value() const { return m_value; }

  constexpr Quantity& operator+=(Quantity other) {
    m_value += other.m_value;
    return *this;
  }
  constexpr Quantity& operator-=(Quantity other) {
    m_value -= other.m_value;
    return *this;
  }
  friend constexpr Quantity operator+(Quantity left, Quantity right) {
    return Quantity(left.m_value + right.m_value);
  }
  friend constexpr Quantity operator-(Quantity left, Quantity right) {
    return Quantity(left.m_value - right.m_value);
  }
  friend constexpr Quantity operator*(Quantity left, std::int64_t factor) {
    return Quantity(left.m_value * factor);
  }
  friend constexpr bool operator==(Quantity left, Quantity right) {
    return left.m_value == right.m_value;
  }
  friend constexpr bool operator!=(Quantity left, Quantity right) {
    return left.m_value != right.m_value;
  }
  friend constexpr bool operator<(Quantity left, Quantity right) {
    return left.m_value < right.m_value;
  }
  friend constexpr bool operator<=(Quantity left, Quantity right) {
    return left.m_value <= right.m_value;
  }
  friend constexpr bool operator>(Quantity left, Quantity right) {
    return left.m_value > right.m_value;
  }
  friend constexpr bool operator>=(Quantity left, Quantity right) {
    return left.m_value >= right.m_value;
  }
  friend std::ostream& operator<<(std::ostream& stream, Quantity quantity) {
    return stream << quantity.m_value;
  }

 private:
  std::int64_t m_value = 0;
};

/// Thousandths of a processor core.
using Millicores = Quantity<struct MillicoresTag>;
/// Memory in mebibytes (2^20 bytes).
using Mebibytes = Quantity<struct MebibytesTag>;
/// Whole accelerators.
using Accelerators = Quantity<struct AcceleratorsTag>;
/// Requests that an endpoint can serve at the same time.
using Slots = Quantity<struct SlotsTag>;

}  // namespace daisyarch
