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
constexpr double kMeanService = 10000;  ///< Microseconds at full speed.
constexpr double kSlowFactor = 3;
constexpr double kLoad = 0.8;
/// Of the time without the slowest arrivals at the start.
constexpr double kBoundToIdeal = 1.5;

double SpeedFactor(int endpoint) {
  return endpoint % 10 == 0 ? kSlowFactor : 1;
}

/// One node, its endpoints and the requests that wait, in virtual time.
struct Simulation {
  explicit Simulation(std::uint64_t seed) : m_random{seed}, m_choices{seed} {
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

  Random m_random;   ///< Arrivals and service times.
  Random m_choices;  ///< Of the router.
  SlotLedger m_ledger;
  EndpointTable m_endpoints;
  std::vector<EndpointId> m_ids;
  std::queue<double> m_waiting;  ///< Arrival times.
  std::vector<double> m_latencies;
  int m_turn = 0;
};

using Choice = std::function<std::optional<EndpointId>(Simulation&, double)>;

TimePoint At(double microseconds) {
  return TimePoint(Duration(static_cast<Duration::rep>(microseconds)) +
                   std::chrono::seconds(100));
}

struct Completion {
  double m_time;
  int m_endpoint;
  double m_arrived;
  double m_started;
  bool operator>(const Completion& other) const {
    return m_time > other.m_time;
  }
};

int IndexOf(const Simulation& simulation, const EndpointId& id) {
  for (int index = 0; index < kEndpoints; ++index) {
    if (simulation.m_ids[static_cast<std::size_t>(index)] == id) return index;
  }
  return 0;
}

using Completions =
    std::priority_queue<Completion, std::vector<Completion>, std::greater<>>;

void StartWaiting(Simulation& simulation, const Choice& choice, double now,
                  Completions& completions) {
  while (!simulation.m_waiting.empty()) {
    const auto endpoint = choice(simulation, now);
    if (!endpoint || !TakeSlot(simulation.m_ledger, *endpoint)) return;
    const int index = IndexOf(simulation, *endpoint);
    const double service =
        NextExponential(simulation.m_random, kMeanService) * SpeedFactor(index);
    completions.push(
        Completion{now + service, index, simulation.m_waiting.front(), now});
    simulation.m_waiting.pop();
  }
}

void Complete(Simulation& simulation, const Completion& completion) {
  const EndpointId& id =
      simulation.m_ids[static_cast<std::size_t>(completion.m_endpoint)];
  ReturnSlot(simulation.m_ledger, id);
  const auto latency = Duration(
      static_cast<Duration::rep>(completion.m_time - completion.m_started));
  RecordEndpointLatency(simulation.m_endpoints.at(id), latency,
                        At(completion.m_time));
  simulation.m_latencies.push_back(completion.m_time - completion.m_arrived);
}

double RunChoice(std::uint64_t seed, int requests, const Choice& choice) {
  Simulation simulation(seed);
  const double slow = kEndpoints / 10.0;
  const double capacity = kSlotsPerEndpoint *
                          (kEndpoints - slow + slow / kSlowFactor) /
                          kMeanService;
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
      arrival += NextExponential(simulation.m_random, 1 / (capacity * kLoad));
      ++sent;
    } else {
      const Completion completion = completions.top();
      completions.pop();
      now = completion.m_time;
      Complete(simulation, completion);
    }
    StartWaiting(simulation, choice, now, completions);
  }
  return Quantile(simulation.m_latencies, 0.99) / 1000;
}

std::optional<EndpointId> Ours(Simulation& simulation, double now) {
  return ChooseEndpoint(simulation.m_endpoints, simulation.m_ledger,
                        simulation.m_choices, At(now));
}

bool HasFree(const Simulation& simulation, const EndpointId& id) {
  return FreeSlots(simulation.m_ledger.m_accounts.at(id)) > Slots();
}

std::optional<EndpointId> RandomChoice(Simulation& simulation, double) {
  for (int tries = 0; tries < 8 * kEndpoints; ++tries) {
    const EndpointId& id =
        simulation.m_ids[NextBelow(simulation.m_choices, kEndpoints)];
    if (HasFree(simulation, id)) return id;
  }
  return std::nullopt;
}

std::optional<EndpointId> RoundRobin(Simulation& simulation, double) {
  for (int tries = 0; tries < kEndpoints; ++tries) {
    simulation.m_turn = (simulation.m_turn + 1) % kEndpoints;
    const EndpointId& id =
        simulation.m_ids[static_cast<std::size_t>(simulation.m_turn)];
    if (HasFree(simulation, id)) return id;
  }
  return std::nullopt;
}

std::optional<EndpointId> LeastLoaded(Simulation& simulation, double) {
  std::optional<EndpointId> best;
  Slots most;
  for (const EndpointId& id : simulation.m_ids) {
    const Slots free = FreeSlots(simulation.m_ledger.m_accounts.at(id));
    if (free <= most) continue;
    most = free;
    best = id;
  }
  return best;
}

// Knows the true speeds: the fastest endpoint with a free slot.
std::optional<EndpointId> Ideal(Simulation& simulation, double) {
  std::optional<EndpointId> best;
  double best_factor = 0;
  for (int index = 0; index < kEndpoints; ++index) {
    const EndpointId& id = simulation.m_ids[static_cast<std::size_t>(index)];
    if (!HasFree(simulation, id)) continue;
    if (best && SpeedFactor(index) >= best_factor) continue;
    best = id;
    best_factor = SpeedFactor(index);
  }
  return best;
}

}  // namespace

void BenchRouting(BenchTable& table) {
  const int requests = table.m_is_short ? 20000 : 200000;
  const std::uint64_t seeds = table.m_is_short ? 2 : 5;
  double ours = 0;
  double ideal = 0;
  double random = 0;
  double round_robin = 0;
  double least_loaded = 0;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    const auto count = static_cast<double>(seeds);
    ours += RunChoice(seed, requests, Ours) / count;
    ideal += RunChoice(seed, requests, Ideal) / count;
    random += RunChoice(seed, requests, RandomChoice) / count;
    round_robin += RunChoice(seed, requests, RoundRobin) / count;
    least_loaded += RunChoice(seed, requests, LeastLoaded) / count;
  }
  AddFigure(table, "routing", "p99, ideal single queue", ideal, "ms");
  AddFigure(table, "routing", "p99, random with a free slot", random, "ms");
  AddFigure(table, "routing", "p99, round robin", round_robin, "ms");
  AddFigure(table, "routing", "p99, least loaded", least_loaded, "ms");
  AddFigure(table, "routing", "p99, by recent latency", ours, "ms");
  AddBounded(table, "routing", "p99 to the ideal, 1 in 10 at a third of speed",
             ours / ideal, "ratio", BoundKind::kAtMost, kBoundToIdeal);
}

}  // namespace daisyarch
