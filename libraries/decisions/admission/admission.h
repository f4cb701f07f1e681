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
  TimePoint m_deadline{};  ///< Set by the client.
};

/// The waiting requests of one member in one class, oldest first.
struct MemberQueue {
  std::deque<WaitingRequest> m_waiting;
  /// Virtual time: requests served, on a scale shared by all members of the
  /// class. A member that returns after a pause starts at the current virtual
  /// time of the class.
  std::uint64_t m_virtual_time = 0;
};

/// One request class: its target, the queues of its members and its slot use.
struct ClassQueue {
  ClassTarget m_target;
  std::map<MemberId, MemberQueue> m_members;
  /// The members with waiting requests, ordered by virtual time.
  std::set<std::pair<std::uint64_t, MemberId>> m_service_order;
  /// The virtual time of the member served last.
  std::uint64_t m_current_virtual_time = 0;
  std::size_t m_waiting = 0;
  std::int64_t m_in_use = 0;  ///< Slots.
  DurationEstimate m_service_time;
  /// Recent peak of the slots in use plus the requests waiting; it decays with
  /// kSlotDemandHalfLife.
  double m_slot_demand = 0;
  TimePoint m_slot_demand_updated_at{};
};

/// All request classes with their queues.
struct Admission {
  std::map<ClassId, ClassQueue> m_classes;
};

/// Maximum number of waiting requests per class in one node.
constexpr std::size_t kMaximumWaitingPerClass = 4096;
/// Time in which a past peak of slot demand decays to half.
constexpr Duration kSlotDemandHalfLife = std::chrono::seconds(10);

/// Applies the targets of all request classes; existing queues are kept.
void ApplyTargets(Admission& admission, const Configuration& configuration);

/// Queues a request, or refuses it before anything is sent. `slots` is the
/// number of slots that the node is entitled to. Returns kNotRun when the queue
/// has no capacity left for the member, or when the request would have to wait
/// and its answer is expected after its deadline or the class target; kNotFound
/// when the class has no request target.
Result<void> OfferRequest(Admission& admission, const WaitingRequest& request,
                          Slots slots, TimePoint now);

/// Removes and returns the requests that can no longer be answered in time.
std::vector<WaitingRequest> TakeLateRequests(Admission& admission,
                                             TimePoint now);

/// Removes and returns the request to send next when `free` of `slots` slots
/// are free. Returns nothing when no request waits or when the free slots are
/// guaranteed to other classes.
std::optional<WaitingRequest> TakeNextRequest(Admission& admission, Slots free,
                                              Slots slots, TimePoint now);

/// Queues a request again, ahead of the member's other requests. The request
/// must hold no slot.
void RequeueRequest(Admission& admission, const WaitingRequest& request);

/// Releases the slot of a request that TakeNextRequest returned.
void ReleaseSlot(Admission& admission, const ClassId& class_id);

/// Updates the service time estimate of a class with the time that an endpoint
/// took to answer.
void RecordServiceTime(Admission& admission, const ClassId& class_id,
                       Duration service_time);

}  // namespace daisyarch
