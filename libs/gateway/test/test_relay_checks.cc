#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <vector>

#include "quetzalhinge/gateway/row_copy.h"
#include "relay_fixture.h"

namespace qh::gateway {

// Guards against reads of the same rows that share a slow link, so that none of them ends in time.
SCENARIO("A read of the store waits while rows of the table arrive") {
  net::EventLoop loop;
  FakeStore store(loop);
  store.Put("a", "1");
  RelayVm vm(loop, store, "vm");
  const std::vector<RelayVm*> vms{&vm};
  REQUIRE(IsOk(Read(loop, vms, vm, std::nullopt)));
  const int reads = store.Reads();
  store.SetReceiving(true);
  vm.store.AwaitChanges("workers", 1, 1s, [](const auto& /*rows*/) {});
  const TimePoint end = loop.Now() + kApplyWithin;
  RunUntil(loop, vms, [&] { return loop.Now() >= end; });
  CHECK(store.Reads() == reads);

  WHEN("a check has brought newer rows meanwhile") {
    store.Put("b", "2");
    bool is_checked = false;
    vm.store.CheckStore("workers", 1, [&](const auto& rows) { is_checked = IsOk(rows); });
    RunUntil(loop, vms, [&] { return is_checked; });
    store.SetReceiving(false);
    THEN("the read continues from these") {
      RunUntil(loop, vms, [&] { return store.Reads() == reads + 2; });
      CHECK(store.RequestedAfter() == 2);
    }
  }
}

// Guards against a change feed with many versions of a large row, which occupies a slow link for
// longer than a change may take.
SCENARIO("A table with a large row is read whole if its copy is not known to be current") {
  net::EventLoop loop;
  FakeStore store(loop);
  const bool has_large_row = GENERATE(true, false);
  store.Put("a", std::string(has_large_row ? kMaxRelayedBytes + 1 : 1, 'x'));
  RelayVm vm(loop, store, "vm");
  const std::vector<RelayVm*> vms{&vm};
  REQUIRE(IsOk(Read(loop, vms, vm, std::nullopt)));
  const auto check = [&] {
    std::optional<Result<store::TableRows>> result;
    vm.store.CheckStore("workers", 1, [&](const auto& rows) { result = rows; });
    RunUntil(loop, vms, [&] { return result.has_value(); });
    return *result;
  };

  WHEN("the copy was current a short time ago") {
    store.Put("b", "2");
    THEN("the changes since then are read") { CHECK(IsOk(check())); }
  }
  WHEN("the copy has not been known to be current for long") {
    const TimePoint end = loop.Now() + kApplyWithin;
    RunUntil(loop, vms, [&] { return loop.Now() >= end; });
    store.Put("a", std::string(has_large_row ? kMaxRelayedBytes + 1 : 1, 'y'));
    const auto checked = check();
    const auto read = Read(loop, vms, vm, 1);
    THEN("readers of a large row are told to read the whole table") {
      CHECK(IsOk(checked) != has_large_row);
      CHECK(IsOk(read) != has_large_row);
      if (has_large_row) {
        CHECK(ErrorOf(checked).code == ErrorCode::kConflict);
        CHECK(ErrorOf(read).code == ErrorCode::kConflict);
      }
    }
  }
}

// Guards against a change that only VMs know which do not read the store themselves.
SCENARIO("A VM that does not read the store says what it knows and how old that is") {
  net::EventLoop loop;
  FakeStore store(loop);
  FakeStore unused(loop);
  unused.Refuse(true);
  store.Put("a", "1");
  RelayVm reader(loop, store, "reader");
  RelayVm other(loop, unused, NameRankedAfter("reader"));
  RelayVm asker(loop, unused, "asker");
  const std::vector<RelayVm*> vms{&reader, &other, &asker};
  REQUIRE(IsOk(Read(loop, vms, reader, std::nullopt)));
  other.store.SetPeers({{"reader", reader.server.LocalEndpoint()}});
  REQUIRE(IsOk(Read(loop, vms, other, std::nullopt)));
  const std::vector<RelayPeer> peers{{"other", other.server.LocalEndpoint()}};
  asker.store.SetPeerChoice([&] { return peers; });
  std::vector<store::TableRows> responses;
  bool was_complete = false;
  const auto ask = [&](std::uint64_t after) {
    asker.store.CheckPeers("workers", after, [&](const store::TableRows& rows, bool is_complete) {
      responses.push_back(rows);
      was_complete = is_complete;
    });
  };

  const TimePoint asked_at = loop.Now() + 50ms;
  RunUntil(loop, vms, [&] { return loop.Now() >= asked_at; });

  WHEN("it is asked for changes since a version before its first read") {
    ask(0);
    RunUntil(loop, vms, [&] { return !responses.empty(); });
    THEN("it sends all rows, since it does not know what was removed before") {
      CHECK(was_complete);
      REQUIRE(responses[0].rows.size() == 1);
      CHECK(responses[0].rows[0].value == "1");
      CHECK(asker.store.SourceOf("workers") == "other check");
    }
    THEN("they count as current when it last knew that they were") {
      REQUIRE(asker.store.ConfirmedAt("workers").has_value());
      // Ages are sent in whole milliseconds.
      CHECK(*asker.store.ConfirmedAt("workers") <= *other.store.ConfirmedAt("workers") + 1ms);
    }
  }
  WHEN("it knows no changes") {
    ask(1);
    RunUntil(loop, vms, [&] { return !responses.empty(); });
    THEN("it confirms the copy without waiting for one") {
      CHECK(responses[0].rows.empty());
      CHECK_FALSE(was_complete);
    }
  }
}

// Guards against workers that are removed at once although their entries only expired during an
// outage of the store, which the VM that knows of the removal reports.
SCENARIO("A VM learns from another one that is asked what it knows that the store was away") {
  net::EventLoop loop;
  FakeStore store(loop);
  constexpr auto kSinceOutage = 100ms;
  http::ConnectionServer peer(loop, {}, [&](const std::shared_ptr<http::ServerExchange>& exchange) {
    exchange->Respond({200, {}, EncodeRows({{{}, 1}, 0ms, 0ms, kSinceOutage}), false});
  });
  REQUIRE(IsOk(peer.Listen({"127.0.0.1", 0})));
  RelayVm vm(loop, store, "vm");
  vm.store.SetPeerChoice([&] { return std::vector<RelayPeer>{{"peer", peer.LocalEndpoint()}}; });
  std::optional<Duration> recovered_ago;
  vm.store.OnStoreRecovered([&](Duration ago) { recovered_ago = ago; });
  bool has_response = false;
  vm.store.CheckPeers("workers", 0, [&](const auto& /*rows*/, bool) { has_response = true; });
  RunUntil(loop, {&vm}, [&] { return has_response; });
  REQUIRE(recovered_ago.has_value());
  CHECK(*recovered_ago >= kSinceOutage);
}

}  // namespace qh::gateway
