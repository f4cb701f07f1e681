#include "decisions/fleet/fencing.h"

#include <algorithm>

namespace daisyarch::fleet {

namespace {

// The leaders of an earlier version count on the same ranges.
constexpr std::uint64_t kTokensPerTerm = 1ULL << 20;
// More than all workers can need until the next check.
constexpr std::uint64_t kReservedTokens = 1ULL << 16;

}  // namespace

FencingToken FirstToken(Term term) {
  return FencingToken(term.value() * kTokensPerTerm);
}

void FenceWorker(Fleet& fleet, Worker& worker) {
  fleet.m_last_token =
      std::max(Next(fleet.m_last_token), FirstToken(fleet.m_term));
  worker.m_token = worker.m_report_token = fleet.m_last_token;
}

// A worker compares only the tokens that it gets, so two workers may have the
// same one. The range then lasts as long as the busiest worker needs.
void RaiseOrderToken(Fleet& fleet, Worker& worker) {
  worker.m_token = Next(worker.m_token);
  fleet.m_last_token = std::max(fleet.m_last_token, worker.m_token);
}

bool AreTokensUsedUp(const Fleet& fleet) {
  const std::uint64_t end = FirstToken(Next(fleet.m_term)).value();
  return fleet.m_last_token.value() + kReservedTokens >= end;
}

}  // namespace daisyarch::fleet
