#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "quetzalhinge/gateway/relay_selector.h"
#include "quetzalhinge/gateway/relayed_store.h"
#include "quetzalhinge/gateway/row_copy.h"
#include "quetzalhinge/gateway/store_copy.h"

namespace qh::gateway {

using namespace std::chrono_literals;

namespace {

constexpr const char* kConfigurationTable = "configuration";
constexpr const char* kConfigurationKey = "current";
constexpr const char* kWorkersTable = "workers";

constexpr std::chrono::milliseconds kApplyWithin{2000};

/** A store with an outage: calls that are made during it never get a response. */
class SilentStore : public store::TableStore {
 public:
  explicit SilentStore(net::EventLoop& loop) : m_loop(loop) {}

  void SetSilent(bool is_silent) { m_is_silent = is_silent; }
  std::size_t SwallowedCalls() const { return m_swallowed_calls.size(); }

  void WriteConfiguration(std::uint64_t version) {
    ++m_version;
    m_row = {kConfigurationKey, std::to_string(version), m_version, false};
    for (auto& [after, callback] : std::exchange(m_waits, {})) {
      Respond(after, std::move(callback));
    }
  }

  void ReadTable(const std::string& table, Callback<store::TableRows> callback) override {
    if (m_is_silent) {
      m_swallowed_calls.push_back(std::move(callback));
    } else if (table == kConfigurationTable) {
      Respond(0, std::move(callback));
    } else {
      RespondEmpty(std::move(callback));
    }
  }
  void AwaitChanges(const std::string& table, std::uint64_t after, std::chrono::milliseconds wait,
                    Callback<store::TableRows> callback) override {
    if (m_is_silent) {
      m_swallowed_calls.push_back(std::move(callback));
    } else if (table == kConfigurationTable && m_row.version > after) {
      Respond(after, std::move(callback));
    } else if (wait == 0ms) {
      RespondEmpty(std::move(callback));
    } else if (table == kConfigurationTable) {
      m_waits.emplace_back(after, std::move(callback));
    } else {
      m_worker_waits.push_back(std::move(callback));
    }
  }
  void WriteRow(const std::string& /*table*/, const std::string& /*key*/,
                const std::string& /*value*/, Callback<Success> /*callback*/) override {}

 private:
  void Respond(std::uint64_t after, Callback<store::TableRows> callback) {
    store::TableRows rows;
    rows.version = m_version;
    if (m_row.version > after) {
      rows.rows.push_back(m_row);
    }
    m_loop.Post([callback = std::move(callback), rows] { callback(rows); });
  }
  void RespondEmpty(Callback<store::TableRows> callback) {
    store::TableRows rows;
    rows.version = m_version;
    m_loop.Post([callback = std::move(callback), rows] { callback(rows); });
  }

  net::EventLoop& m_loop;
  bool m_is_silent = false;
  store::StoredRow m_row;
  std::uint64_t m_version = 0;
  std::vector<std::pair<std::uint64_t, Callback<store::TableRows>>> m_waits;
  std::vector<Callback<store::TableRows>> m_worker_waits;
  std::vector<Callback<store::TableRows>> m_swallowed_calls;
};

/** Decodes a configuration that consists of its version. */
class VersionDecoder : public RecordDecoder {
 public:
  Result<routes::ServiceConfiguration> DecodeConfiguration(
      const std::string& bytes) const override {
    routes::ServiceConfiguration configuration;
    configuration.version = std::stoull(bytes);
    return configuration;
  }
  Result<dispatch::WorkerRecord> DecodeWorker(const std::string& id,
                                              const std::string& /*bytes*/) const override {
    dispatch::WorkerRecord record;
    record.id = id;
    return record;
  }
  std::optional<dispatch::LoadReport> DecodeLoad(std::string_view /*value*/) const override {
    return std::nullopt;
  }
  std::optional<double> DecodeLimit(std::string_view /*value*/) const override {
    return std::nullopt;
  }
};

class IgnoringObserver : public StoreCopyObserver {
 public:
  void OnConfigurationApplied() override {}
  void OnTableUpdated(const std::string& /*table*/) override {}
  void OnWorkerEvent(const dispatch::WorkerEvent& /*event*/) override {}
};

/** One VM: its copy of the store and what the copy consists of. */
struct CopyingVm {
  net::EventLoop& loop;
  RandomGenerator random{20261205};
  metrics::MetricsRegistry metrics;
  VersionDecoder decoder;
  routes::RouteTable routes;
  dispatch::WorkerRegistry registry;
  IgnoringObserver observer;
  RelayedStore relayed_store;
  StoreCopy copy;

