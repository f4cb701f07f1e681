#include "table.h"

#include <algorithm>
#include <sstream>

namespace daisyarch {

namespace {

std::string CellText(const Json& row, const std::string& path) {
  const Json* value = &row;
  std::istringstream names(path);
  std::string name;
  while (std::getline(names, name, '.')) {
    if (!value->is_object() || !value->contains(name)) return "-";
    value = &value->at(name);
  }
  return value->is_string() ? value->get<std::string>() : value->dump();
}

}  // namespace

std::string FormatTable(const std::vector<Column>& columns, const Json& rows) {
  std::vector<std::vector<std::string>> lines(1);
  for (const Column& column : columns) lines[0].push_back(column.m_title);
  for (const Json& row : rows) {
    std::vector<std::string> cells;
    for (const Column& column : columns) {
      cells.push_back(CellText(row, column.m_path));
    }
    lines.push_back(std::move(cells));
  }
  std::vector<std::size_t> widths(columns.size(), 0);
  for (const auto& line : lines) {
    for (std::size_t index = 0; index < line.size(); ++index) {
      widths[index] = std::max(widths[index], line[index].size());
    }
  }
  std::string text;
  for (const auto& line : lines) {
    for (std::size_t index = 0; index < line.size(); ++index) {
      text += line[index];
      const bool is_last = index + 1 == line.size();
      if (!is_last) text.append(widths[index] - line[index].size() + 2, ' ');
    }
    text += '\n';
  }
  return text;
}

}  // namespace daisyarch
