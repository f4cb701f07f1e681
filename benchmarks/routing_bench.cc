#include "routing_bench.h"

#include <functional>
#include <map>
#include <queue>

#include "base/random.h"
#include "decisions/routing/endpoint_choice.h"

namespace daisyarch {

namespace {

constexpr int kEndpoints = 50;
constexpr std::int64_t kSlotsPerEndpoint = 8;
constexpr double kMeanServiceMicroseconds = 10000;  ///< At full speed.
/// Slow endpoints take this many times as long.
constexpr double kSlowdownFactor = 3;
/// Share of the endpoints' joint capacity.
constexpr double kOfferedLoad = 0.8;
/// Bound on the 99th percentile of the latency, relative to the ideal choice.
constexpr double kMaximumRatioToIdeal = 1.5;

/// Returns the factor on an endpoint's service time. One endpoint in ten is
/// slow.
double ServiceTimeFactor(int endpoint) {
  return endpoint % 10 == 0 ? kSlowdownFactor : 1;
}

/// One node with its endpoints and waiting requests, in virtual time.
struct Simulation {
  explicit Simulation(std::uint64_t seed)
      : m_random{seed}, m_choice_random{seed} {
    MemberList members;
    members.m_version = MemberListVersion(1);
    members.m_members.push_back(Member{NodeId("n"), {}, "", "", {}});
    m_ledger.m_node = NodeId("n");
    AdoptMembers(m_ledger, members);
    for (int index = 0; index < kEndpoints; ++index) {
      const EndpointId id("e" + std::to_string(100 + index));
      m_ids.push_back(id);
      m_endpoints[id].m_id = id;
      SetEndpointSlots(m_ledger, id, Slots(kSlotsPerEndpoint));
    }
    GrowShares(m_ledger);
  }

