#include <utility>

#include "fleet/leader.h"
#include "log/log.h"

namespace daisyarch::fleet {

namespace {

// The age of the listing is limited, so calls are short, and one on a dead
// connection times out early enough for another.
constexpr Duration kListingWait = std::chrono::milliseconds(300);
constexpr Duration kListingInterval = std::chrono::milliseconds(100);
constexpr Duration kListingTimeout = std::chrono::milliseconds(700);
// Entries that name no worker are kept for the log only.
constexpr std::size_t kMaximumUnreadableEntries = 1000;

TimePoint Now(const Leader& leader) { return leader.m_runtime.m_clock.m_now(); }

// Logs one line when listings start to fail and one when they work again.
void RecordListingFailure(Leader& leader, const Error& error) {
  if (!leader.m_last_listing_succeeded) return;
  leader.m_last_listing_succeeded = false;
  LogError("worker_listing_lost", error);
}

void RecordListingSuccess(Leader& leader) {
  if (leader.m_last_listing_succeeded) return;
  leader.m_last_listing_succeeded = true;
  LogEvent(
      LogLevel::kInfo, "worker_listing_regained",
      {{"age_ms", ToMilliseconds(Now(leader) - leader.m_fleet.m_listed_at)},
       {"store_revision", leader.m_workers_watch->m_as_of.value()}});
}

// Logs one line when the number of entries that name no worker changes.
void LogUnreadableEntries(const Leader& leader, std::size_t before) {
  const std::set<std::string>& entries = leader.m_unreadable_entries;
  if (entries.size() == before) return;
  if (entries.empty())
    return LogEvent(LogLevel::kInfo, "worker_entries_readable", {});
  LogEvent(
      LogLevel::kWarning, "worker_entries_unreadable",
      {{"count", std::uint64_t{entries.size()}}, {"first", *entries.begin()}});
}

// Reads the entries and records which of them name no worker.
std::vector<ListedWorker> ReadEntries(Leader& leader,
                                      const std::vector<StoredItem>& items) {
  const auto& codec = leader.m_runtime.m_codec;
  std::vector<ListedWorker> workers = codec.m_read_workers(items);
  // The workers are in the order of their entries.
  auto next = workers.begin();
  for (const StoredItem& item : items) {
    const bool is_read =
        next != workers.end() &&
        item.m_key == codec.m_worker_prefix + next->m_worker.value();
    if (is_read) {
      ++next;
      leader.m_unreadable_entries.erase(item.m_key);
    } else if (leader.m_unreadable_entries.size() < kMaximumUnreadableEntries) {
      leader.m_unreadable_entries.insert(item.m_key);
    }
  }
  return workers;
}

void ApplyWorkerListing(Leader& leader, const std::vector<StoredItem>& items) {
  const std::size_t unreadable = leader.m_unreadable_entries.size();
  leader.m_unreadable_entries.clear();
  const auto workers = ReadEntries(leader, items);
  LogUnreadableEntries(leader, unreadable);
  ApplyListing(leader.m_fleet, workers, leader.m_workers_watch->m_sent_at,
               Now(leader));
  leader.m_has_worker_listing = true;
}

// An entry that names no worker counts as removed.
void ApplyWorkerChanges(Leader& leader,
                        const std::vector<StoreChange>& changes) {
  const std::string& prefix = leader.m_runtime.m_codec.m_worker_prefix;
  const std::size_t unreadable = leader.m_unreadable_entries.size();
  for (const StoreChange& change : changes) {
    if (change.m_key.size() <= prefix.size()) continue;
    ListedChange listed{WorkerId(change.m_key.substr(prefix.size())),
                        std::nullopt};
    if (change.m_value) {
      auto entries = ReadEntries(
          leader, {{change.m_key, *change.m_value, change.m_revision}});
      if (!entries.empty()) listed.m_entry = std::move(entries.front());
    } else {
      leader.m_unreadable_entries.erase(change.m_key);
    }
    leader.m_worker_changes.push_back(std::move(listed));
  }
  LogUnreadableEntries(leader, unreadable);
}

void FinishWorkerCall(const LeaderPointer& leader) {
  RecordListingSuccess(*leader);
  const auto changes = std::move(leader->m_worker_changes);
  leader->m_worker_changes.clear();
  ApplyListingChanges(leader->m_fleet, changes,
                      leader->m_workers_watch->m_sent_at, Now(*leader));
  RequestSchedulingPass(leader);
}

}  // namespace

void StartWorkersWatch(const LeaderPointer& leader) {
  auto watch = std::make_shared<PrefixWatch>();
  watch->m_prefix = leader->m_runtime.m_codec.m_worker_prefix;
  watch->m_wait = kListingWait;
  watch->m_interval = kListingInterval;
  watch->m_list_timeout = kListingTimeout;
  const std::weak_ptr<Leader> weak = leader;
  watch->m_on_listing = [weak](const std::vector<StoredItem>& items) {
    const LeaderPointer self = weak.lock();
    if (self) ApplyWorkerListing(*self, items);
  };
  watch->m_on_changes = [weak](const std::vector<StoreChange>& changes) {
    const LeaderPointer self = weak.lock();
    if (self) ApplyWorkerChanges(*self, changes);
  };
  watch->m_on_answer = [weak] {
    const LeaderPointer self = weak.lock();
    if (self) FinishWorkerCall(self);
  };
  watch->m_on_failure = [weak](const Error& error) {
    const LeaderPointer self = weak.lock();
    if (!self) return;
    RecordListingFailure(*self, error);
    // Watches may fail where a listing does not.
    self->m_workers_watch->m_has_listing = false;
  };
  leader->m_workers_watch = std::move(watch);
}

}  // namespace daisyarch::fleet
