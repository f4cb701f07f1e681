#include "fleet/prefix_watch.h"

#include <utility>

namespace daisyarch::fleet {

namespace {

constexpr Duration kRetry = std::chrono::milliseconds(200);
// A page may have 1 MB, which takes 0.8 s on a link of 10 Mbit/s alone.
constexpr Duration kListPatience = std::chrono::milliseconds(1500);

using Pointer = PrefixWatchPointer;
using ClockFunction = std::function<TimePoint()>;

void Fail(PrefixWatch& watch, const Error& error, TimePoint now) {
  watch.m_next_call_at = now + kRetry;
  if (error.m_code == ErrorCode::kConflict) {
    watch.m_has_listing = false;
    watch.m_next_call_at = now;
  }
  watch.m_on_failure(error);
}

void List(const Pointer& watch, const Store& store,
          const ClockFunction& clock) {
  const std::weak_ptr<PrefixWatch> weak = watch;
  store.m_list(watch->m_prefix, kListPatience,
               [weak, store, clock](Result<StoreListing> result) {
                 const Pointer self = weak.lock();
                 if (!self) return;
                 self->m_is_calling = false;
                 if (!result)
                   return Fail(*self, result.assume_error(), clock());
                 const StoreListing& listing = result.assume_value();
                 self->m_answered_at = clock();
                 // A store that answers from the past must not take anything
                 // back.
                 if (listing.m_as_of < self->m_as_of) {
                   self->m_next_call_at = clock() + kRetry;
                   return;
                 }
                 self->m_as_of = listing.m_as_of;
                 self->m_has_listing = true;
                 self->m_on_listing(listing.m_items);
                 TickWatch(self, store, clock);
               });
}

}  // namespace

void TickWatch(const Pointer& watch, const Store& store,
               const ClockFunction& clock) {
  if (watch->m_is_calling || clock() < watch->m_next_call_at) return;
  watch->m_is_calling = true;
  if (!watch->m_has_listing) return List(watch, store, clock);
  const std::weak_ptr<PrefixWatch> weak = watch;
  store.m_watch(watch->m_prefix, watch->m_as_of, watch->m_wait,
                [weak, store, clock](Result<StoreChanges> result) {
                  const Pointer self = weak.lock();
                  if (!self) return;
                  self->m_is_calling = false;
                  if (!result) {
                    return Fail(*self, result.assume_error(), clock());
                  }
                  const StoreChanges& changes = result.assume_value();
                  self->m_answered_at = clock();
                  self->m_as_of = std::max(self->m_as_of, changes.m_as_of);
                  if (!changes.m_changes.empty()) {
                    self->m_on_changes(changes.m_changes);
                  }
                  TickWatch(self, store, clock);
                });
}

}  // namespace daisyarch::fleet
