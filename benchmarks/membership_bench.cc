#include "membership_bench.h"

#include <algorithm>

#include "base/random.h"
#include "decisions/membership/peer_table.h"
#include "mesh/mesh_envelope.h"
#include "wire/node_fields.h"

namespace daisyarch {

namespace {

constexpr int kObservers = 7;
/// Probability that a heartbeat is lost on a working link.
constexpr double kMessageLoss = 0.1;
/// Probability per heartbeat that a link fails for `kLinkFailureSeconds`. Each
/// observer has its own link, and links fail independently.
constexpr double kLinkFailureProbability = 0.01;
constexpr double kLinkFailureSeconds = 4;

/// How well the observers of one host detect its failure.
struct Detection {
  double m_false_suspicions = 0;  ///< Per hour in which the host is alive.
  double m_seconds_to_detect = 0;
  double m_messages = 0;  ///< Per second, including reports among observers.
};

/// The observers of one host, which sends a heartbeat to each of them once per
/// second.
class HeartbeatObservers {
 public:
  HeartbeatObservers(std::uint64_t seed, int observers) : m_random{seed} {
    m_last_heartbeat.assign(static_cast<std::size_t>(observers), 0);
    m_link_down_until.assign(static_cast<std::size_t>(observers), 0);
  }

  /// Simulates one heartbeat to each observer; a dead host sends none.
  void SimulateHeartbeat(double now, bool is_alive) {
    for (std::size_t index = 0; index < m_last_heartbeat.size(); ++index) {
      if (NextUnit(m_random) < kLinkFailureProbability) {
        m_link_down_until[index] = now + kLinkFailureSeconds;
      }
      const bool arrives = is_alive && now >= m_link_down_until[index] &&
                           NextUnit(m_random) >= kMessageLoss;
      if (arrives) m_last_heartbeat[index] = now;
    }
  }

  std::size_t CountSuspecting(double now) const {
    const std::chrono::duration<double> timeout = kSuspicionTimeout;
    return static_cast<std::size_t>(
        std::count_if(m_last_heartbeat.begin(), m_last_heartbeat.end(),
                      [now, timeout](double last_heartbeat) {
                        return now >= last_heartbeat + timeout.count();
                      }));
  }

 private:
  Random m_random;
  std::vector<double> m_last_heartbeat;
  std::vector<double> m_link_down_until;
};

/// Observes a live host for `hours` and then its failure. The host counts as
/// suspected when at least `quorum` observers suspect it.
Detection MeasureDetection(std::uint64_t seed, int observers,
                           std::size_t quorum, double hours) {
  Detection detection;
  HeartbeatObservers host_observers(seed, observers);
  const double end = hours * 3600;
  bool was_suspected = false;
  double now = 0;
  for (; now < end; now += 1) {
    host_observers.SimulateHeartbeat(now, true);
    const bool is_suspected = host_observers.CountSuspecting(now) >= quorum;
    if (is_suspected && !was_suspected) ++detection.m_false_suspicions;
    was_suspected = is_suspected;
  }
  detection.m_false_suspicions /= hours;
  const double died_at = now;
  while (host_observers.CountSuspecting(now) < quorum) {
    now += 0.1;
    host_observers.SimulateHeartbeat(now, false);
  }
  detection.m_seconds_to_detect = now - died_at;
  // For a majority decision, each observer also reports whether it suspects the
  // host.
  detection.m_messages = observers + (quorum > 1 ? observers : 0);
  return detection;
}

/// Averages over the seeds from 1 to `seeds`.
Detection AverageDetection(int observers, std::size_t quorum,
                           std::uint64_t seeds, double hours) {
  Detection sum;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    const Detection one = MeasureDetection(seed, observers, quorum, hours);
    sum.m_false_suspicions += one.m_false_suspicions;
    sum.m_seconds_to_detect += one.m_seconds_to_detect;
    sum.m_messages = one.m_messages;
  }
  const auto count = static_cast<double>(seeds);
  sum.m_false_suspicions /= count;
  sum.m_seconds_to_detect /= count;
  return sum;
}

void AddDetection(BenchTable& table, const std::string& name,
                  const Detection& detection) {
  AddFigure(table, "membership", "false suspicions, " + name,
            detection.m_false_suspicions, "1/h");
  AddFigure(table, "membership", "time to detect, " + name,
            detection.m_seconds_to_detect, "s");
  AddFigure(table, "membership", "messages for one host, " + name,
            detection.m_messages, "1/s");
}

/// Returns the encoded size of a heartbeat call and its answer.
double HeartbeatBytes() {
  Heartbeat heartbeat;
  heartbeat.m_node = NodeId("entry-1");
  heartbeat.m_incarnation = Incarnation(1796369729193ULL);
  heartbeat.m_members_version = MemberListVersion(1000);
  heartbeat.m_applied_members_version = MemberListVersion(1000);
  heartbeat.m_configuration_version = ConfigurationVersion(1000000);
  heartbeat.m_idle_slots = Slots(100);
  MeshEnvelope call;
  call.m_number = 1000000;
  call.m_method = "heartbeat";
  call.m_body = Encode(heartbeat);
  HeartbeatAnswer reply;
  reply.m_incarnation = heartbeat.m_incarnation;
  reply.m_members_version = heartbeat.m_members_version;
  reply.m_configuration_version = heartbeat.m_configuration_version;
  MeshEnvelope answer;
  answer.m_number = call.m_number;
  answer.m_body = Encode(reply);
  return static_cast<double>(WriteCbor(Encode(call)).size() +
                             WriteCbor(Encode(answer)).size());
}

}  // namespace

void BenchMembership(BenchTable& table) {
  const std::uint64_t seeds = table.m_is_short ? 3 : 20;
  const double hours = table.m_is_short ? 1 : 10;
  const Detection one_observer = AverageDetection(1, 1, seeds, hours);
  const Detection majority =
      AverageDetection(kObservers, Majority(kObservers), seeds, hours);
  AddDetection(table, "one observer", one_observer);
  AddDetection(table, "majority of 7", majority);
}

void BenchHeartbeats(BenchTable& table) {
  constexpr double kMaximumBytesPerSecond = 4000;
  const double bytes = HeartbeatBytes();
  AddFigure(table, "membership", "a heartbeat and its answer", bytes, "B");
  AddBoundedFigure(
      table, "membership", "heartbeats sent and received by one of 8 nodes",
      2 * bytes * 7, "B/s", BoundKind::kAtMost, kMaximumBytesPerSecond);
}

}  // namespace daisyarch
