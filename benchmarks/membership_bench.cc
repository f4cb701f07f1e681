#include "membership_bench.h"

#include <algorithm>

#include "base/random.h"
#include "decisions/membership/peer_table.h"
#include "mesh/mesh_envelope.h"
#include "wire/node_fields.h"

namespace daisyarch {

namespace {

constexpr int kObservers = 7;
constexpr double kLoss = 0.1;
/// Links are bad for a while, each on its own.
constexpr double kBadLink = 0.01;
constexpr double kBadLinkSeconds = 4;

/// What the observers of one host come to.
struct Detection {
  double m_false_suspicions = 0;  ///< An hour of a living host.
  double m_seconds_to_detect = 0;
  double m_messages = 0;  ///< A second, verdicts included.
};

/// Heartbeats from one host to its observers, a second apart.
class Watch {
 public:
  Watch(std::uint64_t seed, int observers) : m_random{seed} {
    m_heard.assign(static_cast<std::size_t>(observers), 0);
    m_bad_until.assign(static_cast<std::size_t>(observers), 0);
  }

  void Tick(double now, bool is_alive) {
    for (std::size_t index = 0; index < m_heard.size(); ++index) {
      if (NextUnit(m_random) < kBadLink) {
        m_bad_until[index] = now + kBadLinkSeconds;
      }
      const bool arrives =
          is_alive && now >= m_bad_until[index] && NextUnit(m_random) >= kLoss;
      if (arrives) m_heard[index] = now;
    }
  }

  std::size_t Suspecting(double now) const {
    const std::chrono::duration<double> after = kSuspicionTimeout;
    return static_cast<std::size_t>(std::count_if(
        m_heard.begin(), m_heard.end(),
        [now, after](double heard) { return now >= heard + after.count(); }));
  }

 private:
  Random m_random;
  std::vector<double> m_heard;
  std::vector<double> m_bad_until;
};

Detection Measure(std::uint64_t seed, int observers, std::size_t needed,
                  double hours) {
  Detection detection;
  Watch watch(seed, observers);
  const double end = hours * 3600;
  bool was_suspected = false;
  double now = 0;
  for (; now < end; now += 1) {
    watch.Tick(now, true);
    const bool is_suspected = watch.Suspecting(now) >= needed;
    if (is_suspected && !was_suspected) ++detection.m_false_suspicions;
    was_suspected = is_suspected;
  }
  detection.m_false_suspicions /= hours;
  const double died = now;
  while (watch.Suspecting(now) < needed) {
    now += 0.1;
    watch.Tick(now, false);
  }
  detection.m_seconds_to_detect = now - died;
  // A majority also tells each other what they think.
  detection.m_messages = observers + (needed > 1 ? observers : 0);
  return detection;
}

Detection Average(int observers, std::size_t needed, std::uint64_t seeds,
                  double hours) {
  Detection sum;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    const Detection one = Measure(seed, observers, needed, hours);
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

// A call with its answer, as they go over the connection.
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
  const Detection one = Average(1, 1, seeds, hours);
  const Detection majority =
      Average(kObservers, Majority(kObservers), seeds, hours);
  AddDetection(table, "one observer", one);
  AddDetection(table, "majority of 7", majority);
}

void BenchHeartbeats(BenchTable& table) {
  constexpr double kMostBytes = 4000;
  const double bytes = HeartbeatBytes();
  AddFigure(table, "membership", "a heartbeat and its answer", bytes, "B");
  AddBounded(table, "membership", "sent and received by one of 8 nodes",
             2 * bytes * 7, "B/s", BoundKind::kAtMost, kMostBytes);
}

}  // namespace daisyarch
