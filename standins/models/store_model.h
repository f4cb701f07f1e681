#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "base/time.h"
#include "platform/platform.h"

namespace daisyarch {

/// A lease of the stand-in store.
struct StoreLease {
  Duration m_term{};
  TimePoint m_expires_at{};
};

struct StoredValue {
  StoreEntry m_entry;
  StoreLeaseId m_lease;
};

/// A model of the platform's key-value service.
struct StoreModel {
  std::map<std::string, StoredValue> m_values;
  std::map<StoreLeaseId, StoreLease> m_leases;
  std::uint64_t m_revision = 0;
  std::uint64_t m_next_lease = 1;
  std::uint64_t m_reads = 0;   ///< Calls that read, including watches.
  std::uint64_t m_writes = 0;  ///< Calls that write, including leases.
};

/// The size limit of a stored value, in bytes.
constexpr std::size_t kMaximumStoreValueBytes = 1024UL * 1024;

/// Removes expired leases and the keys bound to them.
void ExpireLeases(StoreModel& store, TimePoint now);

StoreEntry ReadValue(StoreModel& store, const std::string& key, TimePoint now);

/// Stores the value if the key still has the expected version. Returns
/// kInvalidArgument for a value over the size limit, and kNotFound for an
/// unknown lease.
Result<SwapResult> SwapValue(StoreModel& store, const std::string& key,
                             StoreVersion expected, const std::string& value,
                             StoreLeaseId lease, TimePoint now);

StoreLeaseId GrantLease(StoreModel& store, Duration term, TimePoint now);

/// Returns kNotFound if the lease has expired or was revoked.
Result<StoreLeaseId> RenewLease(StoreModel& store, StoreLeaseId lease,
                                TimePoint now);
/// Removes a lease and the keys bound to it.
void RevokeLease(StoreModel& store, StoreLeaseId lease);

}  // namespace daisyarch
