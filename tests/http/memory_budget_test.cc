#include "http/memory_budget.h"

#include <catch2/catch.hpp>

namespace daisyarch {

namespace {

constexpr std::size_t kMegabyte = 1024UL * 1024;

/// A budget, and how many connections have given way.
struct Trial {
  explicit Trial(std::size_t memory_megabytes = 64,
                 std::size_t descriptors = 400) {
    m_budget.m_limits =
        DeriveBudgetLimits(memory_megabytes * kMegabyte, descriptors);
  }

  HoldingId Open(PeerKind kind) {
    return OpenHolding(m_budget, kind, [this] { ++m_given_way; });
  }

  HoldingId OpenWith(PeerKind kind, HoldingState state, std::size_t bytes) {
    const HoldingId holding = Open(kind);
    SetHoldingState(m_budget, holding, state);
    CHECK(ChargeHolding(m_budget, holding, bytes));
    return holding;
  }

  MemoryBudget m_budget;
  int m_given_way = 0;
};

}  // namespace

TEST_CASE("One request of the largest size fits into an idle budget") {
  Trial trial(48);
  const HoldingId client = trial.Open(PeerKind::kClient);
  CHECK(ChargeHolding(trial.m_budget, client, 4 * kMegabyte));
  CHECK(trial.m_given_way == 0);
}

TEST_CASE("The unfinished request that holds most gives way to a smaller one") {
  Trial trial;
  trial.OpenWith(PeerKind::kClient, HoldingState::kFinished, 3 * kMegabyte);
  const HoldingId larger = trial.OpenWith(
      PeerKind::kClient, HoldingState::kUnfinished, 3 * kMegabyte);
  const HoldingId smaller = trial.Open(PeerKind::kClient);
  CHECK(ChargeHolding(trial.m_budget, smaller, 2 * kMegabyte));
  CHECK(larger->m_is_leaving);
  CHECK(trial.m_given_way == 1);
}

TEST_CASE("Finished requests never give way, and the largest one is refused") {
  Trial trial;
  trial.OpenWith(PeerKind::kClient, HoldingState::kFinished, 7 * kMegabyte);
  trial.OpenWith(PeerKind::kClient, HoldingState::kUnfinished, 1000);
  const HoldingId client = trial.Open(PeerKind::kClient);
  CHECK_FALSE(ChargeHolding(trial.m_budget, client, kMegabyte));
  CHECK(trial.m_given_way == 0);
}

TEST_CASE("Clients leave the reserves of the store, workers and peers") {
  Trial trial;
  for (int number = 0; number < 40; ++number) {
    const HoldingId client = trial.Open(PeerKind::kClient);
    // No more connections of clients fit.
    if (client == trial.m_budget.m_holdings.end()) break;
    SetHoldingState(trial.m_budget, client, HoldingState::kFinished);
    ChargeHolding(trial.m_budget, client, kMegabyte);
  }
  trial.OpenWith(PeerKind::kStore, HoldingState::kIdle, 4 * kMegabyte);
  trial.OpenWith(PeerKind::kWorker, HoldingState::kIdle, 2 * kMegabyte);
  trial.OpenWith(PeerKind::kPeer, HoldingState::kIdle, 2 * kMegabyte);
  CHECK(trial.m_given_way == 0);
}

TEST_CASE("Unfinished requests of clients give way to the store's answers") {
  Trial trial;
  trial.OpenWith(PeerKind::kClient, HoldingState::kUnfinished, 6 * kMegabyte);
  trial.OpenWith(PeerKind::kStore, HoldingState::kIdle, 8 * kMegabyte);
  CHECK(trial.m_given_way == 1);
}

TEST_CASE("The client that waits longest gives way to a new connection") {
  Trial trial(64, 1000);
  const HoldingId first = trial.Open(PeerKind::kClient);
  const HoldingId second = trial.Open(PeerKind::kClient);
  SetHoldingState(trial.m_budget, first, HoldingState::kIdle);
  for (int number = 0; number < 199; ++number) trial.Open(PeerKind::kClient);
  CHECK(trial.m_given_way == 1);
  CHECK(second->m_is_leaving);
  CHECK(trial.m_budget.m_connections[0] == 200);
}

TEST_CASE("An answer that its client takes is never cut") {
  Trial trial(64, 1000);
  const HoldingId answering =
      trial.OpenWith(PeerKind::kClient, HoldingState::kAnswering, 0);
  for (int number = 0; number < 199; ++number) {
    trial.OpenWith(PeerKind::kClient, HoldingState::kFinished, 0);
  }
  CHECK(trial.Open(PeerKind::kClient) == trial.m_budget.m_holdings.end());
  CHECK_FALSE(answering->m_is_leaving);
  CHECK(trial.m_given_way == 0);
}

TEST_CASE("A client that takes nothing of its answer gives way before others") {
  Trial trial(64, 1000);
  const HoldingId working =
      trial.OpenWith(PeerKind::kClient, HoldingState::kFinished, 0);
  const HoldingId answering =
      trial.OpenWith(PeerKind::kClient, HoldingState::kAnswering, 0);
  const HoldingId stalled =
      trial.OpenWith(PeerKind::kClient, HoldingState::kStalled, 0);
  for (int number = 0; number < 197; ++number) {
    trial.OpenWith(PeerKind::kClient, HoldingState::kFinished, 0);
  }
  trial.Open(PeerKind::kClient);
  CHECK(stalled->m_is_leaving);
  CHECK_FALSE(answering->m_is_leaving);
  CHECK_FALSE(working->m_is_leaving);
  CHECK(trial.m_given_way == 1);
}

TEST_CASE("A connection without room for it is refused and counted") {
  Trial trial(64, 1000);
  int refusals = 0;
  trial.m_budget.m_on_refusal = [&refusals](PeerKind, RefusalCause cause) {
    if (cause == RefusalCause::kConnections) ++refusals;
  };
  for (int number = 0; number < 200; ++number) {
    trial.OpenWith(PeerKind::kClient, HoldingState::kFinished, 0);
  }
  CHECK(trial.Open(PeerKind::kClient) == trial.m_budget.m_holdings.end());
  CHECK(refusals == 1);
  // The leader's connections to workers are not refused.
  CHECK(trial.Open(PeerKind::kWorker) != trial.m_budget.m_holdings.end());
}

TEST_CASE("A peer that has called gives way after one that never has") {
  Trial trial;
  const HoldingId caller =
      trial.OpenWith(PeerKind::kPeer, HoldingState::kFinished, 0);
  for (int number = 0; number < 40; ++number) trial.Open(PeerKind::kPeer);
  CHECK_FALSE(caller->m_is_leaving);
  CHECK(trial.m_budget.m_connections[4] == 2);
}

TEST_CASE("What connections held is free once they are closed") {
  Trial trial;
  for (int round = 0; round < 3; ++round) {
    const HoldingId client = trial.OpenWith(
        PeerKind::kClient, HoldingState::kFinished, 7 * kMegabyte);
    CloseHolding(trial.m_budget, client);
  }
  CHECK(trial.m_budget.m_bytes[0] == 0);
  CHECK(trial.m_budget.m_connections[0] == 0);
}

}  // namespace daisyarch
