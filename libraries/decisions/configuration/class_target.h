#pragma once

#include <cstdint>
#include <string>

#include "base/ids.h"
#include "base/time.h"

namespace daisyarch {

/// The kind of work in a class.
enum class ClassKind {
  kRequest,  ///< Answered by endpoints while a client waits.
  kBatch,    ///< Tasks that run on workers to completion.
  kWatch,    ///< Long-running tasks for which each eviction is costly.
};

const char* ToString(ClassKind kind);

/// A class of work and the target that operators set for it.
struct ClassTarget {
  ClassId m_class;
  ClassKind m_kind = ClassKind::kRequest;
  /// Time within which requests are answered or tasks start.
  Duration m_within{};
  /// The share of answers that must meet `m_within`, in percent.
  std::int64_t m_quantile_percent = 99;
  /// The share of accepted work that must finish, in percent.
  std::int64_t m_finish_percent = 99;
  /// The share of capacity guaranteed to the class while another class is
  /// overloaded, in percent.
  std::int64_t m_keep_percent = 0;
};

bool operator==(const ClassTarget& left, const ClassTarget& right);

}  // namespace daisyarch
