#include "decisions/admission/admission.h"

#include <catch2/catch.hpp>

namespace daisyarch {

namespace {

constexpr Slots kSlots{40};
constexpr TimePoint kStart{std::chrono::seconds(1)};

ClassTarget MakeTarget(const std::string& name, Duration within,
                       std::int64_t keep) {
  ClassTarget target;
  target.m_class = ClassId(name);
  target.m_within = within;
  target.m_keep_percent = keep;
  return target;
}

Admission MakeAdmission() {
  Configuration configuration;
  configuration.m_classes = {
      MakeTarget("quotes", std::chrono::milliseconds(500), 60),
      MakeTarget("reports", std::chrono::seconds(5), 30)};
  Admission admission;
  ApplyTargets(admission, configuration);
  return admission;
}

WaitingRequest MakeRequest(std::uint64_t id, const std::string& class_name,
                           const std::string& member, TimePoint now) {
  return WaitingRequest{RequestId(id), ClassId(class_name), MemberId(member),
                        now, now + std::chrono::seconds(30)};
}

}  // namespace

TEST_CASE("A request of a class without a target is refused as not found") {
  Admission admission = MakeAdmission();
  const auto refused = OfferRequest(
      admission, MakeRequest(1, "nothing", "m", kStart), kSlots, kStart);
  REQUIRE(!refused);
  CHECK(refused.assume_error().m_code == ErrorCode::kNotFound);
}

TEST_CASE(
    "Members are served in turn, however many requests one of them sends") {
  Admission admission = MakeAdmission();
  std::uint64_t id = 0;
  for (int index = 0; index < 500; ++index) {
    REQUIRE(OfferRequest(admission,
                         MakeRequest(++id, "quotes", "flood", kStart), kSlots,
                         kStart));
  }
  for (int index = 0; index < 10; ++index) {
    REQUIRE(OfferRequest(admission,
                         MakeRequest(++id, "quotes", "small", kStart), kSlots,
                         kStart));
  }
  int small = 0;
  for (int index = 0; index < 20; ++index) {
    const auto next = TakeNextRequest(admission, kSlots, kSlots, kStart);
    REQUIRE(next);
    if (next->m_member == MemberId("small")) ++small;
    ReleaseSlot(admission, ClassId("quotes"));
  }
  CHECK(small == 10);
}

TEST_CASE("An overloaded class leaves another its guaranteed slots") {
  Admission admission = MakeAdmission();
  std::uint64_t id = 0;
  // The class "reports" recently needed ten slots.
  for (int index = 0; index < 10; ++index) {
    REQUIRE(OfferRequest(admission, MakeRequest(++id, "reports", "m", kStart),
                         kSlots, kStart));
    REQUIRE(TakeNextRequest(admission, kSlots, kSlots, kStart));
  }
  for (int index = 0; index < 10; ++index) {
    ReleaseSlot(admission, ClassId("reports"));
  }
  for (int index = 0; index < 200; ++index) {
    REQUIRE(OfferRequest(admission, MakeRequest(++id, "quotes", "m", kStart),
                         kSlots, kStart));
  }
  Slots free = kSlots;
  while (TakeNextRequest(admission, free, kSlots, kStart)) free -= Slots(1);
  // 30 percent of 40 slots are guaranteed; ten of them were needed recently.
  CHECK(free == Slots(10));
  REQUIRE(OfferRequest(admission, MakeRequest(++id, "reports", "m", kStart),
                       kSlots, kStart));
  const auto next = TakeNextRequest(admission, free, kSlots, kStart);
  REQUIRE(next);
  CHECK(next->m_class == ClassId("reports"));
}

TEST_CASE("A request that would be answered late is refused on arrival") {
  Admission admission = MakeAdmission();
  for (int index = 0; index < 100; ++index) {
    RecordServiceTime(admission, ClassId("quotes"),
                      std::chrono::milliseconds(100));
  }
  std::uint64_t id = 0;
  int accepted = 0;
  while (OfferRequest(admission, MakeRequest(++id, "quotes", "m", kStart),
                      kSlots, kStart)) {
    ++accepted;
  }
  // 24 guaranteed slots serve about 240 requests per second, so that about 120
  // are answered within 500 ms.
  CHECK(accepted > 60);
  CHECK(accepted < 130);
}

TEST_CASE(
    "A waiting request that can no longer be answered in time is removed") {
  Admission admission = MakeAdmission();
  REQUIRE(OfferRequest(admission, MakeRequest(1, "quotes", "m", kStart), kSlots,
                       kStart));
  CHECK(TakeLateRequests(admission, kStart + std::chrono::milliseconds(499))
            .empty());
  CHECK(TakeLateRequests(admission, kStart + std::chrono::milliseconds(501))
            .size() == 1);
  CHECK(!TakeNextRequest(admission, kSlots, kSlots, kStart));
}

}  // namespace daisyarch
