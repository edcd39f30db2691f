#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "../src/read_pace.h"
#include "quetzalhinge/http/client_connection.h"
#include "relay_fixture.h"

namespace qh::gateway {

SCENARIO("The VMs of a zone select the reader of the store without communication") {
  const std::vector<RelayPeer> others{{"vm-2", {"127.0.0.1", 2}}, {"vm-3", {"127.0.0.1", 3}}};

  GIVEN("a VM without peers") {
    const RelaySelector alone("vm-1");
    THEN("it reads the store") {
      CHECK(alone.Choose(kStart).source == RelayChoice::Source::kStore);
    }
  }
  GIVEN("three VMs that know each other") {
    std::map<std::string, RelayChoice> choices;
    for (const char* name : {"vm-1", "vm-2", "vm-3"}) {
      std::vector<RelayPeer> peers;
      for (const char* peer : {"vm-1", "vm-2", "vm-3"}) {
        if (std::string(peer) != name) {
          peers.push_back({peer, {"127.0.0.1", 1}});
        }
      }
      RelaySelector selector(name);
      selector.SetPeers(peers);
      choices[name] = selector.Choose(kStart);
    }
    THEN("one of them reads the store and the others read from it") {
      std::string reader;
      for (const auto& [name, choice] : choices) {
        if (choice.source == RelayChoice::Source::kStore) {
          CHECK(reader.empty());
          reader = name;
        }
      }
      REQUIRE_FALSE(reader.empty());
      for (const auto& [name, choice] : choices) {
        CHECK((name == reader || choice.peer.vm == reader));
      }
    }
  }
  GIVEN("a VM whose reader does not respond") {
    RelaySelector selector("vm-1");
    selector.SetPeers(others);
    // Exclude all VMs that rank before this one.
    while (selector.Choose(kStart).source == RelayChoice::Source::kPeer) {
      selector.OnNoResponse(selector.Choose(kStart).peer.vm, kStart);
    }
    THEN("it reads from the next VM in order, finally from the store") {
      CHECK(selector.Choose(kStart).source == RelayChoice::Source::kStore);
    }
    THEN("it tries the reader again after the exclusion time") {
      RelaySelector fresh("vm-1");
      fresh.SetPeers(others);
      const RelayChoice first = fresh.Choose(kStart);
      CHECK(selector.Choose(kStart + 2s).source == first.source);
      CHECK(selector.Choose(kStart + 2s).peer.vm == first.peer.vm);
    }
  }
  GIVEN("peers that do not read the store themselves") {
    RelaySelector selector("vm-1");
    selector.SetPeers(others);
    for (const RelayPeer& peer : others) {
      selector.OnNotReader(peer.vm, kStart);
    }
    THEN("this is no outage, and this VM reads the store") {
      CHECK(selector.Choose(kStart).source == RelayChoice::Source::kStore);
    }
    THEN("they are excluded for a while") {
      CHECK(selector.IsExcluded("vm-2", kStart));
      CHECK_FALSE(selector.IsExcluded("vm-2", kStart + 1s));
    }
  }
  GIVEN("a store that no VM can read") {
    std::vector<RelayPeer> many;
    for (int i = 0; i < 40; ++i) {
      many.push_back({"other-" + std::to_string(i), {"127.0.0.1", 1}});
    }
    int readers = 0;
    int waiting = 0;
    for (int i = 0; i < 40; ++i) {
      const std::string own_vm = many[static_cast<std::size_t>(i)].vm;
      std::vector<RelayPeer> peers;
      for (const RelayPeer& peer : many) {
        if (peer.vm != own_vm) {
          peers.push_back(peer);
        }
      }
      RelaySelector selector(own_vm);
      selector.SetPeers(peers);
      while (selector.Choose(kStart).source == RelayChoice::Source::kPeer) {
        selector.OnStale(selector.Choose(kStart).peer.vm, kStart);
      }
      const auto source = selector.Choose(kStart).source;
      readers += source == RelayChoice::Source::kStore ? 1 : 0;
      waiting += source == RelayChoice::Source::kNone ? 1 : 0;
    }
    THEN("enough VMs keep trying to see changes although the store refuses a third of them") {
      CHECK(readers == 8);
      CHECK(waiting == 32);
    }
  }
}

SCENARIO("One VM reads the store and relays its rows to another") {
  net::EventLoop loop;
  FakeStore store(loop);
  FakeStore unused(loop);
  unused.Refuse(true);
  store.Put("a", "1");
  RelayVm reader(loop, store, "reader");
  RelayVm other(loop, unused, "other");
  const std::vector<RelayVm*> vms{&reader, &other};
  REQUIRE(IsOk(Read(loop, vms, reader, std::nullopt)));
  // Only the other VM has a peer. If it ranks first, its own store refuses it, so that it reads
  // from the reader in any case.
  other.store.SetPeers({{"reader", reader.server.LocalEndpoint()}});
  const auto read_by_other = [&](std::optional<std::uint64_t> after) {
    auto result = Read(loop, vms, other, after);
    return IsOk(result) ? result : Read(loop, vms, other, after);
  };

  WHEN("the other VM reads the table") {
    const auto rows = read_by_other(std::nullopt);
    THEN("it receives the rows of the reader") {
      REQUIRE(IsOk(rows));
      REQUIRE(ValueOf(rows).rows.size() == 1);
      CHECK(ValueOf(rows).rows[0].value == "1");
      CHECK_FALSE(other.store.WasReadFromStore("workers"));
    }
  }
  WHEN("a row changes while both VMs wait") {
    const auto rows = read_by_other(std::nullopt);
    REQUIRE(IsOk(rows));
    std::optional<Result<store::TableRows>> at_reader;
    reader.store.AwaitChanges(
        "workers", ValueOf(rows).version, 1s,
        [&](Result<store::TableRows> value) { at_reader = std::move(value); });
    std::optional<Result<store::TableRows>> at_other;
    other.store.AwaitChanges("workers", ValueOf(rows).version, 1s,
                             [&](Result<store::TableRows> value) { at_other = std::move(value); });
    loop.RunOnce(10ms);
    store.Put("b", "2");
    RunUntil(loop, vms, [&] { return at_reader.has_value() && at_other.has_value(); });
    THEN("the other VM receives the change through the reader") {
      REQUIRE(IsOk(*at_other));
      REQUIRE(ValueOf(*at_other).rows.size() == 1);
      CHECK(ValueOf(*at_other).rows[0].key == "b");
    }
  }
  WHEN("a VM without peers has just started") {
    RelayVm alone(loop, store, "alone");
    THEN("only VMs without a peer of better rank would read the store") {
      CHECK(reader.store.WouldReadStore());
      CHECK_FALSE(other.store.WouldReadStore());
      CHECK(alone.store.WouldReadStore());
    }
  }
  WHEN("rows are too large to relay") {
    store.Put("big", std::string(40 * 1024, 'x'));
    std::optional<Result<store::TableRows>> at_reader;
    reader.store.AwaitChanges(
        "workers", 1, 1s, [&](Result<store::TableRows> value) { at_reader = std::move(value); });
    RunUntil(loop, vms, [&] { return at_reader.has_value(); });
    RelayVm third(loop, store, "third");
    third.store.SetPeers({{"reader", reader.server.LocalEndpoint()}});
    const auto rows = Read(loop, vms, third, std::nullopt);
    THEN("each VM reads them directly from the store") {
      REQUIRE(IsOk(rows));
      CHECK(ValueOf(rows).rows.size() == 2);
      CHECK(third.store.WasReadFromStore("workers"));
    }
  }
  WHEN("a third VM reads from a VM that reads from the reader") {
    REQUIRE(IsOk(read_by_other(std::nullopt)));
    RelayVm requester(loop, store, NameRankedAfter("other"));
    THEN("the other VM relays no rows, so that two VMs never wait for each other") {
      // The reader that the other VM names is no longer reachable.
      reader.server.StopAccepting();
      reader.server.AbortConnections();
      requester.store.SetPeers({{"other", other.server.LocalEndpoint()}});
      REQUIRE(IsOk(Read(loop, vms, requester, std::nullopt)));
      CHECK(requester.store.WasReadFromStore("workers"));
    }
    THEN("the other VM names the reader, from which the third VM then reads") {
      requester.store.SetPeers({{"other", other.server.LocalEndpoint()}});
      const int reads = store.Reads();
      REQUIRE(IsOk(Read(loop, vms, requester, std::nullopt)));
      CHECK_FALSE(requester.store.WasReadFromStore("workers"));
      CHECK(store.Reads() == reads);
    }
  }
  WHEN("the store refuses a VM but serves another") {
    store.Refuse(true);
    std::optional<Result<store::TableRows>> ignored;
    FakeStore good(loop);
    good.Put("a", "1");
    RelayVm served(loop, good, "served");
    REQUIRE(IsOk(Read(loop, {&served}, served, std::nullopt)));
    RelayVm refused(loop, store, "refused");
    refused.store.SetPeers({{"served", served.server.LocalEndpoint()}});
    const auto rows = Read(loop, {&served, &refused}, refused, std::nullopt);
    THEN("the refused VM reads from the other one within the same read") {
      REQUIRE(IsOk(rows));
      CHECK(ValueOf(rows).rows.size() == 1);
    }
  }
  WHEN("the selected reader has no fresh rows") {
    RelayVm stale(loop, unused, "stale");
    RelayVm requester(loop, store, "asker");
    requester.store.SetPeers({{"stale", stale.server.LocalEndpoint()}});
    const auto rows = Read(loop, vms, requester, std::nullopt);
    THEN("the other VM reads the store directly") {
      REQUIRE(IsOk(rows));
      CHECK(requester.store.WasReadFromStore("workers"));
    }
  }
}

SCENARIO("A peer that waits for changes learns that there are none") {
  net::EventLoop loop;
  FakeStore store(loop);
  store.Put("a", "1");
  RelayVm reader(loop, store, "reader");
  // Its own wait would end long after the test.
  RelayVm other(loop, store, NameRankedAfter("reader"), 100s);
  const std::vector<RelayVm*> vms{&reader, &other};
  const auto rows = Read(loop, vms, reader, std::nullopt);
  REQUIRE(IsOk(rows));
  other.store.SetPeers({{"reader", reader.server.LocalEndpoint()}});
  std::optional<Result<store::TableRows>> at_other;
  other.store.AwaitChanges("workers", ValueOf(rows).version, 1s,
                           [&](Result<store::TableRows> value) { at_other = std::move(value); });
  RunUntil(loop, vms, [&] { return reader.server.InProgress() == 1; });
  WHEN("the reader's wait at the store ends without changes") {
    const int reads = store.Reads();
    reader.store.AwaitChanges("workers", ValueOf(rows).version, 1s, [](const auto& /*rows*/) {});
    RunUntil(loop, vms, [&] { return store.Reads() > reads; });
    store.EndWaits();
    THEN("the other VM is told at once") {
      RunUntil(loop, vms, [&] { return at_other.has_value(); });
      REQUIRE(IsOk(*at_other));
      CHECK(ValueOf(*at_other).rows.empty());
      CHECK(other.store.ConfirmedAt("workers").has_value());
    }
  }
}

// Guards against a wait at a peer that ends shortly before the peer reads again: the next wait
// would miss that read, and the copy would not be confirmed for almost two read cycles.
SCENARIO("A wait at a peer outlasts the time between two reads of the peer") {
  net::EventLoop loop;
  FakeStore unused(loop);
  std::string path;
  http::ConnectionServer peer(loop, {}, [&](const std::shared_ptr<http::ServerExchange>& exchange) {
    path = exchange->Request().path;
  });
  REQUIRE(IsOk(peer.Listen({"127.0.0.1", 0})));
  constexpr std::chrono::milliseconds kLongApplyWithin{2500};
  RelayVm vm(loop, unused, NameRankedAfter("peer"), kLongApplyWithin);
  vm.store.SetPeers({{"peer", peer.LocalEndpoint()}});
  vm.store.AwaitChanges("workers", 1, 1s, [](const auto& /*rows*/) {});
  RunUntil(loop, {&vm}, [&] { return !path.empty(); });
  const ReadPace pace(kLongApplyWithin);
  const auto wait = std::stoi(http::QueryParameter(path, "wait").value_or("0"));
  CHECK(std::chrono::milliseconds(wait) > pace.Cycle());
}

// Guards against versions of the store that VMs of two releases form in different ways and cannot
// compare.
SCENARIO("VMs of the release before relay no rows to this one, nor this one to them") {
  net::EventLoop loop;
  FakeStore store(loop);
  store.Put("a", "1");

  GIVEN("a VM whose peers are all of the release before, which does not know the path") {
    // More than the VMs that read a store which refuses its zone; see RelaySelectorOptions.
    constexpr int kPeers = 9;
    std::vector<std::unique_ptr<http::ConnectionServer>> servers;
    std::vector<RelayPeer> peers;
    for (int i = 0; i < kPeers; ++i) {
      servers.push_back(std::make_unique<http::ConnectionServer>(
          loop, http::ConnectionLimits{}, [](const auto& exchange) {
            exchange->Respond({404, {}, "", false});
          }));
      REQUIRE(IsOk(servers.back()->Listen({"127.0.0.1", 0})));
      peers.push_back({"peer-" + std::to_string(i), servers.back()->LocalEndpoint()});
    }
    RelayVm vm(loop, store, "vm");
    vm.store.SetPeers(peers);
    THEN("it reads the store, since their answers do not mean an outage") {
      REQUIRE(IsOk(Read(loop, {&vm}, vm, std::nullopt)));
      CHECK(vm.store.WasReadFromStore("workers"));
      CHECK(vm.store.WouldReadStore());
    }
  }
  GIVEN("a reader with fresh rows") {
    RelayVm reader(loop, store, "reader");
    REQUIRE(IsOk(Read(loop, {&reader}, reader, std::nullopt)));
    WHEN("a VM of the release before asks it for rows") {
      http::ClientConnection connection(loop, reader.server.LocalEndpoint(), {});
      http::ClientRequest call;
      call.request = {"GET", "/internal/rows?table=workers", {}, ""};
      call.timeout = 20s;
      std::optional<http::HttpCallResult> result;
      connection.Start(call, [&](http::HttpCallResult value) { result = std::move(value); });
      RunUntil(loop, {&reader}, [&] { return result.has_value(); });
      THEN("it is told to read the store") {
        const auto* response = std::get_if<http::HttpResponse>(&*result);
        REQUIRE(response != nullptr);
        CHECK(response->status == 421);
        CHECK(response->body.empty());
      }
    }
  }
}

// Guards against rows that count as current although their response waited in the socket of a
// process that stood still.
SCENARIO("A response of the store that is read late does not count as current") {
  net::EventLoop loop;
  FakeStore store(loop);
  store.Put("a", "1");
  RelayVm vm(loop, store, "vm");
  const std::vector<RelayVm*> vms{&vm};
  const auto rows = Read(loop, vms, vm, std::nullopt);
  REQUIRE(IsOk(rows));
  const TimePoint started_at = loop.Now();
  std::optional<Result<store::TableRows>> result;
  vm.store.AwaitChanges("workers", ValueOf(rows).version, 1s,
                        [&](Result<store::TableRows> value) { result = std::move(value); });
  // Longer than any wait at the store.
  RunUntil(loop, vms, [&] { return loop.Now() > started_at + 3 * kApplyWithin; });
  store.EndWaits();
  RunUntil(loop, vms, [&] { return result.has_value(); });
  REQUIRE(IsOk(*result));
  REQUIRE(vm.store.ConfirmedAt("workers").has_value());
  CHECK(*vm.store.ConfirmedAt("workers") <= started_at + kApplyWithin);
}

// Guards against a table that is never read again: a failed read of one table blocks reads of the
// others until it succeeds, but nothing reads the first table any more.
SCENARIO("A failed read of one table does not block reads of another permanently") {
  net::EventLoop loop;
  FakeStore store(loop);
  store.Put("a", "1");
  RelayVm vm(loop, store, "vm");
  const std::vector<RelayVm*> vms{&vm};
  store.Refuse(true);
  std::optional<Result<store::TableRows>> first;
  vm.store.ReadTable("workers", [&](Result<store::TableRows> value) { first = std::move(value); });
  RunUntil(loop, vms, [&] { return first.has_value(); });
  REQUIRE_FALSE(IsOk(*first));
  store.Refuse(false);
  THEN("the other table can be read although the first is not read again") {
    bool is_read = false;
    std::function<void()> read_on = [&] {
      vm.store.ReadTable("configuration", [&](const Result<store::TableRows>& value) {
        is_read = IsOk(value);
        if (!is_read) {
          loop.Post(read_on);
        }
      });
    };
    read_on();
    RunUntil(loop, vms, [&] { return is_read; });
  }
}

}  // namespace qh::gateway
