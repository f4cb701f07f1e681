#pragma once

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <utility>

#include "base/error.h"

namespace daisyarch {

/// A value, or the error that prevented it.
template <typename T>
using Result =
    boost::outcome_v2::basic_result<T, Error,
                                    boost::outcome_v2::policy::terminate>;

/// Returns the successful result of a function without a value.
inline auto Success() { return boost::outcome_v2::success(); }

}  // namespace daisyarch

/// Returns the error of a Result<void> expression, if any, to the caller.
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

/// Returns the error of an expression to the caller, or assigns its value to
/// the declaration. Expands to several statements, so it can't be the body of
/// an `if`.
#define TRY_ASSIGN(declaration, ...) \
  TRY_ASSIGN_TO(TRY_JOIN(try_result_, __LINE__), declaration, __VA_ARGS__)
