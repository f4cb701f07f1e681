#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "base/time.h"

namespace daisyarch {

/// The counters, gauges and latency histograms of one process.
class Metrics {
 public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  /// Adds one to a counter. `labels` are Prometheus labels such as
  /// `outcome="failed"`, or empty.
  void IncrementCounter(const std::string& name, const std::string& labels);

  void AddToCounter(const std::string& name, const std::string& labels,
                    std::uint64_t amount);

  void SetGauge(const std::string& name, double value);

  /// Adds a latency to the histogram of a class.
  void RecordLatency(const std::string& class_name, Duration latency);

  /// Returns all metrics in the Prometheus text format.
  std::string Render() const;

 private:
  struct LatencyHistogram;

  std::map<std::string, std::map<std::string, std::uint64_t>> m_counters;
  std::map<std::string, double> m_gauges;
  std::map<std::string, std::unique_ptr<LatencyHistogram>> m_latencies;
};

}  // namespace daisyarch
