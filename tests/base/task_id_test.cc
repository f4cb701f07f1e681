#include "base/task_id.h"

#include <catch2/catch.hpp>

namespace daisyarch {

TEST_CASE("A formatted task id parses to the same task id") {
  const TaskId task{JobId(0xfedcba9876543210ULL), 42};
  const auto parsed = ParseTaskId(ToString(task));
  REQUIRE(parsed);
  CHECK(parsed.assume_value() == task);
}

TEST_CASE("Malformed task ids are rejected") {
  for (const char* text :
       {"", ".", "12.3", "00000000000000zz.1", "0000000000000001.",
        "0000000000000001.-1", "0000000000000001.1x"}) {
    const auto parsed = ParseTaskId(text);
    REQUIRE(!parsed);
    CHECK(parsed.assume_error().m_code == ErrorCode::kInvalidArgument);
  }
}

TEST_CASE("Job ids differ when only the split between member and key differs") {
  CHECK(DeriveJobId(MemberId("a"), IdempotencyKey("bc")) !=
        DeriveJobId(MemberId("ab"), IdempotencyKey("c")));
}

}  // namespace daisyarch
