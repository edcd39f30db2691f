#include <catch2/catch.hpp>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "quetzalhinge/gateway/table_follower.h"

namespace qh::gateway {
namespace {

using std::chrono::milliseconds;

/** A store that responds when the test calls Respond(). */
class ScriptedStore : public ConfirmedTableStore {
 public:
  void ReadTable(const std::string& /*table*/, Callback<store::TableRows> callback) override {
    calls.emplace_back("full");
    m_pending_callback = std::move(callback);
  }
  void AwaitChanges(const std::string& /*table*/, std::uint64_t after, milliseconds /*wait*/,
                    Callback<store::TableRows> callback) override {
    calls.push_back("after " + std::to_string(after));
    m_pending_callback = std::move(callback);
  }
  void WriteRow(const std::string& /*table*/, const std::string& /*key*/,
                const std::string& /*value*/, Callback<Success> /*callback*/) override {}

  std::optional<TimePoint> ConfirmedAt(const std::string& /*table*/) const override {
    return confirmed_at;
  }
  std::string SourceOf(const std::string& /*table*/) const override { return ""; }
  void CheckStore(const std::string& /*table*/, std::optional<std::uint64_t> after,
                  Callback<store::TableRows> callback) override {
    checks.push_back(after.has_value() ? "after " + std::to_string(*after) : "full");
    m_pending_check = std::move(callback);
  }

  void CheckPeers(const std::string& /*table*/, std::uint64_t after,
                  PeerCheckCallback callback) override {
    peer_checks.push_back(after);
    respond_to_peer_check = std::move(callback);
  }
  bool IsReceiving(const std::string& /*table*/) const override { return is_receiving; }

  bool HasPendingCheck() const { return m_pending_check != nullptr; }
  void RespondToCheck(Result<store::TableRows> result) {
    std::exchange(m_pending_check, nullptr)(std::move(result));
  }
  bool HasPendingCall() const { return m_pending_callback != nullptr; }
  void Respond(Result<store::TableRows> result) {
    std::exchange(m_pending_callback, nullptr)(std::move(result));
  }

  std::vector<std::string> calls;
  std::vector<std::string> checks;
  std::optional<TimePoint> confirmed_at;
  bool is_receiving = false;
  std::vector<std::uint64_t> peer_checks;
  PeerCheckCallback respond_to_peer_check;

 private:
  Callback<store::TableRows> m_pending_callback;
  Callback<store::TableRows> m_pending_check;
};

class RowObserver : public TableFollowerObserver {
 public:
  void OnRows(const std::string& /*table*/, const store::TableRows& rows,
              bool /*is_complete*/) override {
    rows_received += rows.rows.size();
  }
  void OnStoreUnavailable(const std::string& /*table*/, const Error& /*error*/) override {}
  void OnStoreAvailable(const std::string& /*table*/, Duration /*outage*/) override {}

  std::size_t rows_received = 0;
};

/** Checks follow soon, so that tests need not wait. */
const ConfirmationLimits kLimits{milliseconds(50), milliseconds(20), milliseconds(40)};

const Error kNoResponse{ErrorCode::kTimeout, "await changes", "store", "no response"};

/** A follower that has read its table at version 7 and waits for changes. */
struct Fixture {
  net::EventLoop loop;
  RandomGenerator random{20261204};
  ScriptedStore store;
  RowObserver observer;
  TableFollower follower;

  explicit Fixture(CatchUp catch_up)
      : follower(loop, random, store, "op", catch_up, kLimits, observer) {
    follower.Start();
    RespondToNext(store::TableRows{{}, 7});
    AwaitCall();
  }

