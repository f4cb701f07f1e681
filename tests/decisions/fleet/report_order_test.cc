#include <catch2/catch.hpp>

#include "decisions/fleet/played_leader.h"
#include "fakes/fake_site.h"

namespace daisyarch::fleet {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kSeedsInCi = 400;
// Within the time for which the new leader waits for the runs of earlier ones.
constexpr Duration kLatestFirstAnswer = seconds(6);

// The workers answer one after the other, in a drawn order.
void DrawFirstAnswers(PlayedLeader& play) {
  const std::uint64_t longest_ms =
      NextBelow(play.m_random,
                static_cast<std::uint64_t>(ToMilliseconds(kLatestFirstAnswer)));
  for (std::uint64_t number = 0; number < kPastWorkers; ++number) {
    play.m_first_answers[PastWorker(number)] =
        play.m_fixture.m_now + FromMilliseconds(static_cast<std::int64_t>(
                                   NextBelow(play.m_random, longest_ms + 1)));
  }
}

std::string PlaySeed(std::uint64_t seed, const PlayFaults& faults) {
  PlayedLeader play(seed);
  play.m_faults = faults;
  play.m_attempts = static_cast<std::uint32_t>(2 + NextBelow(play.m_random, 2));
  const std::vector<PastJob> past = DrawPast(play.m_random, play.m_attempts);
  DrawFirstAnswers(play);
  TakeOver(play, past);
  return PlayToEnd(play);
}

}  // namespace

// Guards against ends that a new leader acknowledges without effect, so that a
// done task starts again or a task starts beyond its attempts: the leader
// before it could not store its last runs, and the workers report in any order.
TEST_CASE("The order of the first reports changes no outcome",
          "[!shouldfail]") {
  PlayFaults faults;
  faults.m_longest_write = milliseconds(300);
  for (std::uint64_t seed = FirstSeed();
       seed < FirstSeed() + SeedCount(kSeedsInCi); ++seed) {
    INFO("seed " << seed);
    CHECK(PlaySeed(seed, faults) == "");
  }
}

// Guards against the same where orders and answers are lost, so that ends are
// reported again, and where writes take long.
TEST_CASE("The order of reports changes no outcome when answers are lost",
          "[!shouldfail]") {
  const PlayFaults faults{0.05, 0.05, seconds(2)};
  for (std::uint64_t seed = FirstSeed();
       seed < FirstSeed() + SeedCount(kSeedsInCi); ++seed) {
    INFO("seed " << seed);
    CHECK(PlaySeed(seed, faults) == "");
  }
}

}  // namespace daisyarch::fleet
