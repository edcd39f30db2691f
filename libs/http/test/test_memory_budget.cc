#include <catch2/catch.hpp>
#include <memory>

#include "quetzalhinge/http/memory_budget.h"

namespace qh::http {
namespace {

constexpr std::size_t kSmall = MemoryBudget::kMaxSmallMessage;
constexpr std::size_t kLarge = 1'000'000;

/** A message that is being read, and whether it was revoked. */
struct Message {
  bool is_revoked = false;
  MemoryReservation memory;

  Message(const std::shared_ptr<MemoryBudget>& budget, MessageKind kind)
      : memory(budget, kind, [this] { is_revoked = true; }) {}
};

}  // namespace

// Guards against ordinary small requests that are refused because large ones use up the memory.
SCENARIO("A budget keeps memory for small messages and for responses") {
  const auto budget =
      std::make_shared<MemoryBudget>(MemoryBudgetOptions{5 * kLarge, 4 * kLarge, 2 * kLarge});
  Message first(budget, MessageKind::kRequest);
  Message second(budget, MessageKind::kRequest);
  REQUIRE(first.memory.Resize(kLarge));
  REQUIRE(second.memory.Resize(kLarge));
  first.memory.Complete();
  second.memory.Complete();

  GIVEN("complete requests that use up the part of large requests") {
    THEN("a further large request is rejected, a small one is not") {
      Message large(budget, MessageKind::kRequest);
      Message small(budget, MessageKind::kRequest);
      CHECK_FALSE(large.memory.Resize(kSmall + 1));
      CHECK(small.memory.Resize(kSmall));
    }
    THEN("large responses are read up to their part, small ones beyond it") {
      Message response(budget, MessageKind::kResponse);
      Message small(budget, MessageKind::kResponse);
      CHECK(response.memory.Resize(2 * kLarge));
      CHECK(small.memory.Resize(kSmall));
      CHECK_FALSE(response.memory.Resize(2 * kLarge + 1));
      CHECK_FALSE(small.is_revoked);
    }
    THEN("complete messages are never revoked") {
      Message response(budget, MessageKind::kResponse);
      CHECK_FALSE(response.memory.Resize(3 * kLarge));
      CHECK_FALSE(first.is_revoked);
      CHECK_FALSE(second.is_revoked);
      CHECK(budget->Reserved(MessageKind::kRequest) == 2 * kLarge);
    }
  }
}

SCENARIO("Requests give way to responses, but not the other way round") {
  const auto budget = std::make_shared<MemoryBudget>(2 * kLarge);
  Message request(budget, MessageKind::kRequest);
  Message response(budget, MessageKind::kResponse);
  WHEN("a response grows") {
    REQUIRE(request.memory.Resize(kLarge + 2));
    CHECK(response.memory.Resize(kLarge));
    CHECK(request.is_revoked);
    CHECK(budget->RejectedMessages(MessageKind::kRequest) == 1);
  }
  WHEN("a request grows") {
    REQUIRE(response.memory.Resize(kLarge + 2));
    CHECK_FALSE(request.memory.Resize(kLarge));
    CHECK_FALSE(response.is_revoked);
  }
}

// Guards against large requests of ordinary callers that are refused as long as other clients keep
// connections open on which they have stopped within a body.
SCENARIO("Large messages that have stalled give way first") {
  TimePoint now{};
  const auto budget = std::make_shared<MemoryBudget>(
      MemoryBudgetOptions{3 * kLarge, 3 * kLarge, 3 * kLarge}, [&now] { return now; });
  Message stalled(budget, MessageKind::kRequest);
  Message stalled_small(budget, MessageKind::kRequest);
  REQUIRE(stalled.memory.Resize(kLarge));
  REQUIRE(stalled_small.memory.Resize(kSmall));
  now += 2 * MemoryBudget::kStalledAfter;
  Message largest(budget, MessageKind::kRequest);
  REQUIRE(largest.memory.Resize(3 * kLarge / 2));
  Message growing(budget, MessageKind::kRequest);
  WHEN("another message needs the memory of one of them") {
    REQUIRE(growing.memory.Resize(kLarge));
    THEN("the stalled one is rejected although there is a larger one") {
      CHECK(stalled.is_revoked);
      CHECK_FALSE(largest.is_revoked);
      CHECK_FALSE(stalled_small.is_revoked);
    }
  }
  WHEN("more is needed than the stalled one has") {
    REQUIRE(growing.memory.Resize(kLarge));
    Message last(budget, MessageKind::kRequest);
    CHECK(last.memory.Resize(kLarge));
    THEN("the largest one is rejected next") {
      CHECK(largest.is_revoked);
      CHECK_FALSE(growing.is_revoked);
    }
  }
}

}  // namespace qh::http
