#pragma once

#include <string>
#include <vector>

#include "wire/json.h"

namespace daisyarch {

/// A column: its title, and the path of its field in each row, with dots
/// between the names.
struct Column {
  std::string m_title;
  std::string m_path;
};

/// Rows as a table for people.
std::string FormatTable(const std::vector<Column>& columns, const Json& rows);

}  // namespace daisyarch
