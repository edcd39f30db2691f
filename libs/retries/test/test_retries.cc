#include <rapidcheck.h>

#include <catch2/catch.hpp>

#include "quetzalhinge/retries/deadline.h"
#include "quetzalhinge/retries/hedge_policy.h"
#include "quetzalhinge/retries/retry_policy.h"

namespace qh::retries {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

const TimePoint kNow{seconds(100)};

RetryBudget FullBudget() {
  RetryBudget budget(1.0);
  for (int i = 0; i < 100; ++i) {
    budget.OnFirstAttempt();
  }
  return budget;
}

// Guards against retries that multiply the load during an outage.
TEST_CASE("Retries do not exceed the retry share of the first attempts") {
  const bool holds = rc::check([](const std::vector<bool>& steps) {
    const double share = *rc::gen::element(0.0, 0.1, 0.25, 1.0);
    RetryBudget budget(share, 5);
    int first = 0;
    int second = 0;
    for (const bool is_first : steps) {
      if (is_first) {
        budget.OnFirstAttempt();
        ++first;
      } else {
        second += budget.TryTake() ? 1 : 0;
      }
      RC_ASSERT(second <= share * first + 1e-9);
      RC_ASSERT(budget.TokensLeft() <= 5U);
    }
  });
  CHECK(holds);
  SECTION("ten first attempts at a share of 0.1 allow exactly one retry") {
    RetryBudget budget(0.1);
    for (int i = 0; i < 10; ++i) {
      CHECK_FALSE(budget.TryTake());
      budget.OnFirstAttempt();
    }
    CHECK(budget.TryTake());
    CHECK_FALSE(budget.TryTake());
  }
}

TEST_CASE("A failed attempt is retried only if that is safe and useful") {
  const RetryPolicy policy(3);
  RetryBudget budget = FullBudget();
  const FailedAttempt idempotent{AttemptStage::kMayHaveRun, true, false, 1, kNow + seconds(1),
                                 milliseconds(50)};
  CHECK(policy.Decide(idempotent, kNow, budget) == RetryDecision::kRetry);
  const std::uint32_t tokens = budget.TokensLeft();
  FailedAttempt attempt = idempotent;

  SECTION("a request that is not idempotent is retried only if it certainly did not run") {
    attempt.idempotent = false;
    struct Row {
      AttemptStage stage;
      RetryDecision expected;
    };
    for (const Row& row : {Row{AttemptStage::kNotConnected, RetryDecision::kRetry},
                           Row{AttemptStage::kRefusedNotRun, RetryDecision::kRetry},
                           Row{AttemptStage::kMayHaveRun, RetryDecision::kMayHaveRun},
                           Row{AttemptStage::kAnswered, RetryDecision::kAnswered}}) {
      attempt.stage = row.stage;
      CAPTURE(ToString(row.expected));
      CHECK(policy.Decide(attempt, kNow, budget) == row.expected);
    }
  }
  SECTION("refusals take no token") {
    SECTION("a nested call leaves the retry to its caller") {
      attempt.no_retry = true;
      CHECK(policy.Decide(attempt, kNow, budget) == RetryDecision::kNestedCall);
    }
    SECTION("after the third attempt") {
      attempt.attempts = 3;
      CHECK(policy.Decide(attempt, kNow, budget) == RetryDecision::kTooManyAttempts);
    }
    SECTION("with less time left than the route needs") {
      CHECK(policy.Decide(attempt, kNow + milliseconds(951), budget) == RetryDecision::kNoTimeLeft);
      attempt.expected = Duration(0);
      CHECK(policy.Decide(attempt, kNow + seconds(1), budget) == RetryDecision::kNoTimeLeft);
    }
    SECTION("after a complete response") {
      attempt.stage = AttemptStage::kAnswered;
      CHECK(policy.Decide(attempt, kNow, budget) == RetryDecision::kAnswered);
    }
    CHECK(budget.TokensLeft() == tokens);
  }
  SECTION("nothing is retried with an empty budget") {
    RetryBudget empty(0.1);
    CHECK(policy.Decide(attempt, kNow, empty) == RetryDecision::kBudgetSpent);
  }
}

TEST_CASE("A slow idempotent request is hedged after the route's p95") {
  const HedgePolicy policy;
  RetryBudget budget = FullBudget();
  HedgeCandidate candidate{true, false, kNow + seconds(1), milliseconds(40), 1000};
  CHECK(policy.DelayOf(candidate, kNow) == Duration(milliseconds(40)));
  CHECK(policy.TryStart(candidate, kNow, budget));

  SECTION("not with an empty retry budget") {
    RetryBudget empty(0.1);
    CHECK_FALSE(policy.TryStart(candidate, kNow, empty));
  }
  SECTION("not with fewer than 50 samples") { candidate.samples = 49; }
  SECTION("not if the route is not idempotent") { candidate.idempotent = false; }
  SECTION("not for nested calls") { candidate.no_retry = true; }
  SECTION("not when too little time is left for the hedged request") {
    candidate.deadline = kNow + milliseconds(39);
  }
  if (candidate.samples != 1000 || !candidate.idempotent || candidate.no_retry ||
      candidate.deadline < kNow + seconds(1)) {
    CHECK_FALSE(policy.DelayOf(candidate, kNow).has_value());
    CHECK_FALSE(policy.TryStart(candidate, kNow, budget));
  }
}

TEST_CASE("Deadlines decrease along a chain of nested calls") {
  const TimePoint deadline = DeadlineOf(kNow, seconds(2), std::nullopt);
  CHECK(deadline == kNow + seconds(2));
  CHECK(DeadlineOf(kNow, seconds(2), milliseconds(300)) == kNow + milliseconds(300));
  CHECK(DeadlineOf(kNow, seconds(2), minutes(5)) == deadline);
  CHECK(TimeLeft(deadline, kNow + seconds(3)) == Duration(0));
  CHECK(NextHopMillis(deadline, kNow + std::chrono::microseconds(1), milliseconds(4)) == 1995);
  CHECK(NextHopMillis(deadline, kNow + milliseconds(1999), milliseconds(4)) == 0);

  SECTION("an attempt reserves time for a second one, but gets at least half of the time left") {
    CHECK(MaxAttemptDuration(deadline, kNow, milliseconds(100), true) == milliseconds(1900));
    CHECK(MaxAttemptDuration(deadline, kNow, milliseconds(1500), true) == milliseconds(1000));
    CHECK(MaxAttemptDuration(deadline, kNow, milliseconds(100), false) == seconds(2));
  }
  SECTION("the header value must be a whole number of milliseconds") {
    CHECK(ParseTimeLeft("250") == Duration(milliseconds(250)));
    CHECK(ParseTimeLeft("99999999999999999999999") == Duration(minutes(10)));
    for (const char* text : {"", "-1", "+1", "1.5", "10ms", " 10", "0x10"}) {
      CAPTURE(text);
      CHECK_FALSE(ParseTimeLeft(text).has_value());
    }
  }
}

}  // namespace
}  // namespace qh::retries
