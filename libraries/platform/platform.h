#pragma once

#include <functional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/resources.h"
#include "base/result.h"
#include "base/time.h"

namespace daisyarch {

/// The value and version of a store key; version 0 means that it is absent.
struct StoreEntry {
  StoreVersion m_version;
  std::string m_value;
};

/// The result of a compare-and-swap; `m_entry` is the entry after the call.
struct SwapResult {
  bool m_is_swapped = false;
  StoreEntry m_entry;
};

/// A worker in the platform's host list, which may be out of date.
struct ListedWorker {
  WorkerId m_worker;
  std::string m_address;
  FailureDomainId m_failure_domain;
  std::string m_rack;
  Resources m_capacity;
  bool m_is_leaving = false;
};

/// An endpoint in the platform's host list, which may be out of date.
struct ListedEndpoint {
  EndpointId m_endpoint;
  std::string m_address;
  FailureDomainId m_failure_domain;
  Slots m_slots;
  bool m_is_leaving = false;
};

struct HostList {
  std::vector<ListedWorker> m_workers;
  std::vector<ListedEndpoint> m_endpoints;
};

/// Receives the result of a call. kUnavailable: the call had no effect.
/// kOutcomeUnknown: the call may have taken effect, or may still do so.
template <typename Value>
using PlatformCallback = std::function<void(Result<Value>)>;

/// The platform's store and host list: the real service over HTTP, or a fake.
struct Platform {
  std::function<void(const std::string& key, PlatformCallback<StoreEntry>)>
      m_read;
  /// Writes the value if the key's version is `expected`. If `lease` is not 0,
  /// the key is removed when the lease ends.
  std::function<void(const std::string& key, StoreVersion expected,
                     std::string value, StoreLeaseId lease,
                     PlatformCallback<SwapResult>)>
      m_compare_and_swap;
  /// Completes once the key's version is greater than `known`, or after `wait`
  /// with the current entry.
  std::function<void(const std::string& key, StoreVersion known, Duration wait,
                     PlatformCallback<StoreEntry>)>
      m_watch;
  std::function<void(Duration term, PlatformCallback<StoreLeaseId>)>
      m_grant_lease;
  /// kNotFound if the lease has ended.
  std::function<void(StoreLeaseId lease, PlatformCallback<StoreLeaseId>)>
      m_renew_lease;
  std::function<void(StoreLeaseId lease, PlatformCallback<StoreLeaseId>)>
      m_revoke_lease;
  std::function<void(PlatformCallback<HostList>)> m_list_hosts;
};

}  // namespace daisyarch
