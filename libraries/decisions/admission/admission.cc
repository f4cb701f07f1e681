#include "decisions/admission/admission.h"

#include <algorithm>
#include <cmath>

namespace daisyarch {

namespace {

constexpr double kPercent = 100;

// Adds a member to the service order, at the current virtual time at the
// earliest: a pause earns no credit that could be spent in a burst.
MemberQueue& Activate(ClassQueue& queue, const MemberId& member) {
  MemberQueue& entry = queue.m_members[member];
  if (!entry.m_waiting.empty()) return entry;
  entry.m_virtual_time =
      std::max(entry.m_virtual_time, queue.m_current_virtual_time);
  queue.m_service_order.emplace(entry.m_virtual_time, member);
  return entry;
}

// Removes a member without waiting requests from the service order, and forgets
// it unless its virtual time is ahead of the current one.
void Deactivate(ClassQueue& queue, const MemberId& member) {
  const auto entry = queue.m_members.find(member);
  if (!entry->second.m_waiting.empty()) return;
  queue.m_service_order.erase({entry->second.m_virtual_time, member});
  if (entry->second.m_virtual_time <= queue.m_current_virtual_time) {
    queue.m_members.erase(entry);
  }
}

void UpdateSlotDemand(ClassQueue& queue, TimePoint now) {
  const double elapsed =
      static_cast<double>((now - queue.m_slot_demand_updated_at).count());
  const double half_lives =
      elapsed / static_cast<double>(kSlotDemandHalfLife.count());
  queue.m_slot_demand *= std::exp2(-half_lives);
  queue.m_slot_demand_updated_at = now;
  const double present = static_cast<double>(queue.m_in_use) +
                         static_cast<double>(queue.m_waiting);
  queue.m_slot_demand = std::max(queue.m_slot_demand, present);
}

double GuaranteedSlots(const ClassQueue& queue, Slots slots) {
  return static_cast<double>(slots.value() * queue.m_target.m_keep_percent) /
         kPercent;
}

bool IsBelowGuaranteedShare(const ClassQueue& queue, Slots slots) {
  return static_cast<double>(queue.m_in_use) < GuaranteedSlots(queue, slots);
}

// Returns the slots that are guaranteed to the other classes, were needed by
// them recently and are not in use.
double UnusedGuaranteesOfOthers(const Admission& admission,
                                const ClassId& class_id, Slots slots) {
  double guaranteed = 0;
  for (const auto& [other_id, other] : admission.m_classes) {
    if (other_id == class_id) continue;
    const double wanted =
        std::min(GuaranteedSlots(other, slots), other.m_slot_demand);
    guaranteed += std::max(0.0, wanted - static_cast<double>(other.m_in_use));
  }
  return guaranteed;
}

bool MayDispatch(const Admission& admission, const ClassQueue& queue,
                 Slots free, Slots slots) {
  if (IsBelowGuaranteedShare(queue, slots)) return true;
  const double guaranteed =
      UnusedGuaranteesOfOthers(admission, queue.m_target.m_class, slots);
  return static_cast<double>(free.value()) - 1 >= std::floor(guaranteed);
}

const WaitingRequest& NextRequest(const ClassQueue& queue) {
  const MemberId& member = queue.m_service_order.begin()->second;
  return queue.m_members.at(member).m_waiting.front();
}

// Returns the fraction of the class target that the next request will have used
// when it is answered, if it is sent now. The class closest to missing its
// target is served first.
double Urgency(const ClassQueue& queue, TimePoint now) {
  const Duration age = now - NextRequest(queue).m_arrived_at;
  const Duration service = Mean(queue.m_service_time);
  return static_cast<double>((age + service).count()) /
         static_cast<double>(queue.m_target.m_within.count());
}

ClassQueue* ChooseClass(Admission& admission, Slots free, Slots slots,
                        TimePoint now) {
  ClassQueue* best = nullptr;
  bool best_is_below_share = false;
  double best_urgency = 0;
  for (auto& [class_id, queue] : admission.m_classes) {
    if (queue.m_waiting == 0) continue;
    if (!MayDispatch(admission, queue, free, slots)) continue;
    const bool is_below_share = IsBelowGuaranteedShare(queue, slots);
    const double urgency = Urgency(queue, now);
    const bool is_better =
        best == nullptr || (is_below_share && !best_is_below_share) ||
        (is_below_share == best_is_below_share && urgency > best_urgency);
    if (!is_better) continue;
    best = &queue;
    best_is_below_share = is_below_share;
    best_urgency = urgency;
  }
  return best;
}

WaitingRequest TakeFirstRequest(ClassQueue& queue) {
  const auto [virtual_time, member] = *queue.m_service_order.begin();
  MemberQueue& entry = queue.m_members.at(member);
  WaitingRequest request = std::move(entry.m_waiting.front());
  entry.m_waiting.pop_front();
  --queue.m_waiting;
  queue.m_current_virtual_time = virtual_time;
  queue.m_service_order.erase(queue.m_service_order.begin());
  ++entry.m_virtual_time;
  if (entry.m_waiting.empty()) {
    queue.m_service_order.emplace(entry.m_virtual_time, member);
    Deactivate(queue, member);
  } else {
    queue.m_service_order.emplace(entry.m_virtual_time, member);
  }
  return request;
}

// Members are served in turn, so the Nth waiting request of a member waits for
// at most N requests of each other member.
std::size_t RequestsAhead(const ClassQueue& queue, const MemberId& member) {
  const auto entry = queue.m_members.find(member);
  const std::size_t position =
      entry == queue.m_members.end() ? 0 : entry->second.m_waiting.size();
  const std::size_t members =
      queue.m_service_order.size() + (position == 0 ? 1 : 0);
  return std::min(queue.m_waiting, (position + 1) * members - 1);
}

// A member may queue a request only while it has fewer waiting than the queue
// has free places. A member that overloads the class thereby takes at most half
// of the queue and leaves capacity for the others.
bool HasQueueCapacity(const ClassQueue& queue, const MemberId& member) {
  const auto entry = queue.m_members.find(member);
  const std::size_t waiting =
      entry == queue.m_members.end() ? 0 : entry->second.m_waiting.size();
  const std::size_t available =
      kMaximumWaitingPerClass -
      std::min(kMaximumWaitingPerClass, queue.m_waiting);
  return waiting < available;
}

// Returns the slots that the class can count on: its guaranteed share or the
// slots that it uses now, whichever is more, but at least one.
double ExpectedSlots(const ClassQueue& queue, Slots slots) {
  const double guaranteed = GuaranteedSlots(queue, slots);
  return std::max({1.0, guaranteed, static_cast<double>(queue.m_in_use)});
}

Duration ExpectedWait(const ClassQueue& queue, const MemberId& member,
                      Slots slots) {
  const auto ahead = static_cast<double>(RequestsAhead(queue, member));
  const auto service = static_cast<double>(Mean(queue.m_service_time).count());
  const double wait = ahead * service / ExpectedSlots(queue, slots);
  return Duration(static_cast<Duration::rep>(wait));
}

// Returns the earlier of the class target and the client's deadline.
TimePoint AnswerDeadline(const ClassQueue& queue,
                         const WaitingRequest& request) {
  return std::min(request.m_arrived_at + queue.m_target.m_within,
                  request.m_deadline);
}

// Returns true when a request has waited and would miss its deadline even if it
// were sent now; sending it would only delay those behind it.
bool WillBeLate(const ClassQueue& queue, const WaitingRequest& request,
                TimePoint now) {
  return now + UpperBound(queue.m_service_time) >
             AnswerDeadline(queue, request) &&
         now > request.m_arrived_at;
}

void TakeLateRequestsOfClass(ClassQueue& queue, TimePoint now,
                             std::vector<WaitingRequest>& late) {
  std::vector<MemberId> members;
  for (const auto& [virtual_time, member] : queue.m_service_order)
    members.push_back(member);
  for (const MemberId& member : members) {
    MemberQueue& entry = queue.m_members.at(member);
    while (!entry.m_waiting.empty() &&
           WillBeLate(queue, entry.m_waiting.front(), now)) {
      late.push_back(std::move(entry.m_waiting.front()));
      entry.m_waiting.pop_front();
      --queue.m_waiting;
    }
    Deactivate(queue, member);
  }
}

Error MakeRefusal(ErrorCode code, const WaitingRequest& request,
                  const std::string& detail) {
  return Error{code, "admit request", request.m_member.value(), detail};
}

}  // namespace

void ApplyTargets(Admission& admission, const Configuration& configuration) {
  for (const ClassTarget& target : configuration.m_classes) {
    if (target.m_kind != ClassKind::kRequest) continue;
    admission.m_classes[target.m_class].m_target = target;
  }
}

Result<void> OfferRequest(Admission& admission, const WaitingRequest& request,
                          Slots slots, TimePoint now) {
  const auto found = admission.m_classes.find(request.m_class);
  if (found == admission.m_classes.end()) {
    return MakeRefusal(
        ErrorCode::kNotFound, request,
        "class \"" + request.m_class.value() + "\" has no request target");
  }
  ClassQueue& queue = found->second;
  if (!HasQueueCapacity(queue, request.m_member)) {
    return MakeRefusal(ErrorCode::kNotRun, request,
                       "too many requests of this member are waiting");
  }
  const Duration wait = ExpectedWait(queue, request.m_member, slots);
  const TimePoint answered = now + wait + UpperBound(queue.m_service_time);
  if (wait > Duration::zero() && answered > AnswerDeadline(queue, request)) {
    return MakeRefusal(
        ErrorCode::kNotRun, request,
        "expected answer would miss the class target or the deadline");
  }
  Activate(queue, request.m_member).m_waiting.push_back(request);
  ++queue.m_waiting;
  UpdateSlotDemand(queue, now);
  return Success();
}

std::vector<WaitingRequest> TakeLateRequests(Admission& admission,
                                             TimePoint now) {
  std::vector<WaitingRequest> late;
  for (auto& [class_id, queue] : admission.m_classes) {
    if (queue.m_waiting > 0) TakeLateRequestsOfClass(queue, now, late);
  }
  return late;
}

std::optional<WaitingRequest> TakeNextRequest(Admission& admission, Slots free,
                                              Slots slots, TimePoint now) {
  if (free <= Slots()) return std::nullopt;
  for (auto& [class_id, queue] : admission.m_classes)
    UpdateSlotDemand(queue, now);
  ClassQueue* queue = ChooseClass(admission, free, slots, now);
  if (queue == nullptr) return std::nullopt;
  ++queue->m_in_use;
  return TakeFirstRequest(*queue);
}

void RequeueRequest(Admission& admission, const WaitingRequest& request) {
  ClassQueue& queue = admission.m_classes.at(request.m_class);
  Activate(queue, request.m_member).m_waiting.push_front(request);
  ++queue.m_waiting;
}

void ReleaseSlot(Admission& admission, const ClassId& class_id) {
  --admission.m_classes.at(class_id).m_in_use;
}

void RecordServiceTime(Admission& admission, const ClassId& class_id,
                       Duration service_time) {
  AddSample(admission.m_classes.at(class_id).m_service_time, service_time);
}

}  // namespace daisyarch
