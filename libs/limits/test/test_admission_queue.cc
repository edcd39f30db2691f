#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <map>
#include <set>

#include "quetzalhinge/limits/admission_queue.h"

namespace qh::limits {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{seconds(100)};

QueuedRequest RequestOf(std::uint64_t id, const char* customer, int deadline_ms,
                        PriorityClass priority = PriorityClass::kNormal) {
  return {id, customer, priority, kStart + milliseconds(deadline_ms), milliseconds(5)};
}

TEST_CASE("Requests are served in order of priority and of deadline") {
  AdmissionQueue queue(10);
  queue.Push(RequestOf(1, "semarang", 900), kStart);
  queue.Push(RequestOf(2, "semarang", 300), kStart);
  queue.Push(RequestOf(3, "bandung", 800, PriorityClass::kLow), kStart);
  queue.Push(RequestOf(4, "solo", 900, PriorityClass::kHigh), kStart);
  for (const std::uint64_t expected : {4U, 2U, 1U, 3U}) {
    CHECK(queue.Pop(kStart).next->id == expected);
  }
  CHECK_FALSE(queue.Pop(kStart).next.has_value());

  SECTION("a removed request is not served") {
    queue.Push(RequestOf(1, "semarang", 900), kStart);
    CHECK(queue.Remove(1));
    CHECK_FALSE(queue.Remove(1));
    CHECK(queue.Size() == 0);
  }
}

TEST_CASE("Requests that cannot finish by their deadline are not served") {
  AdmissionQueue queue(100);
  SECTION("a request that waited too long is returned as expired") {
    queue.Push(RequestOf(1, "semarang", 100), kStart);
    queue.Push(RequestOf(2, "semarang", 500), kStart);
    const PopResult result = queue.Pop(kStart + milliseconds(96));
    REQUIRE(result.expired.size() == 1);
    CHECK(result.expired[0].id == 1);
    CHECK(result.next->id == 2);
  }
  SECTION("a request that would wait too long is refused immediately, with a retry time") {
    for (std::uint64_t id = 0; id < 50; ++id) {
      queue.Push(RequestOf(id, "semarang", 2000), kStart);
    }
    TimePoint now = kStart;
    for (int i = 0; i < 20; ++i) {
      now += milliseconds(10);
      queue.Pop(now);
    }
    // 30 requests are left, served every 10 ms: the last one starts in 300 ms.
    const QueuedRequest tight = RequestOf(90, "solo", 400, PriorityClass::kLow);
    const PushResult refused = queue.Push(tight, now);
    CHECK(refused.decision == QueueDecision::kCannotMeetDeadline);
    CHECK(refused.retry_after == milliseconds(300));
    CHECK(queue.Push(RequestOf(91, "solo", 600, PriorityClass::kLow), now).decision ==
          QueueDecision::kQueued);
    // Within a class, fair queueing serves another customer's first request after one other
    // request.
    CHECK(queue.Push(RequestOf(92, "solo", 400), now).decision == QueueDecision::kQueued);
  }
}

// Guards against a queue that refuses all requests permanently after one long stall of the workers,
// because the estimated wait never falls again.
TEST_CASE("The estimated wait recovers after a stall") {
  AdmissionQueue queue(100);
  queue.Push(RequestOf(1, "semarang", 60000), kStart);
  queue.Push(RequestOf(2, "semarang", 60000), kStart);
  TimePoint now = kStart + seconds(30);
  queue.Pop(now);
  queue.Pop(now);
  int accepted = 0;
  for (std::uint64_t id = 10; id < 210; id += 2) {
    now += milliseconds(10);
    for (const std::uint64_t next : {id, id + 1}) {
      QueuedRequest request = RequestOf(next, "semarang", 0);
      request.deadline = now + milliseconds(200);
      accepted += queue.Push(request, now).decision == QueueDecision::kQueued ? 1 : 0;
    }
    now += milliseconds(1);
    queue.Pop(now);
    queue.Pop(now);
  }
  CHECK(accepted > 150);
}

TEST_CASE("A customer that fills the queue does not crowd out other customers") {
  AdmissionQueue queue(20);
  for (std::uint64_t id = 0; id < 20; ++id) {
    REQUIRE(queue.Push(RequestOf(id, "semarang", 500), kStart).decision == QueueDecision::kQueued);
  }
  CHECK(queue.Push(RequestOf(50, "semarang", 100), kStart).decision == QueueDecision::kFull);

  SECTION("another customer displaces its requests up to an equal share") {
    int queued = 0;
    for (std::uint64_t id = 100; id < 120; ++id) {
      const PushResult result = queue.Push(RequestOf(id, "solo", 900), kStart);
      queued += result.decision == QueueDecision::kQueued ? 1 : 0;
      CHECK((!result.displaced || result.displaced->customer == "semarang"));
    }
    CHECK(queued == 10);
    CHECK(queue.Size() == 20);
    SECTION("and both are served alternately, although one has earlier deadlines") {
      std::map<std::string, int> served;
      for (int i = 0; i < 10; ++i) {
        ++served[queue.Pop(kStart).next->customer];
      }
      CHECK(served["solo"] == 5);
    }
  }
  SECTION("a higher class displaces a lower one but not vice versa") {
    CHECK(queue.Push(RequestOf(60, "solo", 900, PriorityClass::kHigh), kStart).displaced);
    CHECK(queue.Push(RequestOf(61, "solo", 900, PriorityClass::kLow), kStart).decision ==
          QueueDecision::kFull);
  }
}

TEST_CASE("Each queued request leaves the queue exactly once, and the capacity is never exceeded") {
  const bool holds = rc::check([](const std::vector<std::pair<std::uint8_t, std::uint8_t>>& steps) {
    constexpr std::size_t kCapacity = 8;
    AdmissionQueue queue(kCapacity);
    std::set<std::uint64_t> queued_ids;
    TimePoint now = kStart;
    std::uint64_t id = 0;
    for (const auto& [action, value] : steps) {
      now += milliseconds(value % 7);
      if (action % 3 != 0) {
        QueuedRequest request = RequestOf(++id, value % 2 == 0 ? "solo" : "semarang", 0,
                                          static_cast<PriorityClass>(value % 3));
        request.deadline = now + milliseconds(value);
        const PushResult result = queue.Push(request, now);
        if (result.displaced) {
          RC_ASSERT(queued_ids.erase(result.displaced->id) == 1U);
        }
        if (result.decision == QueueDecision::kQueued) {
          queued_ids.insert(id);
        }
      } else {
        const PopResult result = queue.Pop(now);
        for (const QueuedRequest& request : result.expired) {
          RC_ASSERT(queued_ids.erase(request.id) == 1U);
        }
        if (result.next) {
          RC_ASSERT(queued_ids.erase(result.next->id) == 1U);
          RC_ASSERT(now + result.next->expected_work <= result.next->deadline);
        }
      }
      RC_ASSERT(queue.Size() == queued_ids.size());
      RC_ASSERT(queue.Size() <= kCapacity);
    }
  });
  CHECK(holds);
}

}  // namespace
}  // namespace qh::limits
