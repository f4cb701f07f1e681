#pragma once

#include <string>
#include <vector>

#include "wire/json.h"

namespace daisyarch {

/// A column of a printed table.
struct Column {
  std::string m_title;
  std::string m_path;  ///< Field names in a row, separated by dots.
};

/// Formats the rows as text with aligned columns. A field that a row lacks is
/// printed as "-".
std::string FormatTable(const std::vector<Column>& columns, const Json& rows);

}  // namespace daisyarch
