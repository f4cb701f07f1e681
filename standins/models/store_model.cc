#include "models/store_model.h"

#include <vector>

namespace daisyarch {

namespace {

void EraseKeysBoundTo(StoreModel& store, StoreLeaseId lease) {
  for (auto value = store.m_values.begin(); value != store.m_values.end();) {
    const bool is_bound = value->second.m_lease == lease;
    value = is_bound ? store.m_values.erase(value) : std::next(value);
  }
}

Error StoreError(ErrorCode code, const std::string& key,
                 const std::string& detail) {
  return Error{code, "write store", key, detail};
}

}  // namespace

void ExpireLeases(StoreModel& store, TimePoint now) {
  std::vector<StoreLeaseId> expired;
  for (const auto& [id, lease] : store.m_leases) {
    if (now >= lease.m_expires_at) expired.push_back(id);
  }
  for (const StoreLeaseId& id : expired) RevokeLease(store, id);
}

StoreEntry ReadValue(StoreModel& store, const std::string& key, TimePoint now) {
  ExpireLeases(store, now);
  ++store.m_reads;
  const auto value = store.m_values.find(key);
  return value == store.m_values.end() ? StoreEntry{} : value->second.m_entry;
}

Result<SwapResult> SwapValue(StoreModel& store, const std::string& key,
                             StoreVersion expected, const std::string& value,
                             StoreLeaseId lease, TimePoint now) {
  ExpireLeases(store, now);
  ++store.m_writes;
  if (value.size() > kMaximumStoreValueBytes) {
    return StoreError(ErrorCode::kInvalidArgument, key, "value over 1 MB");
  }
  if (lease != StoreLeaseId() && store.m_leases.count(lease) == 0) {
    return StoreError(ErrorCode::kNotFound, key, "the lease has lapsed");
  }
  const auto found = store.m_values.find(key);
  const StoreEntry entry =
      found == store.m_values.end() ? StoreEntry{} : found->second.m_entry;
  if (entry.m_version != expected) return SwapResult{false, entry};
  // One counter serves all keys, so that a key that is removed and written
  // again never repeats an earlier version.
  StoredValue& stored = store.m_values[key];
  stored.m_entry = StoreEntry{StoreVersion(++store.m_revision), value};
  stored.m_lease = lease;
  return SwapResult{true, stored.m_entry};
}

StoreLeaseId GrantLease(StoreModel& store, Duration term, TimePoint now) {
  ++store.m_writes;
  const StoreLeaseId lease(store.m_next_lease++);
  store.m_leases[lease] = StoreLease{term, now + term};
  return lease;
}

Result<StoreLeaseId> RenewLease(StoreModel& store, StoreLeaseId lease,
                                TimePoint now) {
  ExpireLeases(store, now);
  ++store.m_writes;
  const auto found = store.m_leases.find(lease);
  if (found == store.m_leases.end()) {
    return StoreError(ErrorCode::kNotFound, std::to_string(lease.value()),
                      "the lease has lapsed");
  }
  found->second.m_expires_at = now + found->second.m_term;
  return lease;
}

void RevokeLease(StoreModel& store, StoreLeaseId lease) {
  store.m_leases.erase(lease);
  EraseKeysBoundTo(store, lease);
}

}  // namespace daisyarch
