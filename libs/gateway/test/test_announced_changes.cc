#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "quetzalhinge/gateway/gateway_process.h"
#include "quetzalhinge/http/client_connection.h"

namespace qh::gateway {

using namespace std::chrono_literals;

namespace {

constexpr const char* kConfigurationTable = "configuration";
constexpr const char* kConfigurationKey = "current";
constexpr const char* kWorkersTable = "workers";

/** The VM checks its copies without an announcement after 0.6 of this. */
constexpr std::chrono::milliseconds kApplyWithin{60'000};
constexpr std::chrono::milliseconds kMaxDelay{20'000};

/** The rows that all VMs share, and how each VM reaches them. */
class SharedStore {
 public:
  /** The store as one VM sees it. */
  class View : public store::TableStore {
   public:
    View(net::EventLoop& loop, SharedStore& shared) : m_loop(loop), m_shared(shared) {}

    void ReadTable(const std::string& table, Callback<store::TableRows> callback) override {
      if (is_silent) {
        ++swallowed_reads;
      } else {
        Respond(table, 0, std::move(callback));
      }
    }
    void AwaitChanges(const std::string& table, std::uint64_t after, std::chrono::milliseconds wait,
                      Callback<store::TableRows> callback) override {
      if (is_silent) {
        ++swallowed_reads;
      } else if (wait == 0ms) {
        checks += table == kConfigurationTable ? 1 : 0;
        Respond(table, after, std::move(callback));
      } else if (swallowed_table == table) {
        ++swallowed_waits;
      } else {
        m_waits[table] = {after, std::move(callback)};
        RespondToWaits();
      }
    }
    void WriteRow(const std::string& table, const std::string& key, const std::string& value,
                  Callback<Success> callback) override {
      m_shared.Put(table, key, value);
      m_loop.Post([callback = std::move(callback)] { callback(Success{}); });
    }

    void RespondToWaits() {
      for (const char* table : {kConfigurationTable, kWorkersTable}) {
        const auto wait = m_waits.find(table);
        if (wait != m_waits.end() && !m_shared.Rows(table, wait->second.first).rows.empty()) {
          auto [after, callback] = std::move(wait->second);
          m_waits.erase(wait);
          Respond(table, after, std::move(callback));
        }
      }
    }

    std::size_t Waits() const { return m_waits.size(); }

    /** Waits for changes of this table get no response. */
    std::string swallowed_table;
    int swallowed_waits = 0;
    /** No call gets a response from now on. */
    bool is_silent = false;
    int swallowed_reads = 0;
    /** Reads of changes of the configuration without waiting. */
    int checks = 0;

   private:
    void Respond(const std::string& table, std::uint64_t after,
                 Callback<store::TableRows> callback) {
      m_loop.Post(
          [callback = std::move(callback), rows = m_shared.Rows(table, after)] { callback(rows); });
    }

    net::EventLoop& m_loop;
    SharedStore& m_shared;
    std::map<std::string, std::pair<std::uint64_t, Callback<store::TableRows>>> m_waits;
  };

  void Put(const std::string& table, const std::string& key, const std::string& value) {
    ++m_version;
    m_rows[{table, key}] = {key, value, m_version, false};
  }
  store::TableRows Rows(const std::string& table, std::uint64_t after) const {
    store::TableRows rows;
    rows.version = m_version;
    for (const auto& [name, row] : m_rows) {
      if (name.first == table && row.version > after) {
        rows.rows.push_back(row);
      }
    }
    return rows;
  }

 private:
  std::map<std::pair<std::string, std::string>, store::StoredRow> m_rows;
  std::uint64_t m_version = 0;
};

class FakePlatform : public RecordDecoder, public DiscoveryProtocol {
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
  std::string ReadyPath() const override { return "/ready"; }
  std::string AddressPath() const override { return "/addresses"; }
  std::string CallerZone(const std::string& /*path_and_query*/) const override { return ""; }
  std::string FormatAddresses(const std::vector<IpEndpoint>& /*addresses*/,
                              std::chrono::milliseconds /*time_to_live*/) const override {
    return "";
  }
};

/** An entry VM in a zone of its own, so that it reads the store itself. */
struct EntryVm {
  SharedStore::View store;
  GatewayProcess process;

  EntryVm(net::EventLoop& loop, SharedStore& shared, const FakePlatform& platform, int number)
      : store(loop, shared),
        process(loop, SettingsOf(number),
                {platform,
                 platform,
                 store,
                 {kConfigurationTable, kConfigurationKey, kWorkersTable},
                 {},
                 [] { return GatewaySettingsResult{}; }}) {
    REQUIRE(IsOk(process.Start()));
  }

  static GatewaySettings SettingsOf(int number) {
    const std::string ip = "127.74.0." + std::to_string(number);
    GatewaySettings settings;
    settings.name = "vm-" + std::to_string(number);
    settings.zone = "zone-" + std::to_string(number);
    settings.callers = {ip, 8000};
    settings.ready = {ip, 8001};
    settings.addresses = {ip, 8002};
    settings.internal = {ip, 8003};
    settings.apply_within = kApplyWithin;
    settings.deployment_key = "key-of-this-test";
    settings.gossip_interval = 50ms;
    return settings;
  }
};

/** Runs the loop until `is_done`, for at most kMaxDelay; returns whether it was. */
bool RunUntil(net::EventLoop& loop, const std::function<bool()>& is_done) {
  const TimePoint end = loop.Now() + kMaxDelay;
  while (!is_done() && loop.Now() < end) {
    loop.RunOnce(10ms);
  }
  return is_done();
}

/** Returns the version of the configuration in force, as the metrics of the VM show it. */
double ConfigurationVersion(net::EventLoop& loop, int number) {
  http::ClientConnection connection(loop, EntryVm::SettingsOf(number).internal, {});
  http::ClientRequest call;
  call.request = {"GET", "/metrics", {}, ""};
  call.timeout = kMaxDelay;
  std::optional<http::HttpCallResult> result;
  connection.Start(call, [&](http::HttpCallResult value) { result = std::move(value); });
  while (!result.has_value()) {
    loop.RunOnce(10ms);
  }
  const auto* response = std::get_if<http::HttpResponse>(&*result);
  REQUIRE(response != nullptr);
  const std::string text(response->body.Bytes());
  const std::string name = "\nqh_configuration_version ";
  const std::size_t found = text.find(name);
  REQUIRE(found != std::string::npos);
  return std::stod(text.substr(found + name.size()));
}

}  // namespace

// Guards against an announced configuration that a VM does not read because it already knows a
// newer change of the workers.
SCENARIO("A newer change of one table does not hide that the other one is behind") {
  net::EventLoop loop;
  const FakePlatform platform;
  SharedStore shared;
  shared.Put(kConfigurationTable, kConfigurationKey, "1");
  shared.Put(kWorkersTable, "worker", "");
  EntryVm announcing(loop, shared, platform, 1);
  EntryVm behind(loop, shared, platform, 2);
  behind.store.swallowed_table = kConfigurationTable;
  REQUIRE(RunUntil(loop, [&] {
    return announcing.store.Waits() == 2 && behind.store.Waits() == 1 &&
           behind.store.swallowed_waits == 1;
  }));
  const int checks = behind.store.checks;

  WHEN("the configuration changes, and the VM learns only of a later change of a worker") {
    shared.Put(kConfigurationTable, kConfigurationKey, "2");
    shared.Put(kWorkersTable, "worker", "");
    behind.store.RespondToWaits();
    loop.RunOnce(10ms);
    announcing.store.RespondToWaits();
    THEN("it reads the announced configuration") {
      CHECK(RunUntil(loop, [&] { return behind.store.checks > checks; }));
    }
  }
}

// Guards against a configuration that stays out of force while every way to the store fails,
// although the VM that announced it can be asked.
SCENARIO("A VM that the store does not answer takes an announced configuration from another VM") {
  net::EventLoop loop;
  const FakePlatform platform;
  SharedStore shared;
  shared.Put(kConfigurationTable, kConfigurationKey, "1");
  shared.Put(kWorkersTable, "worker", "");
  EntryVm announcing(loop, shared, platform, 1);
  EntryVm cut_off(loop, shared, platform, 2);
  REQUIRE(
      RunUntil(loop, [&] { return announcing.store.Waits() == 2 && cut_off.store.Waits() == 2; }));
  REQUIRE(ConfigurationVersion(loop, 2) == 1);

  WHEN("the configuration changes and the store no longer answers one of the VMs") {
    cut_off.store.is_silent = true;
    shared.Put(kConfigurationTable, kConfigurationKey, "2");
    announcing.store.RespondToWaits();
    THEN("that VM applies it nevertheless") {
      CHECK(RunUntil(loop, [&] { return ConfigurationVersion(loop, 2) == 2; }));
    }
  }
}

}  // namespace qh::gateway
