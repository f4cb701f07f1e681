#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "base/time.h"

namespace daisyarch {

/// Counters and latency histograms of one process.
class Metrics {
 public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  /// Adds one to a counter; `labels` in the Prometheus form, or empty.
  void IncrementCounter(const std::string& name, const std::string& labels);

  /// Sets a value that can go down.
  void SetGauge(const std::string& name, double value);

  /// Adds a latency to the histogram of a class.
  void RecordLatency(const std::string& class_name, Duration latency);

  /// Everything in the Prometheus text form.
  std::string Render() const;

 private:
  struct Latency;

  std::map<std::string, std::map<std::string, std::uint64_t>> m_counters;
  std::map<std::string, double> m_values;
  std::map<std::string, std::unique_ptr<Latency>> m_latencies;
};

}  // namespace daisyarch
