#pragma once

#include <map>
#include <string>
#include <vector>

#include "base/time.h"
#include "platform/store.h"

namespace daisyarch {

/// A model of the key-value store of the users' platform: one revision counter
/// for all keys, transactions and leases.
struct FleetStoreModel {
  struct Entry {
    std::string m_value;
    StoreRevision m_revision;
    StoreLeaseId m_lease;
  };
  struct Lease {
    Duration m_term{};
    TimePoint m_ends_at{};
  };

  std::map<std::string, Entry> m_entries;
  std::map<StoreLeaseId, Lease> m_leases;
  std::vector<StoreChange> m_history;
  StoreRevision m_revision{1};
  StoreRevision m_compacted_revision;  ///< History up to here has been dropped.
  std::uint64_t m_next_lease = 1;
};

/// Removes expired leases and the keys bound to them.
void ExpireLeases(FleetStoreModel& store, TimePoint now);

/// Returns whether every lease that the transaction binds a key to exists. The
/// store rejects a transaction without them.
bool HasLeases(const FleetStoreModel& store,
               const StoreTransaction& transaction);
TransactionResult Apply(FleetStoreModel& store,
                        const StoreTransaction& transaction);
StoreListing List(const FleetStoreModel& store, const std::string& prefix);
/// Returns the changes of keys with the prefix after revision `after`, or
/// kConflict if the history after it has been dropped.
Result<StoreChanges> ChangesAfter(const FleetStoreModel& store,
                                  const std::string& prefix,
                                  StoreRevision after);
StoreLeaseId GrantLease(FleetStoreModel& store, Duration term, TimePoint now);
/// Returns kNotFound if the lease has expired or was revoked.
Result<StoreLeaseId> RenewLease(FleetStoreModel& store, StoreLeaseId lease,
                                TimePoint now);
/// Removes a lease and the keys bound to it.
void RevokeLease(FleetStoreModel& store, StoreLeaseId lease);
/// Removes one key, as an operator or the platform itself may.
void RemoveKey(FleetStoreModel& store, const std::string& key);

}  // namespace daisyarch
