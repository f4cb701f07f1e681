#pragma once

#include <cstdint>
#include <string>

#include "base/ids.h"
#include "base/time.h"

namespace daisyarch {

/// What kind of work a class holds.
enum class ClassKind {
  kRequest,  ///< Answered by endpoints while a caller waits.
  kBatch,    ///< Tasks that run on workers to their end.
  kWatch,    ///< Tasks that run long and suffer from each eviction.
};

const char* ToString(ClassKind kind);

/// A class of work and the target that operators give it.
struct ClassTarget {
  ClassId m_class;
  ClassKind m_kind = ClassKind::kRequest;
  /// Answers come, or tasks start, within this time.
  Duration m_within{};
  /// The share of answers that must meet `m_within`, in percent.
  std::int64_t m_quantile_percent = 99;
  /// The share of accepted work that must finish, in percent.
  std::int64_t m_finish_percent = 99;
  /// The share of capacity kept while another class floods in, in percent.
  std::int64_t m_keep_percent = 0;
};

bool operator==(const ClassTarget& left, const ClassTarget& right);

}  // namespace daisyarch
