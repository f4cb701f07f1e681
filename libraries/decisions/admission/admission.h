#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/result.h"
#include "base/time.h"
#include "decisions/admission/duration_estimate.h"
#include "decisions/configuration/configuration.h"

namespace daisyarch {

/// A request that waits for a slot.
struct WaitingRequest {
  RequestId m_id;
  ClassId m_class;
  MemberId m_member;
  TimePoint m_arrived_at{};
  TimePoint m_deadline{};  ///< The caller's own.
};

/// The waiting requests of one member in one class, oldest first.
struct MemberQueue {
  std::deque<WaitingRequest> m_waiting;
  /// Requests served, counted on a scale that all members of the class
  /// share: one that comes back after a pause starts at the present.
  std::uint64_t m_virtual_time = 0;
};

/// One class: its target, its members' queues and what it uses.
struct ClassQueue {
  ClassTarget m_target;
  std::map<MemberId, MemberQueue> m_members;
  /// The members that have something waiting, by whose turn it is.
  std::set<std::pair<std::uint64_t, MemberId>> m_service_order;
  std::uint64_t m_current_virtual_time = 0;
  std::size_t m_waiting = 0;
  std::int64_t m_in_use = 0;  ///< Slots.
  DurationEstimate m_service_time;
  double m_slot_demand = 0;  ///< Slots; the recent peak of in use and waiting.
  TimePoint m_slot_demand_updated_at{};
};

/// Who waits, and who goes next.
struct Admission {
  std::map<ClassId, ClassQueue> m_classes;
};

/// The most requests of one class that wait in one node.
constexpr std::size_t kMaximumWaitingPerClass = 4096;
/// The time in which a need for slots that is gone fades to half.
constexpr Duration kSlotDemandHalfLife = std::chrono::seconds(10);

/// Takes the operators' targets over; queues of classes that stay are kept.
void ApplyTargets(Admission& admission, const Configuration& configuration);

/// Queues a request, or refuses it before anything was sent. kNotRun when
/// the class cannot answer it within its target; kNotFound for a class
/// without a target; kInvalidArgument for a class of tasks.
Result<void> OfferRequest(Admission& admission, const WaitingRequest& request,
                          Slots slots, TimePoint now);

/// Takes the requests out that can no longer be answered in time.
std::vector<WaitingRequest> TakeLateRequests(Admission& admission,
                                             TimePoint now);

/// The request that goes next when `free` of `slots` slots are free; nothing
/// when the rest is kept for others.
std::optional<WaitingRequest> TakeNextRequest(Admission& admission, Slots free,
                                              Slots slots, TimePoint now);

/// Queues a request again, ahead of its member's others; it holds no slot.
void RequeueRequest(Admission& admission, const WaitingRequest& request);

/// Frees the slot of a request that was taken.
void ReleaseSlot(Admission& admission, const ClassId& class_id);

/// Learns how long an endpoint took.
void RecordServiceTime(Admission& admission, const ClassId& class_id,
                       Duration service_time);

}  // namespace daisyarch