  CopyingVm(net::EventLoop& event_loop, store::TableStore& store, const std::string& name)
      : loop(event_loop),
        relayed_store(loop, metrics, store, name, kApplyWithin),
        copy(loop, random, metrics, relayed_store,
             {kConfigurationTable, kConfigurationKey, kWorkersTable}, decoder, routes, registry,
             {2s, kApplyWithin}, observer) {}

  std::uint64_t Version() const { return routes.Configuration().version; }
};

/** Runs the loop until `done`, for at most `limit`; returns whether it was. */
bool RunUntil(net::EventLoop& loop, const std::vector<CopyingVm*>& vms,
              const std::function<bool()>& done, Duration limit = 15s) {
  const TimePoint end = loop.Now() + limit;
  while (!done() && loop.Now() < end) {
    for (CopyingVm* vm : vms) {
      vm->relayed_store.Tick();
      vm->copy.Tick();
    }
    loop.RunOnce(10ms);
  }
  return done();
}

/**
 * A VM that answers each request for rows at once with "no changes", and says truthfully that it
 * last reached the store some time ago.
 */
class CutOffPeer {
 public:
  explicit CutOffPeer(net::EventLoop& loop)
      : m_server(loop, {}, [this](const auto& exchange) { Handle(*exchange); }) {
    REQUIRE(IsOk(m_server.Listen({"127.0.0.1", 0})));
  }
  IpEndpoint Endpoint() const { return m_server.LocalEndpoint(); }
  int Requests() const { return m_requests; }

 private:
  void Handle(http::ServerExchange& exchange) {
    ++m_requests;
    exchange.Respond({200, {}, EncodeRows({{{}, 1}, 5s, 0s, std::nullopt}), false});
  }

  http::ConnectionServer m_server;
  int m_requests = 0;
};

/** Returns a name of a VM that reads from `peer` as long as `peer` responds. */
std::string NameRankedAfter(const std::string& peer) {
  for (int i = 0;; ++i) {
    const std::string name = "vm-" + std::to_string(i);
    RelaySelector selector(name);
    selector.SetPeers({{peer, {"127.0.0.1", 1}}});
    if (selector.Choose(TimePoint(1h)).source == RelayChoice::Source::kPeer) {
      return name;
    }
  }
}

}  // namespace

// Guards against a configuration that is applied late because nothing else is asked while one read
// waits for a response that will never come.
SCENARIO("A read that an outage of the store has swallowed does not delay later changes") {
  net::EventLoop loop;
  SilentStore store(loop);
  CopyingVm vm(loop, store, "vm");
  store.WriteConfiguration(1);
  vm.copy.Start();
  REQUIRE(RunUntil(loop, {&vm}, [&] { return vm.Version() == 1; }));

  GIVEN("an outage that swallows a read of each table") {
    store.SetSilent(true);
    REQUIRE(RunUntil(loop, {&vm}, [&] { return store.SwallowedCalls() == 2; }));
    WHEN("the store responds again and the configuration changes") {
      store.SetSilent(false);
      store.WriteConfiguration(2);
      THEN("the change is applied although the swallowed reads are still in progress") {
        CHECK(RunUntil(loop, {&vm}, [&] { return vm.Version() == 2; }));
      }
    }
  }
}

// Guards against a configuration that is applied late because a peer without access to the store
// keeps answering in time.
SCENARIO("A peer that responds in time with old knowledge does not delay changes") {
  net::EventLoop loop;
  SilentStore store(loop);
  store.WriteConfiguration(1);
  CutOffPeer peer(loop);
  CopyingVm vm(loop, store, NameRankedAfter("peer"));
  vm.copy.Start();
  REQUIRE(RunUntil(loop, {&vm}, [&] { return vm.Version() == 1; }));
  vm.relayed_store.SetPeers({{"peer", peer.Endpoint()}});
  REQUIRE(RunUntil(loop, {&vm}, [&] { return peer.Requests() > 0; }));

  WHEN("the configuration changes and only the store knows it") {
    store.WriteConfiguration(2);
    THEN("it is applied") {
      CHECK(RunUntil(loop, {&vm}, [&] { return vm.Version() == 2; }));
    }
  }
}

}  // namespace qh::gateway
