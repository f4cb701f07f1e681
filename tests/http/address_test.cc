#include "http/address.h"

#include <catch2/catch.hpp>

namespace daisyarch {

TEST_CASE("An address is an IP address and a port in range") {
  for (const char* text : {"10.128.0.9:8080", "127.0.0.1:1", "0.0.0.0:65535",
                           "::1:80", "fd00::A:8080"}) {
    INFO(text);
    const auto address = ParseAddress(text);
    REQUIRE(address);
    CHECK(ToString(address.assume_value()) == text);
  }
  for (const char* text : {"",
                           ":",
                           "10.1.1.1",
                           "10.1.1.1:",
                           ":8080",
                           "10.1.1.1:0",
                           "10.1.1.1:-1",
                           "10.1.1.1:+1",
                           "10.1.1.1:65536",
                           "10.1.1.1:99999999999",
                           "10.1.1.1:80 ",
                           "10.1.1.1: 80",
                           " 10.1.1.1:80",
                           "10.1.1.1 :80",
                           "10.1.1.1:http",
                           "10.1.1.1:1.5",
                           "10.1.1.1:0x50",
                           "10.1.1.256:80",
                           "10.1.1:80",
                           "worker.example:80",
                           "localhost:80"}) {
    INFO(text);
    CHECK_FALSE(ParseAddress(text));
  }
}

// Guards against text behind an address that the system's parser ignores, and
// that would be sent as part of the Host header.
TEST_CASE("An address with text that is not part of it is malformed") {
  const std::string with_zero("10.1.1.1\0.example:80", 20);
  for (const std::string& text :
       {with_zero, std::string("fe80::1%lo:80"),
        std::string("fe80::1%a\r\nb:80"), std::string("::1%1:80")}) {
    INFO(text);
    CHECK_FALSE(ParseAddress(text));
  }
}

}  // namespace daisyarch