  Random m_random;         ///< Arrivals and service times.
  Random m_choice_random;  ///< Choice of endpoints.
  SlotLedger m_ledger;
  EndpointTable m_endpoints;
  std::vector<EndpointId> m_ids;
  std::queue<double> m_waiting;     ///< Arrival times.
  std::vector<double> m_latencies;  ///< Microseconds.
  int m_last_index = 0;             ///< Used by ChooseRoundRobin.
};

using ChoiceFunction =
    std::function<std::optional<EndpointId>(Simulation&, double)>;

TimePoint ToTimePoint(double microseconds) {
  return TimePoint(Duration(static_cast<Duration::rep>(microseconds)) +
                   std::chrono::seconds(100));
}

/// Times are virtual, in microseconds.
struct Completion {
  double m_time;
  int m_endpoint;
  double m_arrived_at;
  double m_started_at;
  bool operator>(const Completion& other) const {
    return m_time > other.m_time;
  }
};

int EndpointIndex(const Simulation& simulation, const EndpointId& id) {
  for (int index = 0; index < kEndpoints; ++index) {
    if (simulation.m_ids[static_cast<std::size_t>(index)] == id) return index;
  }
  return 0;
}

using Completions =
    std::priority_queue<Completion, std::vector<Completion>, std::greater<>>;

void StartWaitingRequests(Simulation& simulation, const ChoiceFunction& choice,
                          double now, Completions& completions) {
  while (!simulation.m_waiting.empty()) {
    const auto endpoint = choice(simulation, now);
    if (!endpoint || !AcquireSlot(simulation.m_ledger, *endpoint)) return;
    const int index = EndpointIndex(simulation, *endpoint);
    const double service =
        NextExponential(simulation.m_random, kMeanServiceMicroseconds) *
        ServiceTimeFactor(index);
    completions.push(
        Completion{now + service, index, simulation.m_waiting.front(), now});
    simulation.m_waiting.pop();
  }
}

void CompleteRequest(Simulation& simulation, const Completion& completion) {
  const EndpointId& id =
      simulation.m_ids[static_cast<std::size_t>(completion.m_endpoint)];
  ReturnSlot(simulation.m_ledger, id);
  const auto latency = Duration(
      static_cast<Duration::rep>(completion.m_time - completion.m_started_at));
  RecordEndpointLatency(simulation.m_endpoints.at(id), latency,
                        ToTimePoint(completion.m_time));
  simulation.m_latencies.push_back(completion.m_time - completion.m_arrived_at);
}

/// Returns the 99th percentile of the latency, in milliseconds.
double MeasureP99Latency(std::uint64_t seed, int requests,
                         const ChoiceFunction& choice) {
  Simulation simulation(seed);
  const double slow_endpoints = kEndpoints / 10.0;
  const double capacity =
      kSlotsPerEndpoint *
      (kEndpoints - slow_endpoints + slow_endpoints / kSlowdownFactor) /
      kMeanServiceMicroseconds;
  Completions completions;
  double arrival = 0;
  int sent = 0;
  while (sent < requests || !completions.empty()) {
    const bool is_arrival =
        sent < requests &&
        (completions.empty() || arrival < completions.top().m_time);
    double now = arrival;
    if (is_arrival) {
      simulation.m_waiting.push(arrival);
      arrival +=
          NextExponential(simulation.m_random, 1 / (capacity * kOfferedLoad));
      ++sent;
    } else {
      const Completion completion = completions.top();
      completions.pop();
      now = completion.m_time;
      CompleteRequest(simulation, completion);
    }
    StartWaitingRequests(simulation, choice, now, completions);
  }
  return Quantile(simulation.m_latencies, 0.99) / 1000;
}

/// Chooses as the daemon's router does.
std::optional<EndpointId> ChooseByLatency(Simulation& simulation, double now) {
  return ChooseEndpoint(simulation.m_endpoints, simulation.m_ledger,
                        simulation.m_choice_random, ToTimePoint(now));
}

bool HasFreeSlot(const Simulation& simulation, const EndpointId& id) {
  return FreeSlots(simulation.m_ledger.m_accounts.at(id)) > Slots();
}

std::optional<EndpointId> ChooseRandom(Simulation& simulation, double) {
  for (int tries = 0; tries < 8 * kEndpoints; ++tries) {
    const EndpointId& id =
        simulation.m_ids[NextBelow(simulation.m_choice_random, kEndpoints)];
    if (HasFreeSlot(simulation, id)) return id;
  }
  return std::nullopt;
}

std::optional<EndpointId> ChooseRoundRobin(Simulation& simulation, double) {
  for (int tries = 0; tries < kEndpoints; ++tries) {
    simulation.m_last_index = (simulation.m_last_index + 1) % kEndpoints;
    const EndpointId& id =
        simulation.m_ids[static_cast<std::size_t>(simulation.m_last_index)];
    if (HasFreeSlot(simulation, id)) return id;
  }
  return std::nullopt;
}

std::optional<EndpointId> ChooseLeastLoaded(Simulation& simulation, double) {
  std::optional<EndpointId> best;
  Slots most_free;
  for (const EndpointId& id : simulation.m_ids) {
    const Slots free = FreeSlots(simulation.m_ledger.m_accounts.at(id));
    if (free <= most_free) continue;
    most_free = free;
    best = id;
  }
  return best;
}

/// Returns the fastest endpoint with a free slot, by the true speeds.
std::optional<EndpointId> ChooseIdeal(Simulation& simulation, double) {
  std::optional<EndpointId> best;
  double best_factor = 0;
  for (int index = 0; index < kEndpoints; ++index) {
    const EndpointId& id = simulation.m_ids[static_cast<std::size_t>(index)];
    if (!HasFreeSlot(simulation, id)) continue;
    if (best && ServiceTimeFactor(index) >= best_factor) continue;
    best = id;
    best_factor = ServiceTimeFactor(index);
  }
  return best;
}

}  // namespace

void BenchRouting(BenchTable& table) {
  const int requests = table.m_is_short ? 20000 : 200000;
  const std::uint64_t seeds = table.m_is_short ? 2 : 5;
  double by_latency = 0;
  double ideal = 0;
  double random = 0;
  double round_robin = 0;
  double least_loaded = 0;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    const auto count = static_cast<double>(seeds);
    by_latency += MeasureP99Latency(seed, requests, ChooseByLatency) / count;
    ideal += MeasureP99Latency(seed, requests, ChooseIdeal) / count;
    random += MeasureP99Latency(seed, requests, ChooseRandom) / count;
    round_robin += MeasureP99Latency(seed, requests, ChooseRoundRobin) / count;
    least_loaded +=
        MeasureP99Latency(seed, requests, ChooseLeastLoaded) / count;
  }
  AddFigure(table, "routing", "p99, ideal single queue", ideal, "ms");
  AddFigure(table, "routing", "p99, random endpoint with a free slot", random,
            "ms");
  AddFigure(table, "routing", "p99, round robin", round_robin, "ms");
  AddFigure(table, "routing", "p99, least loaded", least_loaded, "ms");
  AddFigure(table, "routing", "p99, by recent latency", by_latency, "ms");
  AddBoundedFigure(table, "routing",
                   "p99 relative to the ideal, 1 in 10 endpoints 3x slower",
                   by_latency / ideal, "ratio", BoundKind::kAtMost,
                   kMaximumRatioToIdeal);
}

}  // namespace daisyarch