  void AwaitCall() {
    while (!store.HasPendingCall()) {
      loop.RunOnce(milliseconds(10));
    }
  }
  void AwaitCheck() {
    while (!store.HasPendingCheck()) {
      loop.RunOnce(milliseconds(10));
    }
  }
  void RespondToNext(Result<store::TableRows> result) {
    AwaitCall();
    store.Respond(std::move(result));
  }
};

TEST_CASE("A follower catches up after a failed read") {
  SECTION("by reading the missed changes") {
    Fixture fixture(CatchUp::kIncremental);
    fixture.RespondToNext(kNoResponse);
    fixture.AwaitCall();
    CHECK(fixture.store.calls.back() == "after 7");
  }
  // Guards against a change feed that is too large for a slow link, such as eleven versions of a
  // configuration with 900 routes on a link of 10 Mbit/s.
  SECTION("by reading the whole table if each version of a row is large") {
    Fixture fixture(CatchUp::kFullRead);
    REQUIRE(fixture.store.calls.back() == "after 7");
    fixture.RespondToNext(kNoResponse);
    fixture.AwaitCall();
    CHECK(fixture.store.calls.back() == "full");
    fixture.RespondToNext(store::TableRows{{}, 9});
    fixture.AwaitCall();
    CHECK(fixture.store.calls.back() == "after 9");
  }
}

TEST_CASE("The backoff after failures ends when the store is known to respond") {
  Fixture fixture(CatchUp::kIncremental);
  // The backoff grows to 0.8 s; with jitter, at least half of it is waited.
  for (int i = 0; i < 6; ++i) {
    fixture.RespondToNext(kNoResponse);
  }
  const std::size_t calls = fixture.store.calls.size();
  SECTION("immediately") {
    fixture.follower.RetryNow();
    fixture.loop.RunOnce(milliseconds(10));
    fixture.loop.RunOnce(milliseconds(10));
    CHECK(fixture.store.calls.size() == calls + 1);
  }
  SECTION("but no second read starts while one is in progress") {
    fixture.AwaitCall();
    fixture.follower.RetryNow();
    fixture.loop.RunOnce(milliseconds(10));
    CHECK(fixture.store.calls.size() == calls + 1);
  }
}

// Guards against news that is not read because the follower pauses after a failed read.
TEST_CASE("A follower checks the store on request while it waits for the end of the backoff") {
  Fixture fixture(CatchUp::kIncremental);
  fixture.store.confirmed_at = fixture.loop.Now() + std::chrono::hours(1);
  fixture.RespondToNext(kNoResponse);
  REQUIRE_FALSE(fixture.store.HasPendingCall());
  fixture.follower.CheckNow();
  CHECK(fixture.store.checks.back() == "after 7");
}

// Guards against reads of the same rows that share a slow link, so that none of them ends in time.
TEST_CASE("A follower starts no check of the store while rows of its table arrive") {
  Fixture fixture(CatchUp::kFullRead);
  fixture.store.is_receiving = true;
  fixture.follower.CheckNow();
  CHECK(fixture.store.peer_checks.size() == 1);
  const TimePoint end = fixture.loop.Now() + 5 * kLimits.max_unconfirmed;
  while (fixture.loop.Now() < end) {
    fixture.loop.RunOnce(milliseconds(10));
  }
  CHECK(fixture.store.checks.empty());
  SECTION("and asks other VMs once on request and once when the check is due") {
    CHECK(fixture.store.peer_checks.size() == 2);
  }
  SECTION("but soon after they have stopped arriving") {
    fixture.store.is_receiving = false;
    fixture.AwaitCheck();
    CHECK(fixture.store.checks.back() == "after 7");
  }
}

TEST_CASE("A follower checks the store while its copy is not confirmed") {
  Fixture fixture(CatchUp::kFullRead);
  REQUIRE(fixture.store.HasPendingCall());
  fixture.AwaitCheck();
  SECTION("beside the read in progress, for the changes since the known version") {
    CHECK(fixture.store.checks.back() == "after 7");
    CHECK(fixture.store.HasPendingCall());
  }
  SECTION("and continues from the version that the check returned") {
    fixture.store.RespondToCheck(store::TableRows{{}, 9});
    fixture.RespondToNext(store::TableRows{{}, 8});
    fixture.AwaitCall();
    CHECK(fixture.store.calls.back() == "after 9");
  }
  SECTION("by reading the whole table if a check has failed and each version of a row is large") {
    fixture.store.RespondToCheck(kNoResponse);
    fixture.AwaitCheck();
    CHECK(fixture.store.checks.back() == "full");
    fixture.store.RespondToCheck(store::TableRows{{}, 9});
    fixture.AwaitCheck();
    CHECK(fixture.store.checks.back() == "after 9");
  }
  SECTION("by reading the whole table at once if the store has forgotten its history") {
    fixture.store.RespondToCheck(
        Error{ErrorCode::kConflict, "await changes", "store", "history gone"});
    CHECK(fixture.store.checks.back() == "full");
  }
  SECTION("and asks other VMs beside the store, whatever the store does") {
    REQUIRE(fixture.store.peer_checks.back() == 7);
    fixture.store.respond_to_peer_check({{{"config", "new", 8, false}}, 8}, false);
    CHECK(fixture.observer.rows_received == 1);
    fixture.store.RespondToCheck(kNoResponse);
    fixture.AwaitCheck();
    CHECK(fixture.store.peer_checks.back() == 8);
    // A VM that knows less than this one.
    fixture.store.respond_to_peer_check({{{"config", "old", 6, false}}, 6}, true);
    CHECK(fixture.observer.rows_received == 1);
  }
  SECTION("and a successful check ends the backoff after a failed read") {
    for (int i = 0; i < 6; ++i) {
      fixture.RespondToNext(kNoResponse);
    }
    const std::size_t calls = fixture.store.calls.size();
    fixture.store.RespondToCheck(store::TableRows{{}, 9});
    fixture.loop.RunOnce(milliseconds(10));
    fixture.loop.RunOnce(milliseconds(10));
    CHECK(fixture.store.calls.size() == calls + 1);
  }
  SECTION("but not while the copy is confirmed otherwise") {
    fixture.store.RespondToCheck(store::TableRows{{}, 9});
    fixture.store.confirmed_at = fixture.loop.Now() + std::chrono::hours(1);
    fixture.RespondToNext(store::TableRows{{}, 9});
    fixture.AwaitCall();
    fixture.RespondToNext(store::TableRows{{}, 10});
    fixture.AwaitCall();
    CHECK_FALSE(fixture.store.HasPendingCheck());
  }
}

}  // namespace
}  // namespace qh::gateway
