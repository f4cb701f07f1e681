#include "fleet/prefix_watch.h"

#include <utility>

namespace daisyarch::fleet {

namespace {

constexpr Duration kRetryDelay = std::chrono::milliseconds(200);

using Pointer = PrefixWatchPointer;
using ClockFunction = std::function<TimePoint()>;

void HandleFailure(PrefixWatch& watch, const Error& error, TimePoint now) {
  watch.m_next_call_at = now + kRetryDelay;
  if (error.m_code == ErrorCode::kConflict) {
    watch.m_has_listing = false;
    watch.m_next_call_at = now;
  }
  watch.m_on_failure(error);
}

void FinishCall(const Pointer& watch, const Store& store,
                const ClockFunction& clock) {
  watch->m_known_at = watch->m_sent_at;
  watch->m_next_call_at = watch->m_sent_at + watch->m_interval;
  watch->m_on_answer();
  TickWatch(watch, store, clock);
}

void ListPrefix(const Pointer& watch, const Store& store,
                const ClockFunction& clock) {
  const std::weak_ptr<PrefixWatch> weak = watch;
  store.m_list(watch->m_prefix, watch->m_list_timeout,
               [weak, store, clock](Result<StoreListing> result) {
                 const Pointer self = weak.lock();
                 if (!self) return;
                 self->m_is_call_in_flight = false;
                 if (!result)
                   return HandleFailure(*self, result.assume_error(), clock());
                 const StoreListing& listing = result.assume_value();
                 self->m_answered_at = clock();
                 // A stale answer must not undo changes that were already
                 // seen.
                 if (listing.m_as_of < self->m_as_of) {
                   self->m_next_call_at = clock() + kRetryDelay;
                   return;
                 }
                 self->m_as_of = listing.m_as_of;
                 self->m_has_listing = true;
                 self->m_on_listing(listing.m_items);
                 FinishCall(self, store, clock);
               });
}

}  // namespace

void TickWatch(const Pointer& watch, const Store& store,
               const ClockFunction& clock) {
  if (watch->m_is_call_in_flight || clock() < watch->m_next_call_at) return;
  watch->m_is_call_in_flight = true;
  watch->m_sent_at = clock();
  if (!watch->m_has_listing) return ListPrefix(watch, store, clock);
  const std::weak_ptr<PrefixWatch> weak = watch;
  store.m_watch(watch->m_prefix, watch->m_as_of, watch->m_wait,
                [weak, store, clock](Result<StoreChanges> result) {
                  const Pointer self = weak.lock();
                  if (!self) return;
                  self->m_is_call_in_flight = false;
                  if (!result) {
                    return HandleFailure(*self, result.assume_error(), clock());
                  }
                  const StoreChanges& changes = result.assume_value();
                  self->m_answered_at = clock();
                  self->m_as_of = std::max(self->m_as_of, changes.m_as_of);
                  if (!changes.m_changes.empty()) {
                    self->m_on_changes(changes.m_changes);
                  }
                  FinishCall(self, store, clock);
                });
}

}  // namespace daisyarch::fleet
