#pragma once

#include <map>
#include <string>
#include <vector>

#include "base/time.h"
#include "platform/store.h"

namespace daisyarch {

/// A key-value store with one revision counter, transactions and leases, as
/// the users' platform runs one.
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
  StoreRevision m_compacted_revision;  ///< History up to here is gone.
  std::uint64_t m_next_lease = 1;
};

/// Removes the keys of leases that are over.
void ExpireLeases(FleetStoreModel& store, TimePoint now);

TransactionResult Apply(FleetStoreModel& store,
                        const StoreTransaction& transaction);
StoreListing List(const FleetStoreModel& store, const std::string& prefix);
/// kConflict when the history after `after` is gone.
Result<StoreChanges> ChangesAfter(const FleetStoreModel& store,
                                  const std::string& prefix,
                                  StoreRevision after);
StoreLeaseId GrantLease(FleetStoreModel& store, Duration term, TimePoint now);
/// kNotFound when the lease has ended.
Result<StoreLeaseId> RenewLease(FleetStoreModel& store, StoreLeaseId lease,
                                TimePoint now);
void RevokeLease(FleetStoreModel& store, StoreLeaseId lease);
/// Removes one key, as an operator or the platform itself may.
void RemoveKey(FleetStoreModel& store, const std::string& key);

}  // namespace daisyarch
