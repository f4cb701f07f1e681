#include "decisions/fleet/relay.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>

namespace daisyarch::fleet {

namespace {

RelayNode MakeRelay(const std::string& name, std::int64_t millicores) {
  return {NodeId(name), name + ":1", Millicores(millicores)};
}

WorkerId WorkerNumbered(int number) {
  return WorkerId("worker-" + std::to_string(number));
}

std::vector<RelayNode> EqualRelays(int count) {
  std::vector<RelayNode> relays;
  for (int number = 0; number < count; ++number) {
    relays.push_back(MakeRelay("node-" + std::to_string(number), 500));
  }
  return relays;
}

}  // namespace

TEST_CASE("A leader uses no relays for what it can serve itself") {
  const RelayLimits limits;
  CHECK(ChooseRelays(limits, EqualRelays(4), Millicores(500), 300).empty());
  CHECK_FALSE(
      ChooseRelays(limits, EqualRelays(4), Millicores(500), 301).empty());
  // A leader with little processor time needs them earlier.
  CHECK_FALSE(
      ChooseRelays(limits, EqualRelays(4), Millicores(100), 61).empty());
}

TEST_CASE("The largest nodes are chosen until they can serve all workers") {
  const RelayLimits limits;
  auto candidates = EqualRelays(5);
  candidates.push_back(MakeRelay("small", 69));
  candidates.push_back(MakeRelay("large", 1000));
  const auto chosen = ChooseRelays(limits, candidates, Millicores(500), 1000);
  REQUIRE(chosen.size() == 3);
  CHECK(chosen.front().m_node == NodeId("large"));
  // A node that is too small is not used, even if capacity is missing.
  CHECK(ChooseRelays(limits, candidates, Millicores(500), 100000).size() == 6);
}

TEST_CASE("Leaders choose the same relays in whatever order they learn them") {
  const RelayLimits limits;
  auto candidates = EqualRelays(18);
  const auto chosen = ChooseRelays(limits, candidates, Millicores(500), 1100);
  std::reverse(candidates.begin(), candidates.end());
  const auto again = ChooseRelays(limits, candidates, Millicores(500), 1100);
  REQUIRE(chosen.size() == again.size());
  for (std::size_t index = 0; index < chosen.size(); ++index) {
    CHECK(chosen[index].m_node == again[index].m_node);
  }
}

TEST_CASE("Relays share the workers by their processor time") {
  constexpr int kWorkers = 6000;
  const std::vector<RelayNode> relays = {
      MakeRelay("a", 500), MakeRelay("b", 500), MakeRelay("c", 1000)};
  std::map<std::size_t, int> counts;
  for (int number = 0; number < kWorkers; ++number) {
    ++counts[RelayOf(relays, WorkerNumbered(number))];
  }
  CHECK(counts[0] == Approx(kWorkers / 4).epsilon(0.1));
  CHECK(counts[1] == Approx(kWorkers / 4).epsilon(0.1));
  CHECK(counts[2] == Approx(kWorkers / 2).epsilon(0.1));
}

TEST_CASE("Only the workers of a lost relay change theirs") {
  const auto relays = EqualRelays(5);
  auto remaining = relays;
  remaining.erase(remaining.begin() + 2);
  for (int number = 0; number < 2000; ++number) {
    const WorkerId worker = WorkerNumbered(number);
    const NodeId before = relays[RelayOf(relays, worker)].m_node;
    const NodeId after = remaining[RelayOf(remaining, worker)].m_node;
    if (before != relays[2].m_node) REQUIRE(before == after);
  }
}

TEST_CASE("A late answer does not make a relay's clock seem behind") {
  const TimePoint now(std::chrono::seconds(1000));
  const RelayMicroseconds clock(50'000'000);
  RelayClockOffset offset;
  AddClockReading(offset, clock, now);
  CHECK(RelayClockAt(offset, now) == clock);
  // The reading of an answer that came 300 ms late.
  const Duration later = std::chrono::seconds(1);
  const Duration delay = std::chrono::milliseconds(300);
  AddClockReading(offset, clock + RelayMicroseconds((later - delay).count()),
                  now + later);
  CHECK(RelayClockAt(offset, now + later) ==
        clock + RelayMicroseconds(later.count()));
  // Earlier readings do not count for ever, as clocks drift.
  for (int minute = 1; minute <= 2; ++minute) {
    const Duration time = std::chrono::minutes(minute);
    AddClockReading(offset, clock + RelayMicroseconds((time - delay).count()),
                    now + time);
  }
  CHECK(RelayClockAt(offset, now) == clock - RelayMicroseconds(delay.count()));
}

TEST_CASE("A relay drops an order that is too old") {
  const RelayMicroseconds sent_at(7'000'000);
  const RelayMicroseconds limit(kMaximumRelayedOrderAge.count());
  CHECK(IsRecentOrder(sent_at, sent_at));
  CHECK(IsRecentOrder(sent_at, sent_at + limit));
  CHECK_FALSE(IsRecentOrder(sent_at, sent_at + limit + RelayMicroseconds(1)));
  // The relay's machine has started again, and its clock anew.
  CHECK_FALSE(IsRecentOrder(sent_at, RelayMicroseconds(1)));
}

}  // namespace daisyarch::fleet
