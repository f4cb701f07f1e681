#include "connection_report.h"

#include <map>
#include <string>

#include "base/boot_clock.h"
#include "log/log.h"

namespace daisyarch {

namespace {

constexpr Duration kLogInterval = std::chrono::seconds(1);

}  // namespace

void ReportRefusals(MemoryBudget& budget, Metrics& metrics) {
  budget.m_on_refusal = [&budget, &metrics,
                         next_lines = std::map<RefusalCause, TimePoint>()](
                            PeerKind kind, RefusalCause cause) mutable {
    metrics.IncrementCounter("refusals_total",
                             std::string("kind=\"") + ToString(kind) +
                                 "\",cause=\"" + ToString(cause) + "\"");
    TimePoint& next_line = next_lines[cause];
    const TimePoint now = BootNow();
    if (now < next_line) return;
    next_line = now + kLogInterval;
    const auto index = static_cast<std::size_t>(kind);
    LogEvent(LogLevel::kWarning, "peer_refused",
             {{"kind", ToString(kind)},
              {"cause", ToString(cause)},
              {"held_bytes", std::uint64_t{budget.m_bytes[index]}},
              {"connections", std::uint64_t{budget.m_connections[index]}}});
  };
}

void ExportBudget(const MemoryBudget& budget, Metrics& metrics) {
  for (std::size_t index = 0; index < kPeerKinds; ++index) {
    const std::string name = ToString(static_cast<PeerKind>(index));
    metrics.SetGauge("held_bytes_" + name,
                     static_cast<double>(budget.m_bytes[index]));
    metrics.SetGauge("connections_" + name,
                     static_cast<double>(budget.m_connections[index]));
  }
}

}  // namespace daisyarch
