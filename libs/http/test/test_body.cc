#include <catch2/catch.hpp>
#include <string>

#include "quetzalhinge/http/body.h"
#include "quetzalhinge/http/http_message.h"

namespace qh::http {

SCENARIO("The copies of a body share its bytes") {
  HttpRequest request;
  request.body = std::string(100'000, 'x');
  const HttpRequest copy = request;
  CHECK(copy.body.Bytes().data() == request.body.Bytes().data());
  WHEN("the original is destroyed") {
    const Body kept = copy.body;
    request = {};
    THEN("the copies remain valid") { CHECK(kept == std::string(100'000, 'x')); }
  }
  WHEN("only the owner of the bytes is kept") {
    const std::string_view bytes = request.body.Bytes();
    const auto owner = request.body.Owner();
    request = {};
    THEN("the bytes remain valid") { CHECK(bytes == std::string(100'000, 'x')); }
  }
}

SCENARIO("A body grows by the bytes that are appended") {
  Body body;
  CHECK(body.empty());
  CHECK(body.capacity() == 0);
  std::string expected;
  for (int i = 0; i < 1000; ++i) {
    const std::string bytes = std::to_string(i);
    const std::size_t announced = body.CapacityFor(body.size() + bytes.size());
    body.Append(bytes);
    expected += bytes;
    CHECK(body.capacity() == announced);
    // The part that is not used stays small, so that the size limits the memory.
    CHECK(body.capacity() <= body.size() + body.size() / 8);
  }
  CHECK(body == expected);
}

SCENARIO("A body does not allocate more than its announced size") {
  Body body;
  body.SetMaxSize(100'000);
  while (body.size() < 100'000) {
    body.Append(std::string(12'500, 'x'));
    CHECK(body.capacity() <= 100'000);
  }
}

}  // namespace qh::http
