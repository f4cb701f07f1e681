#pragma once

#include <functional>
#include <string>

#include "base/ids.h"
#include "base/result.h"
#include "runtime.h"

namespace daisyarch {

/// Claims idempotency keys in the store, so that all nodes together forward at
/// most one request with a given key.
struct IdempotencyClaims {
  Runtime& m_runtime;
  /// Bound to new keys; the store removes them when it expires.
  StoreLeaseId m_lease;
  TimePoint m_next_lease_at{};
  bool m_is_granting = false;
};

/// Claimed keys stay in the store for at least this long.
constexpr Duration kIdempotencyKeyRetention = std::chrono::hours(24);

/// The outcome of a claim, which decides whether the request may be sent.
enum class ClaimResult {
  kClaimed,      ///< This request holds the key and may be sent.
  kTaken,        ///< Another request holds the key and may have run.
  kUnavailable,  ///< The store did not confirm; nothing may be sent.
};

/// Grants a new lease for new keys when one is due.
void TickIdempotencyClaims(IdempotencyClaims& claims, TimePoint now);

/// Claims a key for one request. `request_name` is stored under the key and
/// must be unique among all requests of all nodes.
void ClaimIdempotencyKey(IdempotencyClaims& claims, const MemberId& member,
                         const IdempotencyKey& key,
                         const std::string& request_name,
                         std::function<void(ClaimResult)> on_done);

/// Releases the key of a request that certainly was not sent, if the request
/// still holds it.
void ReleaseIdempotencyKey(IdempotencyClaims& claims, const MemberId& member,
                           const IdempotencyKey& key,
                           const std::string& request_name);

}  // namespace daisyarch
