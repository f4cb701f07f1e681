#pragma once

#include <functional>
#include <string>

#include "base/ids.h"
#include "base/result.h"
#include "runtime.h"

namespace daisyarch {

/// Keeps, in the store, the keys of requests that are not to be repeated, so
/// that each is forwarded by one node at most.
struct OnceClaims {
  Runtime& m_runtime;
  StoreLeaseId m_lease;  ///< Ends keys that are old.
  TimePoint m_renew_at{};
  bool m_is_granting = false;
};

/// Keys are kept at least this long.
constexpr Duration kOnceKeyTerm = std::chrono::hours(24);

/// Whether this request may be sent.
enum class ClaimResult {
  kClaimed,      ///< The key is this request's own.
  kTaken,        ///< Another request had it: it may have run.
  kUnavailable,  ///< The store does not tell; nothing may be sent.
};

/// Keeps the lease of new keys fresh.
void TickOnceClaims(OnceClaims& claims, TimePoint now);

/// Claims a key for the request named by `owner`, which no other request
/// may share.
void ClaimOnce(OnceClaims& claims, const MemberId& member,
               const IdempotencyKey& key, const std::string& owner,
               std::function<void(ClaimResult)> on_done);

/// Frees a claimed key of a request that certainly was not sent.
void FreeOnce(OnceClaims& claims, const MemberId& member,
              const IdempotencyKey& key, const std::string& owner);

}  // namespace daisyarch
