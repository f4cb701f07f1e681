#include "idempotency_claims.h"

#include <utility>

#include "base/stable_hash.h"
#include "base/task_id.h"

namespace daisyarch {

namespace {

// Joins two hashes, because a collision would refuse a new request.
std::string ClaimStoreKey(const MemberId& member, const IdempotencyKey& key) {
  const std::string name = member.value() + '\0' + key.value();
  return "once/" + ToString(JobId(StableHash(name))) +
         ToString(JobId(StableHash("2" + name)));
}

void ReadBackClaim(IdempotencyClaims& claims, const std::string& store_key,
                   const std::string& request_name,
                   std::function<void(ClaimResult)> on_done) {
  claims.m_runtime.m_platform.m_read(
      store_key, [request_name, on_done = std::move(on_done)](
                     const Result<StoreEntry>& result) {
        if (!result) return on_done(ClaimResult::kUnavailable);
        const std::string& value = result.assume_value().m_value;
        if (value == request_name) return on_done(ClaimResult::kClaimed);
        // Empty: the claim has not taken effect but still may, so the request
        // must not be sent.
        on_done(value.empty() ? ClaimResult::kUnavailable
                              : ClaimResult::kTaken);
      });
}

void WriteClaim(IdempotencyClaims& claims, const std::string& store_key,
                const std::string& request_name, StoreVersion expected,
                std::function<void(ClaimResult)> on_done) {
  claims.m_runtime.m_platform.m_compare_and_swap(
      store_key, expected, request_name, claims.m_lease,
      [&claims, store_key, request_name, expected,
       on_done = std::move(on_done)](const Result<SwapResult>& result) {
        if (!result) {
          if (result.assume_error().m_code != ErrorCode::kOutcomeUnknown) {
            return on_done(ClaimResult::kUnavailable);
          }
          return ReadBackClaim(claims, store_key, request_name, on_done);
        }
        const SwapResult& swap = result.assume_value();
        if (swap.m_is_swapped) return on_done(ClaimResult::kClaimed);
        // A released key has an empty value and may be claimed again.
        const bool is_released = swap.m_entry.m_value.empty();
        if (is_released && expected == StoreVersion()) {
          return WriteClaim(claims, store_key, request_name,
                            swap.m_entry.m_version, on_done);
        }
        on_done(ClaimResult::kTaken);
      });
}

}  // namespace

// A lease lasts one and a half retention times and is replaced after half a
// retention time. Each key therefore lives for one to one and a half retention
// times, and the store holds at most three leases per node.
void TickIdempotencyClaims(IdempotencyClaims& claims, TimePoint now) {
  if (claims.m_is_granting || now < claims.m_next_lease_at) return;
  claims.m_is_granting = true;
  claims.m_runtime.m_platform.m_grant_lease(
      kIdempotencyKeyRetention * 3 / 2,
      [&claims, now](const Result<StoreLeaseId>& result) {
        claims.m_is_granting = false;
        if (!result) {
          claims.m_next_lease_at = now + std::chrono::seconds(1);
          return;
        }
        claims.m_lease = result.assume_value();
        claims.m_next_lease_at = now + kIdempotencyKeyRetention / 2;
      });
}

void ClaimIdempotencyKey(IdempotencyClaims& claims, const MemberId& member,
                         const IdempotencyKey& key,
                         const std::string& request_name,
                         std::function<void(ClaimResult)> on_done) {
  if (claims.m_lease == StoreLeaseId()) {
    return on_done(ClaimResult::kUnavailable);
  }
  WriteClaim(claims, ClaimStoreKey(member, key), request_name, StoreVersion(),
             std::move(on_done));
}

void ReleaseIdempotencyKey(IdempotencyClaims& claims, const MemberId& member,
                           const IdempotencyKey& key,
                           const std::string& request_name) {
  const std::string store_key = ClaimStoreKey(member, key);
  claims.m_runtime.m_platform.m_read(
      store_key,
      [&claims, store_key, request_name](const Result<StoreEntry>& result) {
        if (!result || result.assume_value().m_value != request_name) return;
        claims.m_runtime.m_platform.m_compare_and_swap(
            store_key, result.assume_value().m_version, "", claims.m_lease,
            [](const auto&) {});
      });
}

}  // namespace daisyarch
