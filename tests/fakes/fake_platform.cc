#include "fakes/fake_platform.h"

#include <utility>

namespace daisyarch {

namespace {

constexpr Duration kCallTimeout = std::chrono::seconds(2);
constexpr Duration kShortestDelay = std::chrono::milliseconds(1);
constexpr Duration kLatestEffect = std::chrono::seconds(8);

template <typename Value>
Result<Value> Unknown() {
  return Error{ErrorCode::kOutcomeUnknown, "call store", "store", "timed out"};
}

template <typename Value>
Result<Value> Refused() {
  return Error{ErrorCode::kUnavailable, "call store", "store", "refused"};
}

enum class Fate { kNormal, kLoseAnswer, kApplyLate, kRefuse, kDrop };

Fate ChooseFate(FakePlatform& fake) {
  FakeLoop& loop = fake.m_loop;
  if (loop.m_now < fake.m_outage_until) {
    return Chance(loop, fake.m_apply_late) ? Fate::kApplyLate : Fate::kDrop;
  }
  if (Chance(loop, fake.m_refuse)) return Fate::kRefuse;
  if (Chance(loop, fake.m_lose_answer)) return Fate::kLoseAnswer;
  if (Chance(loop, fake.m_apply_late)) return Fate::kApplyLate;
  return Fate::kNormal;
}

Duration Latency(FakePlatform& fake) {
  return DelayBetween(fake.m_loop, kShortestDelay, fake.m_longest_delay);
}

bool CountCall(FakePlatform& fake) {
  if (fake.m_crash_after < 0) return true;
  if (--fake.m_crash_after >= 0) return true;
  if (fake.m_on_crash) fake.m_on_crash();
  return false;
}

// Sends a call to the model and its answer back, as its fate has it.
template <typename Value>
void Call(FakePlatform& fake, const Deliver& deliver,
          const std::function<bool()>& is_cut,
          std::function<Result<Value>()> effect,
          PlatformCallback<Value> on_answer) {
  if (!CountCall(fake)) return;
  const Fate fate = is_cut() ? Fate::kDrop : ChooseFate(fake);
  const auto answer = [deliver, on_answer](Result<Value> result) {
    deliver([on_answer, result = std::move(result)] { on_answer(result); });
  };
  FakeLoop& loop = fake.m_loop;
  switch (fate) {
    case Fate::kNormal:
      return RunAfter(loop, Latency(fake), [&fake, effect, answer] {
        const Result<Value> result = effect();
        RunAfter(fake.m_loop, Latency(fake),
                 [answer, result] { answer(result); });
      });
    case Fate::kRefuse:
      return RunAfter(loop, Latency(fake),
                      [answer] { answer(Refused<Value>()); });
    case Fate::kLoseAnswer:
      RunAfter(loop, Latency(fake), [effect] { (void)effect(); });
      break;
    case Fate::kApplyLate:
      RunAfter(loop, DelayBetween(loop, kCallTimeout, kLatestEffect),
               [effect] { (void)effect(); });
      break;
    case Fate::kDrop:
      break;
  }
  RunAfter(loop, kCallTimeout, [answer] { answer(Unknown<Value>()); });
}

void Poll(FakePlatform& fake, const std::string& key, StoreVersion known,
          TimePoint until, const PlatformCallback<StoreEntry>& on_answer) {
  constexpr Duration kPollInterval = std::chrono::milliseconds(50);
  // A waiting watch counts as one call, however often the fake looks.
  const std::uint64_t reads = fake.m_store.m_reads;
  const StoreEntry entry = ReadValue(fake.m_store, key, fake.m_loop.m_now);
  fake.m_store.m_reads = reads;
  if (entry.m_version > known || fake.m_loop.m_now >= until) {
    return on_answer(entry);
  }
  RunAfter(fake.m_loop, kPollInterval, [&fake, key, known, until, on_answer] {
    Poll(fake, key, known, until, on_answer);
  });
}

}  // namespace

Platform MakeFakePlatform(FakePlatform& fake, Deliver deliver,
                          std::function<bool()> is_cut) {
  Platform platform;
  platform.m_read = [&fake, deliver, is_cut](
                        const std::string& key,
                        PlatformCallback<StoreEntry> on_answer) {
    Call<StoreEntry>(
        fake, deliver, is_cut,
        [&fake, key]() -> Result<StoreEntry> {
          return ReadValue(fake.m_store, key, fake.m_loop.m_now);
        },
        std::move(on_answer));
  };
  platform.m_compare_and_swap =
      [&fake, deliver, is_cut](const std::string& key, StoreVersion expected,
                               const std::string& value, StoreLeaseId lease,
                               PlatformCallback<SwapResult> on_answer) {
        Call<SwapResult>(
            fake, deliver, is_cut,
            [&fake, key, expected, value, lease] {
              return SwapValue(fake.m_store, key, expected, value, lease,
                               fake.m_loop.m_now);
            },
            std::move(on_answer));
      };
  platform.m_watch = [&fake, deliver, is_cut](
                         const std::string& key, StoreVersion known,
                         Duration wait,
                         PlatformCallback<StoreEntry> on_answer) {
    ++fake.m_store.m_reads;
    if (is_cut() || fake.m_loop.m_now < fake.m_outage_until) {
      return RunAfter(fake.m_loop, kCallTimeout, [deliver, on_answer] {
        deliver([on_answer] { on_answer(Unknown<StoreEntry>()); });
      });
    }
    Poll(fake, key, known, fake.m_loop.m_now + wait,
         [deliver, on_answer](const Result<StoreEntry>& result) {
           deliver([on_answer, result] { on_answer(result); });
         });
  };
  platform.m_grant_lease = [&fake, deliver, is_cut](
                               Duration term,
                               PlatformCallback<StoreLeaseId> on_answer) {
    Call<StoreLeaseId>(
        fake, deliver, is_cut,
        [&fake, term]() -> Result<StoreLeaseId> {
          return GrantLease(fake.m_store, term, fake.m_loop.m_now);
        },
        std::move(on_answer));
  };
  platform.m_renew_lease = [&fake, deliver, is_cut](
                               StoreLeaseId lease,
                               PlatformCallback<StoreLeaseId> on_answer) {
    Call<StoreLeaseId>(
        fake, deliver, is_cut,
        [&fake, lease] {
          return RenewLease(fake.m_store, lease, fake.m_loop.m_now);
        },
        std::move(on_answer));
  };
  platform.m_revoke_lease = [&fake, deliver, is_cut](
                                StoreLeaseId lease,
                                PlatformCallback<StoreLeaseId> on_answer) {
    Call<StoreLeaseId>(
        fake, deliver, is_cut,
        [&fake, lease]() -> Result<StoreLeaseId> {
          RevokeLease(fake.m_store, lease);
          return lease;
        },
        std::move(on_answer));
  };
  platform.m_list_hosts = [&fake, deliver,
                           is_cut](PlatformCallback<HostList> on_answer) {
    Call<HostList>(
        fake, deliver, is_cut,
        [&fake]() -> Result<HostList> {
          ++fake.m_store.m_reads;
          return fake.m_hosts;
        },
        std::move(on_answer));
  };
  return platform;
}

}  // namespace daisyarch
