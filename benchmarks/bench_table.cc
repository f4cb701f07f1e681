#include "bench_table.h"

#include <algorithm>
#include <cstdio>

namespace daisyarch {

namespace {

bool IsBoundBroken(const BenchRow& row) {
  if (row.m_bound_kind == BoundKind::kAtMost) return row.m_value > row.m_bound;
  if (row.m_bound_kind == BoundKind::kAtLeast) return row.m_value < row.m_bound;
  return false;
}

}  // namespace

void AddFigure(BenchTable& table, const std::string& part,
               const std::string& figure, double value,
               const std::string& unit) {
  table.m_rows.push_back(
      BenchRow{part, figure, value, unit, BoundKind::kNone, 0});
}

void AddBoundedFigure(BenchTable& table, const std::string& part,
                      const std::string& figure, double value,
                      const std::string& unit, BoundKind kind, double bound) {
  table.m_rows.push_back(BenchRow{part, figure, value, unit, kind, bound});
}

int PrintTable(const BenchTable& table) {
  int broken = 0;
  std::printf("%-12s %-58s %12s %-10s %s\n", "PART", "FIGURE", "VALUE", "UNIT",
              "BOUND");
  for (const BenchRow& row : table.m_rows) {
    std::printf("%-12s %-58s %12.3f %-10s", row.m_part.c_str(),
                row.m_figure.c_str(), row.m_value, row.m_unit.c_str());
    if (row.m_bound_kind != BoundKind::kNone) {
      const char* sign = row.m_bound_kind == BoundKind::kAtMost ? "<=" : ">=";
      std::printf(" %s %.3f %s", sign, row.m_bound,
                  IsBoundBroken(row) ? "BROKEN" : "ok");
    }
    std::printf("\n");
    if (IsBoundBroken(row)) ++broken;
  }
  return broken;
}

double Quantile(std::vector<double> samples, double share) {
  if (samples.empty()) return 0;
  std::sort(samples.begin(), samples.end());
  const auto last = static_cast<double>(samples.size() - 1);
  return samples[static_cast<std::size_t>(last * share)];
}

double JainIndex(const std::vector<double>& amounts) {
  double sum = 0;
  double squares = 0;
  for (const double amount : amounts) {
    sum += amount;
    squares += amount * amount;
  }
  if (squares == 0) return 1;
  return sum * sum / (static_cast<double>(amounts.size()) * squares);
}

}  // namespace daisyarch
