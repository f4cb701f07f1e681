#pragma once

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <utility>

#include "base/error.h"

namespace daisyarch {

/// A value or the error that took its place.
template <typename T>
using Result =
    boost::outcome_v2::basic_result<T, Error,
                                    boost::outcome_v2::policy::terminate>;

/// The success of a function that returns no value.
inline auto Success() { return boost::outcome_v2::success(); }

}  // namespace daisyarch

/// Passes the error of a Result<void> expression up at once.
#define TRY(...)                                             \
  do {                                                       \
    auto daisyarch_try_result = (__VA_ARGS__);               \
    if (!daisyarch_try_result) {                             \
      return std::move(daisyarch_try_result).assume_error(); \
    }                                                        \
  } while (false)

#define TRY_JOIN_INNER(left, right) left##right
#define TRY_JOIN(left, right) TRY_JOIN_INNER(left, right)
#define TRY_ASSIGN_TO(result, declaration, ...)         \
  auto result = (__VA_ARGS__);                          \
  if (!result) return std::move(result).assume_error(); \
  declaration = std::move(result).assume_value()

/// Passes the error of an expression up, or assigns its value to the
/// declaration; a statement of its own, not the body of an `if`.
#define TRY_ASSIGN(declaration, ...) \
  TRY_ASSIGN_TO(TRY_JOIN(try_result_, __LINE__), declaration, __VA_ARGS__)
