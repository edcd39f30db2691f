#include <uv.h>

#include <catch2/catch.hpp>
#include <optional>
#include <utility>

#include "quetzalhinge/gateway/vm_registration.h"

namespace qh::gateway {
namespace {

using namespace std::chrono_literals;

const Error kRefused{ErrorCode::kUnavailable, "write row", "store", "refused"};

/** A store with other VMs' rows, with a configurable number of failures. */
class FailingStore : public store::TableStore {
 public:
  explicit FailingStore(net::EventLoop& loop) : m_loop(loop) {}

  void ReadTable(const std::string& /*table*/, Callback<store::TableRows> callback) override {
    ++reads;
    m_loop.Post([this, callback = std::move(callback)] {
      if (failing_reads > 0) {
        --failing_reads;
        callback(kRefused);
      } else {
        callback(rows);
      }
    });
  }
  void AwaitChanges(const std::string& /*table*/, std::uint64_t /*after*/,
                    std::chrono::milliseconds /*wait*/,
                    Callback<store::TableRows> /*callback*/) override {}
  void WriteRow(const std::string& table, const std::string& key, const std::string& value,
                Callback<Success> callback) override {
    ++writes;
    written = table + "/" + key + " = " + value;
    m_loop.Post([this, callback = std::move(callback)] {
      if (failing_writes > 0) {
        --failing_writes;
        callback(kRefused);
      } else {
        callback(Success{});
      }
    });
  }

  int failing_writes = 0;
  int failing_reads = 0;
  int writes = 0;
  int reads = 0;
  std::string written;
  store::TableRows rows;

 private:
  net::EventLoop& m_loop;
};

struct Fixture {
  net::EventLoop loop;
  FailingStore store{loop};
  std::optional<std::vector<IpEndpoint>> peers;
  VmRegistration registration{
      loop, store, "vm-1", {"127.0.1.1", 7000}, [this](const auto& found) { peers = found; }};

  /** The clock of the timers, in whole ms. By a finer clock, timers may fire up to 1 ms early. */
  std::chrono::milliseconds TimerClock() {
    uv_update_time(loop.Handle());
    return std::chrono::milliseconds(uv_now(loop.Handle()));
  }

  void Run() {
    registration.Start();
    AwaitPeers();
  }

  void AwaitPeers() {
    const TimePoint limit = loop.Now() + 10s;
    while (!peers.has_value() && loop.Now() < limit) {
      loop.RunOnce(10ms);
    }
    REQUIRE(peers.has_value());
  }
};

TEST_CASE("A VM registers its address in the store and reads the addresses of the others") {
  Fixture fixture;
  fixture.store.rows = {
      {{"vm-1", "127.0.1.1:7000", 3, false}, {"vm-2", "127.0.1.2:7000", 4, false}}, 4};

  SECTION("at once if the store responds") {
    fixture.Run();
    CHECK(fixture.store.written == "vms/vm-1 = 127.0.1.1:7000");
    CHECK(fixture.peers == std::vector<IpEndpoint>{{"127.0.1.2", 7000}});
    CHECK(fixture.store.writes == 1);
    CHECK(fixture.store.reads == 1);
  }
  SECTION("after retries with pauses if the store fails") {
    fixture.store.failing_writes = 1;
    fixture.store.failing_reads = 1;
    const std::chrono::milliseconds begin = fixture.TimerClock();
    fixture.Run();
    CHECK(fixture.store.writes == 3);
    CHECK(fixture.store.reads == 2);
    CHECK(fixture.TimerClock() - begin >= 1400ms);
    CHECK(fixture.peers == std::vector<IpEndpoint>{{"127.0.1.2", 7000}});
  }
  // Guards against a VM that others cannot find because the store has lost its row.
  SECTION("and writes its address again if the store has lost it") {
    const auto run_until_writes = [&](int writes) {
      const TimePoint limit = fixture.loop.Now() + 10s;
      while (fixture.store.writes < writes && fixture.loop.Now() < limit) {
        fixture.loop.RunOnce(10ms);
      }
      fixture.loop.RunOnce(10ms);
      CHECK(fixture.store.writes == writes);
    };
    SECTION("after the registration") {
      fixture.Run();
      fixture.registration.OnStoreEra(0);
      CHECK(fixture.store.writes == 1);
      fixture.store.failing_writes = 1;
      fixture.registration.OnStoreEra(1);
      run_until_writes(3);
      fixture.registration.OnStoreEra(1);
      run_until_writes(3);
      fixture.registration.OnStoreEra(3);
      run_until_writes(4);
      CHECK(fixture.store.reads == 1);
    }
    SECTION("before it is known to this VM") {
      fixture.registration.OnStoreEra(1);
      fixture.Run();
      run_until_writes(2);
    }
    SECTION("between the write and the read of the others") {
      const store::StoredRow own_row = fixture.store.rows.rows.front();
      fixture.store.rows.rows.erase(fixture.store.rows.rows.begin());
      fixture.registration.Start();
      while (fixture.store.reads < 1) {
        fixture.loop.RunOnce(10ms);
      }
      fixture.loop.RunOnce(10ms);
      fixture.store.rows.rows.push_back(own_row);
      fixture.AwaitPeers();
      CHECK(fixture.store.writes == 2);
    }
  }
  SECTION("and skips rows that are malformed or removed") {
    fixture.store.rows.rows.push_back({"vm-3", "not an address", 5, false});
    fixture.store.rows.rows.push_back({"vm-4", "", 6, true});
    fixture.Run();
    CHECK(fixture.peers == std::vector<IpEndpoint>{{"127.0.1.2", 7000}});
  }
}

}  // namespace
}  // namespace qh::gateway
