#pragma once

#include <string>
#include <vector>

namespace daisyarch {

/// Whether a figure has to stay below or above its bound.
enum class BoundKind { kNone, kAtMost, kAtLeast };

/// One measured figure.
struct BenchRow {
  std::string m_part;
  std::string m_figure;
  double m_value = 0;
  std::string m_unit;
  BoundKind m_kind = BoundKind::kNone;
  double m_bound = 0;
};

/// The figures of one run; how many seeds or events is up to `m_is_short`.
struct BenchTable {
  std::vector<BenchRow> m_rows;
  bool m_is_short = false;
};

void AddFigure(BenchTable& table, const std::string& part,
               const std::string& figure, double value,
               const std::string& unit);
void AddBounded(BenchTable& table, const std::string& part,
                const std::string& figure, double value,
                const std::string& unit, BoundKind kind, double bound);

/// Prints every row; returns how many bounds are broken.
int PrintTable(const BenchTable& table);

/// The value below which the given share of the samples lies.
double Quantile(std::vector<double> samples, double share);

/// Jain's index of fairness: 1 when all are equal.
double JainIndex(const std::vector<double>& amounts);

}  // namespace daisyarch
