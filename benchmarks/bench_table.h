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
  BoundKind m_bound_kind = BoundKind::kNone;
  double m_bound = 0;
};

/// The figures of one run of the benchmarks.
struct BenchTable {
  std::vector<BenchRow> m_rows;
  bool m_is_short = false;  ///< Use fewer seeds, sizes and events.
};

void AddFigure(BenchTable& table, const std::string& part,
               const std::string& figure, double value,
               const std::string& unit);
void AddBoundedFigure(BenchTable& table, const std::string& part,
                      const std::string& figure, double value,
                      const std::string& unit, BoundKind kind, double bound);

/// Prints all rows and returns the number of broken bounds.
int PrintTable(const BenchTable& table);

/// Returns the value below which the given share of the samples lies, or 0 when
/// there are none.
double Quantile(std::vector<double> samples, double share);

/// Returns Jain's fairness index: 1 when all amounts are equal.
double JainIndex(const std::vector<double>& amounts);

}  // namespace daisyarch
