#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <set>

#include "quetzalhinge/limits/token_bucket.h"
#include "share_world.h"

namespace qh::limits {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr ContractRate kContract{400, 80};
constexpr double kRounding = 1e-9;

SlotNumber NonHomeSlot(const std::vector<SlotNumber>& homes) {
  SlotNumber slot = 0;
  while (std::find(homes.begin(), homes.end(), slot) != homes.end()) {
    ++slot;
  }
  return slot;
}

void ChangeSomeLoads(ShareWorld& world, SlotNumber vm_count) {
  constexpr double kLoads[] = {0, 0, 5, 40, 200, 1000};
  auto& random = world.Random();
  if (random() % 30 == 0) {
    world.SetLoad(static_cast<SlotNumber>(random() % vm_count), kLoads[random() % 6]);
  }
}

// Guards against shares that add up to more than the contract when messages are lost, delayed,
// duplicated or reordered, clocks drift, or VMs are paused or restarted.
TEST_CASE("The sum of all shares never exceeds the contract") {
  const bool holds = rc::check([](std::uint64_t seed) {
    ShareWorldOptions options;
    options.seed = seed;
    options.vm_count = *rc::gen::inRange<SlotNumber>(1, 20);
    options.loss = *rc::gen::element(0.0, 0.1, 0.5);
    options.duplication = *rc::gen::element(0.0, 0.3);
    options.longest_delay =
        *rc::gen::element(milliseconds(3), milliseconds(300), milliseconds(6000));
    options.pause = *rc::gen::element(0.0, 0.002, 0.01);
    options.restart = *rc::gen::element(0.0, 0.001);
    options.clock_drift = *rc::gen::element(0.0, 0.01);
    ShareWorld world(options, kContract);
    // Reference bucket of the contract, plus the 1 request per VM that RateShareLedger allows.
    const auto start = TimePoint(world.Now());
    const double max_tokens = kContract.burst + options.vm_count;
    TokenBucket contract(kContract.requests_per_second * (1 + options.clock_drift), max_tokens,
                         max_tokens, start);
    double largest = 0;
    while (world.Now() < start.time_since_epoch() + seconds(20)) {
      ChangeSomeLoads(world, options.vm_count);
      world.Step();
      largest = std::max(largest, world.TotalFraction());
      RC_ASSERT(largest <= 1 + kRounding);
      RC_ASSERT(contract.TryTake(world.AdmittedInStep(), TimePoint(world.Now())));
    }
    RC_CLASSIFY(largest > 0.99, "full contract in use");
  });
  CHECK(holds);
}

TEST_CASE("A customer with requests at one VM gets its full rate within 2 s") {
  ShareWorldOptions options;
  double expected = 1;
  bool uses_home = true;
  SECTION("at a home VM") {}
  SECTION("at a VM that is not a home slot of the customer") { uses_home = false; }
  SECTION("with a message loss of 20%") { options.loss = 0.2; }
  ShareWorld world(options, kContract);
  const std::vector<SlotNumber> homes = world.LedgerOf(0).HomeSlots();
  const SlotNumber slot = uses_home ? homes[3] : NonHomeSlot(homes);
  SECTION("with four home VMs down, gets the rate of the remaining ones") {
    for (const std::size_t rank : {0U, 1U, 5U, 11U}) {
      world.Kill(homes[rank]);
    }
    expected = 8.0 / 12;
  }
  world.SetLoad(slot, 500);
  world.Run(seconds(2));
  CHECK(world.FractionOf(slot) >= expected - kRounding);

  // The rate must be sustained after the first loans have expired.
  const int before = world.AdmittedAt(slot);
  world.Run(seconds(10));
  CHECK(world.AdmittedAt(slot) - before >= 0.97 * 10 * expected * kContract.requests_per_second);
}

TEST_CASE("Shares follow the demand") {
  ShareWorld world({}, kContract);
  const std::vector<SlotNumber> homes = world.LedgerOf(0).HomeSlots();
  const SlotNumber first = homes[0];
  const SlotNumber second = homes[6];
  world.SetLoad(first, 1000);
  world.Run(seconds(3));
  REQUIRE(world.FractionOf(first) > 0.999);

  SECTION("a lender whose demand returns regains its share when the loan has expired") {
    world.SetLoad(second, 30);
    world.Run(milliseconds(3200 + 500));
    const int before = world.AdmittedAt(second);
    world.Run(seconds(5));
    CHECK(world.AdmittedAt(second) - before >= 0.97 * 150);
  }
  SECTION("two VMs with high demand get about equal shares") {
    world.SetLoad(second, 1000);
    world.Run(seconds(10));
    CHECK(world.FractionOf(first) == Approx(0.5).margin(0.1));
    CHECK(world.FractionOf(second) == Approx(0.5).margin(0.1));
    CHECK(world.TotalFraction() > 0.9);
  }
  SECTION("all loans are returned when the demand ends") {
    world.SetLoad(first, 0);
    world.Run(seconds(6));
    CHECK(world.FractionOf(first) == Approx(1.0 / 12));
    CHECK(world.TotalFraction() == Approx(1.0));
  }
}

TEST_CASE("A process that has just started neither uses nor lends its own share") {
  RateShareOptions options;
  options.customer = "semarang";
  options.vm_count = 2;
  const TimePoint start{seconds(50)};
  RateShareLedger ledger(options, kContract, start, start);
  const BorrowRequest request{7, 1, 0, 0.5, seconds(3)};
  CHECK(ledger.UsableFraction(start + milliseconds(3199)) == 0);
  CHECK_FALSE(ledger.TryTake(start + milliseconds(3199)));
  CHECK(ledger.OnRequest(request, start + milliseconds(3199))->fraction == 0);
  CHECK(ledger.UsableFraction(start + milliseconds(3200)) == 0.5);
}

TEST_CASE("Invalid messages are ignored") {
  RateShareOptions options;
  options.customer = "semarang";
  options.vm_count = 2;
  const TimePoint now{seconds(50)};
  RandomGenerator generator(5);
  RateShareLedger ledger(options, kContract, now - seconds(10), now);

  SECTION("requests for another slot, from itself, from unknown slots or with invalid values") {
    const std::vector<BorrowRequest> invalid_requests{
        {1, 1, 1, 0.5, seconds(3)}, {1, 0, 0, 0.5, seconds(3)},  {1, 2, 0, 0.5, seconds(3)},
        {1, 1, 0, 0, seconds(3)},   {1, 1, 0, -0.5, seconds(3)}, {1, 1, 0, 1.5, seconds(3)},
        {1, 1, 0, NAN, seconds(3)}, {1, 1, 0, 0.5, seconds(0)},  {1, 1, 0, 0.5, seconds(4)}};
    for (std::size_t i = 0; i < invalid_requests.size(); ++i) {
      CAPTURE(i);
      CHECK_FALSE(ledger.OnRequest(invalid_requests[i], now).has_value());
    }
    CHECK(ledger.UsableFraction(now) == 0.5);
  }
  SECTION("grants that were not requested, exceed the request, are duplicate or late") {
    for (int i = 0; i < 1000; ++i) {
      ledger.TryTake(now + milliseconds(i));
    }
    const TimePoint sent = now + seconds(1);
    const auto requests = ledger.PlanRequests(sent, generator);
    REQUIRE(requests.size() == 1);
    const std::uint64_t id = requests[0].request_id;
    CHECK_FALSE(ledger.OnGrant({id + 1, 0, 1, 0.5}, sent));
    CHECK_FALSE(ledger.OnGrant({id, 1, 0, 0.5}, sent));
    CHECK_FALSE(ledger.OnGrant({id, 0, 1, NAN}, sent));
    SECTION("a grant in time applies once, until 3 s after the request was sent") {
      CHECK(ledger.OnGrant({id, 0, 1, 0.25}, sent + seconds(2)));
      CHECK_FALSE(ledger.OnGrant({id, 0, 1, 0.25}, sent + seconds(2)));
      CHECK(ledger.UsableFraction(sent + milliseconds(2999)) == 0.75);
      CHECK(ledger.UsableFraction(sent + seconds(3)) == 0.5);
    }
    SECTION("a grant that exceeds the request") {
      CHECK_FALSE(ledger.OnGrant({id, 0, 1, 0.6}, sent));
    }
    SECTION("a grant after the end of the loan") {
      CHECK_FALSE(ledger.OnGrant({id, 0, 1, 0.25}, sent + seconds(3)));
    }
    CHECK(ledger.UsableFraction(sent + seconds(4)) == 0.5);
  }
}

TEST_CASE("Home slots are distributed over the VMs and change little when VMs are added") {
  std::set<SlotNumber> used;
  int moved = 0;
  constexpr int kCustomers = 200;
  for (int i = 0; i < kCustomers; ++i) {
    const std::string customer = "customer-" + std::to_string(i);
    const auto homes = HomeSlotsOf(customer, 100, 12);
    const auto more = HomeSlotsOf(customer, 101, 12);
    REQUIRE(std::set(homes.begin(), homes.end()).size() == 12);
    used.insert(homes.begin(), homes.end());
    moved += std::count(more.begin(), more.end(), 100U);
  }
  CHECK(used.size() == 100);
  CHECK(moved == Approx(kCustomers * 12 / 101.0).margin(20));
  CHECK(HomeSlotsOf("semarang", 3, 12).size() == 3);
}

}  // namespace
}  // namespace qh::limits
