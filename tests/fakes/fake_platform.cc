#include "fakes/fake_platform.h"

#include <utility>

namespace daisyarch {

namespace {

constexpr Duration kCallTimeout = std::chrono::seconds(2);
constexpr Duration kMinimumDelay = std::chrono::milliseconds(1);
constexpr Duration kMaximumEffectDelay = std::chrono::seconds(8);

template <typename Value>
Result<Value> OutcomeUnknown() {
  return Error{ErrorCode::kOutcomeUnknown, "call store", "store", "timed out"};
}

template <typename Value>
Result<Value> Unavailable() {
  return Error{ErrorCode::kUnavailable, "call store", "store", "refused"};
}

enum class CallOutcome {
  kNormal,
  kAnswerLost,
  kLateEffect,
  kRefused,
  kDropped
};

CallOutcome DrawCallOutcome(FakePlatform& fake) {
  FakeLoop& loop = fake.m_loop;
  if (loop.m_now < fake.m_outage_until) {
    return Chance(loop, fake.m_late_effect_probability)
               ? CallOutcome::kLateEffect
               : CallOutcome::kDropped;
  }
  if (Chance(loop, fake.m_refusal_probability)) return CallOutcome::kRefused;
  if (Chance(loop, fake.m_answer_loss_probability))
    return CallOutcome::kAnswerLost;
  if (Chance(loop, fake.m_late_effect_probability))
    return CallOutcome::kLateEffect;
  return CallOutcome::kNormal;
}

Duration DrawLatency(FakePlatform& fake) {
  return DelayBetween(fake.m_loop, kMinimumDelay, fake.m_maximum_delay);
}

// Counts a call. Returns false if the caller crashes at it.
bool SurvivesCall(FakePlatform& fake) {
  if (fake.m_calls_before_crash < 0) return true;
  if (--fake.m_calls_before_crash >= 0) return true;
  if (fake.m_on_crash) fake.m_on_crash();
  return false;
}

// Applies a call to the store model and answers it, with the fault of the drawn
// outcome.
template <typename Value>
void CallStore(FakePlatform& fake, const RunAtCaller& run_at_caller,
               const std::function<bool()>& is_unreachable,
               std::function<Result<Value>()> effect,
               PlatformCallback<Value> on_answer) {
  if (!SurvivesCall(fake)) return;
  const CallOutcome outcome =
      is_unreachable() ? CallOutcome::kDropped : DrawCallOutcome(fake);
  const auto answer = [run_at_caller, on_answer](Result<Value> result) {
    run_at_caller(
        [on_answer, result = std::move(result)] { on_answer(result); });
  };
  FakeLoop& loop = fake.m_loop;
  switch (outcome) {
    case CallOutcome::kNormal:
      return RunAfter(loop, DrawLatency(fake), [&fake, effect, answer] {
        const Result<Value> result = effect();
        RunAfter(fake.m_loop, DrawLatency(fake),
                 [answer, result] { answer(result); });
      });
    case CallOutcome::kRefused:
      return RunAfter(loop, DrawLatency(fake),
                      [answer] { answer(Unavailable<Value>()); });
    case CallOutcome::kAnswerLost:
      RunAfter(loop, DrawLatency(fake), [effect] { (void)effect(); });
      break;
    case CallOutcome::kLateEffect:
      RunAfter(loop, DelayBetween(loop, kCallTimeout, kMaximumEffectDelay),
               [effect] { (void)effect(); });
      break;
    case CallOutcome::kDropped:
      break;
  }
  RunAfter(loop, kCallTimeout, [answer] { answer(OutcomeUnknown<Value>()); });
}

// Answers once the key has a later version than `known`, or at `until`.
void PollKey(FakePlatform& fake, const std::string& key, StoreVersion known,
             TimePoint until, const PlatformCallback<StoreEntry>& on_answer) {
  constexpr Duration kPollInterval = std::chrono::milliseconds(50);
  // A watch counts as one read, however often the fake reads the key.
  const std::uint64_t reads = fake.m_store.m_reads;
  const StoreEntry entry = ReadValue(fake.m_store, key, fake.m_loop.m_now);
  fake.m_store.m_reads = reads;
  if (entry.m_version > known || fake.m_loop.m_now >= until) {
    return on_answer(entry);
  }
  RunAfter(fake.m_loop, kPollInterval, [&fake, key, known, until, on_answer] {
    PollKey(fake, key, known, until, on_answer);
  });
}

}  // namespace

Platform MakeFakePlatform(FakePlatform& fake, RunAtCaller run_at_caller,
                          std::function<bool()> is_unreachable) {
  Platform platform;
  platform.m_read = [&fake, run_at_caller, is_unreachable](
                        const std::string& key,
                        PlatformCallback<StoreEntry> on_answer) {
    CallStore<StoreEntry>(
        fake, run_at_caller, is_unreachable,
        [&fake, key]() -> Result<StoreEntry> {
          return ReadValue(fake.m_store, key, fake.m_loop.m_now);
        },
        std::move(on_answer));
  };
  platform.m_compare_and_swap =
      [&fake, run_at_caller, is_unreachable](
          const std::string& key, StoreVersion expected,
          const std::string& value, StoreLeaseId lease,
          PlatformCallback<SwapResult> on_answer) {
        CallStore<SwapResult>(
            fake, run_at_caller, is_unreachable,
            [&fake, key, expected, value, lease] {
              return SwapValue(fake.m_store, key, expected, value, lease,
                               fake.m_loop.m_now);
            },
            std::move(on_answer));
      };
  platform.m_watch = [&fake, run_at_caller, is_unreachable](
                         const std::string& key, StoreVersion known,
                         Duration wait,
                         PlatformCallback<StoreEntry> on_answer) {
    ++fake.m_store.m_reads;
    if (is_unreachable() || fake.m_loop.m_now < fake.m_outage_until) {
      return RunAfter(fake.m_loop, kCallTimeout, [run_at_caller, on_answer] {
        run_at_caller([on_answer] { on_answer(OutcomeUnknown<StoreEntry>()); });
      });
    }
    PollKey(fake, key, known, fake.m_loop.m_now + wait,
            [run_at_caller, on_answer](const Result<StoreEntry>& result) {
              run_at_caller([on_answer, result] { on_answer(result); });
            });
  };
  platform.m_grant_lease = [&fake, run_at_caller, is_unreachable](
                               Duration term,
                               PlatformCallback<StoreLeaseId> on_answer) {
    CallStore<StoreLeaseId>(
        fake, run_at_caller, is_unreachable,
        [&fake, term]() -> Result<StoreLeaseId> {
          return GrantLease(fake.m_store, term, fake.m_loop.m_now);
        },
        std::move(on_answer));
  };
  platform.m_renew_lease = [&fake, run_at_caller, is_unreachable](
                               StoreLeaseId lease,
                               PlatformCallback<StoreLeaseId> on_answer) {
    CallStore<StoreLeaseId>(
        fake, run_at_caller, is_unreachable,
        [&fake, lease] {
          return RenewLease(fake.m_store, lease, fake.m_loop.m_now);
        },
        std::move(on_answer));
  };
  platform.m_revoke_lease = [&fake, run_at_caller, is_unreachable](
                                StoreLeaseId lease,
                                PlatformCallback<StoreLeaseId> on_answer) {
    CallStore<StoreLeaseId>(
        fake, run_at_caller, is_unreachable,
        [&fake, lease]() -> Result<StoreLeaseId> {
          RevokeLease(fake.m_store, lease);
          return lease;
        },
        std::move(on_answer));
  };
  platform.m_list_hosts = [&fake, run_at_caller, is_unreachable](
                              PlatformCallback<HostList> on_answer) {
    CallStore<HostList>(
        fake, run_at_caller, is_unreachable,
        [&fake]() -> Result<HostList> {
          ++fake.m_store.m_reads;
          return fake.m_hosts;
        },
        std::move(on_answer));
  };
  return platform;
}

}  // namespace daisyarch
