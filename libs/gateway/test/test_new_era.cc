#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "quetzalhinge/gateway/relayed_store.h"
#include "quetzalhinge/gateway/store_copy.h"
#include "quetzalhinge/store/store_version.h"

namespace qh::gateway {

using namespace std::chrono_literals;

namespace {

constexpr const char* kWorkersTable = "workers";

constexpr std::chrono::milliseconds kWorkerDrain{2000};
/** Entries are back within about two seconds; the removal waits for nearly the drain time. */
constexpr std::chrono::milliseconds kMinRemovalDelay{1900};

/** A store that can go back to an empty copy between two requests, without any failure. */
class RestorableStore : public store::TableStore {
 public:
  explicit RestorableStore(net::EventLoop& loop) : m_loop(loop) {}

  void Put(const std::string& key) { m_rows[key] = {key, "", Version(++m_change), false}; }

  void RestoreEmptyCopy() {
    ++m_era;
    m_change = 1;
    m_rows.clear();
  }

  /** Ends the waits for changes. */
  void EndWaits() {
    for (auto& [after, callback] : std::exchange(m_waits, {})) {
      Respond(after, std::move(callback));
    }
  }

  void ReadTable(const std::string& table, Callback<store::TableRows> callback) override {
    store::TableRows rows;
    rows.version = Version(m_change);
    if (table == kWorkersTable) {
      for (const auto& [key, row] : m_rows) {
        rows.rows.push_back(row);
      }
    }
    m_loop.Post([callback = std::move(callback), rows] { callback(rows); });
  }
  void AwaitChanges(const std::string& /*table*/, std::uint64_t after,
                    std::chrono::milliseconds /*wait*/,
                    Callback<store::TableRows> callback) override {
    m_waits.emplace_back(after, std::move(callback));
  }
  void WriteRow(const std::string& /*table*/, const std::string& /*key*/,
                const std::string& /*value*/, Callback<Success> /*callback*/) override {}

 private:
  std::uint64_t Version(std::uint64_t change) const { return *store::MakeVersion(m_era, change); }

  void Respond(std::uint64_t after, Callback<store::TableRows> callback) {
    Result<store::TableRows> result(store::TableRows{{}, Version(m_change)});
    if (store::EraOf(after) != m_era) {
      result = Error{ErrorCode::kConflict, "await changes", "store", "older copy"};
    }
    m_loop.Post([callback = std::move(callback), result] { callback(result); });
  }

  net::EventLoop& m_loop;
  std::uint64_t m_era = 1;
  std::uint64_t m_change = 0;
  std::map<std::string, store::StoredRow> m_rows;
  std::vector<std::pair<std::uint64_t, Callback<store::TableRows>>> m_waits;
};

class NameDecoder : public RecordDecoder {
 public:
  Result<routes::ServiceConfiguration> DecodeConfiguration(
      const std::string& /*bytes*/) const override {
    return routes::ServiceConfiguration{};
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

}  // namespace

// Guards against a worker that gets no requests until it has written its lost entry again.
SCENARIO(
    "A worker whose entry the store has lost stays in use until it can have written it again") {
  net::EventLoop loop;
  RandomGenerator random{20261205};
  metrics::MetricsRegistry metrics;
  RestorableStore store(loop);
  const NameDecoder decoder;
  routes::RouteTable routes;
  dispatch::WorkerRegistry registry;
  IgnoringObserver observer;
  RelayedStore relayed_store(loop, metrics, store, "vm", 2s);
  StoreCopy copy(loop, random, metrics, relayed_store, {"configuration", "current", kWorkersTable},
                 decoder, routes, registry, {kWorkerDrain, 2s}, observer);
  relayed_store.OnStoreRecovered([&](Duration ago) { copy.OnStoreRecovered(ago); });
  const auto run_until = [&](const std::function<bool()>& is_done) {
    const TimePoint end = loop.Now() + 20s;
    while (!is_done() && loop.Now() < end) {
      loop.RunOnce(10ms);
      store.EndWaits();
      copy.Tick();
    }
    return is_done();
  };
  store.Put("worker");
  copy.Start();
  REQUIRE(run_until([&] { return registry.Find("worker") != nullptr; }));

  WHEN("the store continues from a copy without the worker, without an outage that a VM notices") {
    store.RestoreEmptyCopy();
    const TimePoint restored_at = loop.Now();
    THEN("the worker is removed, but not at once") {
      CHECK(run_until([&] { return registry.Find("worker") == nullptr; }));
      CHECK(loop.Now() - restored_at >= kMinRemovalDelay);
    }
  }
}

}  // namespace qh::gateway
