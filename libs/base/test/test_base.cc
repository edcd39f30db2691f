#include <catch2/catch.hpp>

#include "quetzalhinge/base/error.h"
#include "quetzalhinge/base/hash.h"
#include "quetzalhinge/base/ip_endpoint.h"
#include "quetzalhinge/base/random_id.h"

namespace qh {
namespace {

TEST_CASE("An endpoint is an IPv4 address and a port") {
  SECTION("a well-formed text is accepted") {
    const auto endpoint = ParseIpEndpoint("127.0.1.2:8000");
    REQUIRE(endpoint.has_value());
    CHECK(ToString(*endpoint) == "127.0.1.2:8000");
    CHECK(FromSockaddr(ToSockaddr(*endpoint)) == *endpoint);
  }
  SECTION("host names and missing or invalid ports are refused, because names are never resolved") {
    for (const char* text : {"localhost:80", "127.0.0.1", "127.0.0.1:", "127.0.0.1:70000",
                             "127.0.0.1:8x", "127.0.0:80", ":80", ""}) {
      CAPTURE(text);
      CHECK_FALSE(ParseIpEndpoint(text).has_value());
    }
  }
}

TEST_CASE("A hash of parts depends on the boundaries of the parts") {
  CHECK(HashParts({"ab", "c"}) != HashParts({"a", "bc"}));
  CHECK(HashParts({"ab", "c"}) == HashParts({"ab", "c"}));
}

TEST_CASE("The text of an error contains its step and peer") {
  const Error error{ErrorCode::kTimeout, "read head", "127.0.0.1:9000", "no answer in 500 ms"};
  CHECK(ToString(error) == "read head 127.0.0.1:9000: timeout: no answer in 500 ms");
}

TEST_CASE("Identifiers are 16 hexadecimal digits") {
  RandomGenerator generator(7);
  CHECK(MakeRandomId(generator).size() == 16);
  CHECK(ToHex(0x0123456789abcdefULL) == "0123456789abcdef");
}

}  // namespace
}  // namespace qh
