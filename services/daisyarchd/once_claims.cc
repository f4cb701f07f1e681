#include "once_claims.h"

#include <utility>

#include "base/stable_hash.h"
#include "base/task_id.h"

namespace daisyarch {

namespace {

// Two hashes, since a collision would refuse a request that is new.
std::string OnceKey(const MemberId& member, const IdempotencyKey& key) {
  const std::string name = member.value() + '\0' + key.value();
  return "once/" + ToString(JobId(StableHash(name))) +
         ToString(JobId(StableHash("2" + name)));
}

void ReadBack(OnceClaims& claims, const std::string& store_key,
              const std::string& owner,
              std::function<void(ClaimResult)> on_done) {
  claims.m_runtime.m_platform.m_read(
      store_key,
      [owner, on_done = std::move(on_done)](const Result<StoreEntry>& result) {
        if (!result) return on_done(ClaimResult::kUnavailable);
        const std::string& value = result.assume_value().m_value;
        if (value == owner) return on_done(ClaimResult::kClaimed);
        // Empty: the claim has not landed, and may yet. Nothing is sent.
        on_done(value.empty() ? ClaimResult::kUnavailable
                              : ClaimResult::kTaken);
      });
}

void WriteClaim(OnceClaims& claims, const std::string& store_key,
                const std::string& owner, StoreVersion expected,
                std::function<void(ClaimResult)> on_done) {
  claims.m_runtime.m_platform.m_compare_and_swap(
      store_key, expected, owner, claims.m_lease,
      [&claims, store_key, owner, expected,
       on_done = std::move(on_done)](const Result<SwapResult>& result) {
        if (!result) {
          if (result.assume_error().m_code != ErrorCode::kOutcomeUnknown) {
            return on_done(ClaimResult::kUnavailable);
          }
          return ReadBack(claims, store_key, owner, on_done);
        }
        const SwapResult& swap = result.assume_value();
        if (swap.m_is_swapped) return on_done(ClaimResult::kClaimed);
        // A key that was freed may be claimed again.
        const bool is_free = swap.m_entry.m_value.empty();
        if (is_free && expected == StoreVersion()) {
          return WriteClaim(claims, store_key, owner, swap.m_entry.m_version,
                            on_done);
        }
        on_done(ClaimResult::kTaken);
      });
}

}  // namespace

// A new lease at half the term: each key lives for one term to one and a
// half, and the store holds two leases a node.
void TickOnceClaims(OnceClaims& claims, TimePoint now) {
  if (claims.m_is_granting || now < claims.m_renew_at) return;
  claims.m_is_granting = true;
  claims.m_runtime.m_platform.m_grant_lease(
      kOnceKeyTerm * 3 / 2, [&claims, now](const Result<StoreLeaseId>& result) {
        claims.m_is_granting = false;
        if (!result) {
          claims.m_renew_at = now + std::chrono::seconds(1);
          return;
        }
        claims.m_lease = result.assume_value();
        claims.m_renew_at = now + kOnceKeyTerm / 2;
      });
}

void ClaimOnce(OnceClaims& claims, const MemberId& member,
               const IdempotencyKey& key, const std::string& owner,
               std::function<void(ClaimResult)> on_done) {
  if (claims.m_lease == StoreLeaseId()) {
    return on_done(ClaimResult::kUnavailable);
  }
  WriteClaim(claims, OnceKey(member, key), owner, StoreVersion(),
             std::move(on_done));
}

void FreeOnce(OnceClaims& claims, const MemberId& member,
              const IdempotencyKey& key, const std::string& owner) {
  const std::string store_key = OnceKey(member, key);
  claims.m_runtime.m_platform.m_read(
      store_key, [&claims, store_key, owner](const Result<StoreEntry>& result) {
        if (!result || result.assume_value().m_value != owner) return;
        claims.m_runtime.m_platform.m_compare_and_swap(
            store_key, result.assume_value().m_version, "", claims.m_lease,
            [](const auto&) {});
      });
}

}  // namespace daisyarch
