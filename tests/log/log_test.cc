#include "log/log.h"

#include <catch2/catch.hpp>

namespace daisyarch {

TEST_CASE("A log line holds key=value pairs, quoted where needed") {
  CHECK(FormatLogLine(LogLevel::kInfo, "started",
                      {{"node", "n1"}, {"count", std::int64_t{3}}}) ==
        "level=info event=started node=n1 count=3");
  CHECK(FormatLogLine(LogLevel::kError, "failed",
                      {{"detail", "a \"b\"\nc=d"}, {"peer", ""}}) ==
        "level=error event=failed detail=\"a \\\"b\\\"\\nc=d\" peer=\"\"");
}

}  // namespace daisyarch
