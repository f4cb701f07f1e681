#include "models/fleet_store_model.h"

#include <algorithm>

namespace daisyarch {

namespace {

bool HasPrefix(const std::string& key, const std::string& prefix) {
  return key.compare(0, prefix.size(), prefix) == 0;
}

bool IsMet(const FleetStoreModel& store, const StoreExpectation& expectation) {
  const auto found = store.m_entries.find(expectation.m_key);
  const StoreRevision revision = found == store.m_entries.end()
                                     ? StoreRevision()
                                     : found->second.m_revision;
  return revision == expectation.m_revision;
}

std::vector<StoredItem> FindExpectedItems(const FleetStoreModel& store,
                                          const StoreTransaction& transaction) {
  std::vector<StoredItem> items;
  for (const StoreExpectation& expectation : transaction.m_expectations) {
    const auto found = store.m_entries.find(expectation.m_key);
    if (found == store.m_entries.end()) continue;
    items.push_back(
        {found->first, found->second.m_value, found->second.m_revision});
  }
  return items;
}

}  // namespace

void RemoveKey(FleetStoreModel& store, const std::string& key) {
  if (store.m_entries.erase(key) == 0) return;
  store.m_revision = Next(store.m_revision);
  store.m_history.push_back({key, store.m_revision, std::nullopt});
}

void RevokeLease(FleetStoreModel& store, StoreLeaseId lease) {
  store.m_leases.erase(lease);
  std::vector<std::string> keys;
  for (const auto& [key, entry] : store.m_entries) {
    if (entry.m_lease == lease) keys.push_back(key);
  }
  for (const std::string& key : keys) RemoveKey(store, key);
}

void ExpireLeases(FleetStoreModel& store, TimePoint now) {
  std::vector<StoreLeaseId> expired;
  for (const auto& [id, lease] : store.m_leases) {
    if (lease.m_ends_at <= now) expired.push_back(id);
  }
  for (const StoreLeaseId& id : expired) RevokeLease(store, id);
}

bool HasLeases(const FleetStoreModel& store,
               const StoreTransaction& transaction) {
  return std::all_of(transaction.m_puts.begin(), transaction.m_puts.end(),
                     [&store](const StorePut& put) {
                       return put.m_lease == StoreLeaseId() ||
                              store.m_leases.count(put.m_lease) > 0;
                     });
}

TransactionResult Apply(FleetStoreModel& store,
                        const StoreTransaction& transaction) {
  TransactionResult result;
  for (const StoreExpectation& expectation : transaction.m_expectations) {
    if (IsMet(store, expectation)) continue;
    result.m_current_items = FindExpectedItems(store, transaction);
    return result;
  }
  store.m_revision = Next(store.m_revision);
  for (const StorePut& put : transaction.m_puts) {
    store.m_entries[put.m_key] = {put.m_value, store.m_revision, put.m_lease};
    store.m_history.push_back({put.m_key, store.m_revision, put.m_value});
  }
  for (const std::string& key : transaction.m_removals) RemoveKey(store, key);
  result.m_is_applied = true;
  result.m_revision = store.m_revision;
  if (!transaction.m_puts.empty()) {
    result.m_revision =
        store.m_entries[transaction.m_puts.front().m_key].m_revision;
  }
  return result;
}

StoreListing List(const FleetStoreModel& store, const std::string& prefix) {
  StoreListing listing;
  listing.m_as_of = store.m_revision;
  for (const auto& [key, entry] : store.m_entries) {
    if (!HasPrefix(key, prefix)) continue;
    listing.m_items.push_back({key, entry.m_value, entry.m_revision});
  }
  return listing;
}

Result<StoreChanges> ChangesAfter(const FleetStoreModel& store,
                                  const std::string& prefix,
                                  StoreRevision after) {
  if (after < store.m_compacted_revision) {
    return Error{ErrorCode::kConflict, "watch", prefix, "history is gone"};
  }
  StoreChanges changes;
  changes.m_as_of = store.m_revision;
  for (const StoreChange& change : store.m_history) {
    if (change.m_revision <= after) continue;
    if (HasPrefix(change.m_key, prefix)) changes.m_changes.push_back(change);
  }
  return changes;
}

StoreLeaseId GrantLease(FleetStoreModel& store, Duration term, TimePoint now) {
  const StoreLeaseId lease(store.m_next_lease++);
  store.m_leases[lease] = {term, now + term};
  return lease;
}

Result<StoreLeaseId> RenewLease(FleetStoreModel& store, StoreLeaseId lease,
                                TimePoint now) {
  const auto found = store.m_leases.find(lease);
  if (found == store.m_leases.end()) {
    return Error{ErrorCode::kNotFound, "renew lease", "store", "ended"};
  }
  found->second.m_ends_at = now + found->second.m_term;
  return lease;
}

}  // namespace daisyarch
