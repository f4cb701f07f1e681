#pragma once

#include <functional>
#include <string>

#include "base/ids.h"
#include "base/result.h"
#include "runtime.h"

namespace daisyarch {

/// Keeps, in the store, the keys of requests that are not to be repeated, so
/// that each is forwarded by one node at most.
struct IdempotencyClaims {
  Runtime& m_runtime;
  StoreLeaseId m_lease;  ///< Ends keys that are old.
  TimePoint m_next_lease_at{};
  bool m_is_granting = false;
};

/// Keys are kept at least this long.
constexpr Duration kIdempotencyKeyRetention = std::chrono::hours(24);

/// Whether this request may be sent.
enum class ClaimResult {
  kClaimed,      ///< The key is this request's own.
  kTaken,        ///< Another request had it: it may have run.
  kUnavailable,  ///< The store does not tell; nothing may be sent.
};

/// Keeps the lease of new keys fresh.
void TickIdempotencyClaims(IdempotencyClaims& claims, TimePoint now);

/// Claims a key for the request named by `owner`, which no other request
/// may share.
void ClaimIdempotencyKey(IdempotencyClaims& claims, const MemberId& member,
                         const IdempotencyKey& key,
                         const std::string& request_name,
                         std::function<void(ClaimResult)> on_done);

/// Frees a claimed key of a request that certainly was not sent.
void ReleaseIdempotencyKey(IdempotencyClaims& claims, const MemberId& member,
                           const IdempotencyKey& key,
                           const std::string& request_name);

}  // namespace daisyarch
