#include "metrics/metrics.h"

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <sstream>

namespace daisyarch {

namespace histogram = boost::histogram;

namespace {

constexpr unsigned kLatencyBuckets = 40;
constexpr double kShortestSeconds = 0.0001;
constexpr double kLongestSeconds = 100;
constexpr double kMicrosecondsPerSecond = 1e6;

auto MakeLatencyHistogram() {
  using LogAxis =
      histogram::axis::regular<double, histogram::axis::transform::log>;
  return histogram::make_histogram(
      LogAxis(kLatencyBuckets, kShortestSeconds, kLongestSeconds));
}

}  // namespace

struct Metrics::LatencyHistogram {
  decltype(MakeLatencyHistogram()) m_histogram = MakeLatencyHistogram();
  double m_sum_seconds = 0;
  std::uint64_t m_count = 0;
};

Metrics::Metrics() = default;
Metrics::~Metrics() = default;

void Metrics::IncrementCounter(const std::string& name,
                               const std::string& labels) {
  AddToCounter(name, labels, 1);
}

void Metrics::AddToCounter(const std::string& name, const std::string& labels,
                           std::uint64_t amount) {
  m_counters[name][labels] += amount;
}

void Metrics::SetGauge(const std::string& name, double value) {
  m_gauges[name] = value;
}

void Metrics::RecordLatency(const std::string& class_name, Duration latency) {
  std::unique_ptr<LatencyHistogram>& entry = m_latencies[class_name];
  if (!entry) entry = std::make_unique<LatencyHistogram>();
  const double seconds =
      static_cast<double>(latency.count()) / kMicrosecondsPerSecond;
  entry->m_histogram(seconds);
  entry->m_sum_seconds += seconds;
  ++entry->m_count;
}

std::string Metrics::Render() const {
  std::ostringstream out;
  for (const auto& [name, series] : m_counters) {
    out << "# TYPE daisyarch_" << name << " counter\n";
    for (const auto& [labels, count] : series) {
      out << "daisyarch_" << name;
      if (!labels.empty()) out << '{' << labels << '}';
      out << ' ' << count << '\n';
    }
  }
  for (const auto& [name, value] : m_gauges) {
    out << "# TYPE daisyarch_" << name << " gauge\n";
    out << "daisyarch_" << name << ' ' << value << '\n';
  }
  if (!m_latencies.empty()) {
    out << "# TYPE daisyarch_request_seconds histogram\n";
  }
  for (const auto& [class_name, latency] : m_latencies) {
    const std::string label = "class=\"" + class_name + "\"";
    const auto& axis = latency->m_histogram.axis();
    // Prometheus buckets are cumulative. Bin -1 counts the latencies below the
    // first bucket.
    double cumulative_count = latency->m_histogram.at(-1);
    for (int bucket = 0; bucket < axis.size(); ++bucket) {
      cumulative_count += latency->m_histogram.at(bucket);
      out << "daisyarch_request_seconds_bucket{" << label << ",le=\""
          << axis.bin(bucket).upper() << "\"} " << cumulative_count << '\n';
    }
    out << "daisyarch_request_seconds_bucket{" << label << ",le=\"+Inf\"} "
        << latency->m_count << '\n';
    out << "daisyarch_request_seconds_sum{" << label << "} "
        << latency->m_sum_seconds << '\n';
    out << "daisyarch_request_seconds_count{" << label << "} "
        << latency->m_count << '\n';
  }
  return out.str();
}

}  // namespace daisyarch
