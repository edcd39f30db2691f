#include "quetzalhinge/gateway/store_copy.h"

#include <algorithm>
#include <array>
#include <map>
#include <nlohmann/json.hpp>
#include <utility>

#include "quetzalhinge/gateway/table_follower.h"
#include "quetzalhinge/logging/log.h"

namespace qh::gateway {
namespace {

using dispatch::WorkerEntry;
using dispatch::WorkerEvent;
using nlohmann::json;

/** Outages shorter than this let no entry lapse. */
constexpr std::chrono::milliseconds kShortOutage{300};

/**
 * How long after the store's return entries that lapsed may be missing. They are back within about
 * 2 s; the bound on sending to a worker that has left is that of a planned leave.
 */
constexpr double kRemovalDelayPart = 0.95;

/** Rows of one table by key. */
using RowMap = std::map<std::string, store::StoredRow>;

json ToJson(const store::TableRows& rows) {
  json list = json::array();
  for (const store::StoredRow& row : rows.rows) {
    list.push_back({row.key, row.value, row.version});
  }
  return {{"version", rows.version}, {"rows", std::move(list)}};
}

store::TableRows FromJson(const json& object) {
  store::TableRows rows;
  rows.version = object.at("version").get<std::uint64_t>();
  for (const json& row : object.at("rows")) {
    store::StoredRow stored;
    stored.key = row.at(0).get<std::string>();
    stored.value = row.at(1).get<std::string>();
    stored.version = row.at(2).get<std::uint64_t>();
    rows.rows.push_back(std::move(stored));
  }
  return rows;
}

}  // namespace

struct StoreCopy::Impl : public TableFollowerObserver {
  net::EventLoop& loop;
  StoreLayout layout;
  const RecordDecoder& decoder;
  routes::RouteTable& routes;
  dispatch::WorkerRegistry& registry;
  Duration removal_delay;
  StoreCopyObserver& observer;
  metrics::Counter& unreadable;
  TableFollower configuration;
  TableFollower workers;
  /** Raw rows, for peers. */
  RowMap configuration_rows;
  RowMap worker_rows;

  Impl(net::EventLoop& event_loop, RandomGenerator& random, metrics::MetricsRegistry& metrics,
       store::TableStore& store, const StoreLayout& store_layout,
       const RecordDecoder& record_decoder, routes::RouteTable& route_table,
       dispatch::WorkerRegistry& worker_registry, std::chrono::milliseconds worker_drain,
       StoreCopyObserver& copy_observer)
      : loop(event_loop),
        layout(store_layout),
        decoder(record_decoder),
        routes(route_table),
        registry(worker_registry),
        removal_delay(std::chrono::duration_cast<Duration>(worker_drain * kRemovalDelayPart)),
        observer(copy_observer),
        unreadable(metrics.CounterOf("qh_store_unreadable_rows_total")),
        configuration(loop, random, store, layout.configuration_table, *this),
        workers(loop, random, store, layout.workers_table, *this) {}

  void OnRows(const std::string& table, const store::TableRows& rows, bool is_whole) override {
    if (table == layout.configuration_table) {
      Keep(configuration_rows, rows, is_whole);
      TakeConfiguration(rows);
    } else {
      Keep(worker_rows, rows, is_whole);
      TakeWorkers(rows, is_whole);
    }
  }

  void OnStoreLost(const std::string& table, const Error& error) override {
    logging::LogError("store", error);
    logging::LogChange("store", "lost", {{"table", table}, {"code", ToString(error.code)}});
  }

  void OnStoreBack(const std::string& table, Duration outage) override {
    logging::LogChange("store", "back",
                       {{"table", table}, {"outage_ms", std::to_string(ToMillis(outage))}});
    if (table == layout.workers_table && outage > kShortOutage) {
      registry.PutOffRemovals(loop.Now() + removal_delay);
    }
  }

  static void Keep(RowMap& kept, const store::TableRows& rows, bool is_whole) {
    if (is_whole) {
      kept.clear();
    }
    for (const store::StoredRow& row : rows.rows) {
      if (row.removed) {
        kept.erase(row.key);
      } else {
        kept[row.key] = row;
      }
    }
  }

  void TakeConfiguration(const store::TableRows& rows) {
    for (const store::StoredRow& row : rows.rows) {
      if (row.key != layout.configuration_key || row.removed) {
        continue;
      }
      auto decoded = decoder.DecodeConfiguration(row.value);
      if (!IsOk(decoded)) {
        unreadable.Add();
        logging::LogError("store", ErrorOf(decoded));
        continue;
      }
      const std::uint64_t before = routes.Configuration().version;
      const std::uint64_t version = ValueOf(decoded).version;
      if (routes.Apply(TakeValue(std::move(decoded)))) {
        logging::LogChange("configuration", "applied",
                           {{"version", std::to_string(version)},
                            {"before", std::to_string(before)},
                            {"store_version", std::to_string(row.version)},
                            {"routes", std::to_string(routes.Configuration().routes.size())}});
        observer.OnConfigurationApplied();
      } else if (version < before) {
        logging::LogChange(
            "configuration", "older version ignored",
            {{"version", std::to_string(version)}, {"in_force", std::to_string(before)}});
      }
    }
  }

  void TakeWorkers(const store::TableRows& rows, bool is_whole) {
    std::vector<WorkerEntry> entries;
    for (const store::StoredRow& row : rows.rows) {
      WorkerEntry entry{row.key, std::nullopt};
      if (!row.removed) {
        auto decoded = decoder.DecodeWorker(row.key, row.value);
        if (IsOk(decoded)) {
          entry.record = TakeValue(std::move(decoded));
        } else {
          unreadable.Add();
          logging::LogError("store", ErrorOf(decoded));
        }
      }
      entries.push_back(std::move(entry));
    }
    Report(is_whole ? registry.ApplyAll(entries, loop.Now()) : registry.Apply(entries, loop.Now()));
  }

  void Report(const std::vector<WorkerEvent>& events) {
    for (const WorkerEvent& event : events) {
      logging::LogChange("worker", dispatch::kWorkerChangeNames.NameOf(event.change),
                         {{"worker", event.record.id},
                          {"service", event.record.service},
                          {"peer", ToString(event.record.address)},
                          {"zone", event.record.zone},
                          {"sequence", std::to_string(event.record.sequence)}});
      observer.OnWorkerEvent(event);
    }
  }
};

StoreCopy::StoreCopy(net::EventLoop& loop, RandomGenerator& random,
                     metrics::MetricsRegistry& metrics, store::TableStore& store,
                     const StoreLayout& layout, const RecordDecoder& decoder,
                     routes::RouteTable& routes, dispatch::WorkerRegistry& registry,
                     std::chrono::milliseconds worker_drain, StoreCopyObserver& observer)
    : m_impl(std::make_unique<Impl>(loop, random, metrics, store, layout, decoder, routes, registry,
                                    worker_drain, observer)) {}
StoreCopy::~StoreCopy() = default;

void StoreCopy::Start() {
  m_impl->configuration.Start();
  m_impl->workers.Start();
}

std::optional<TimePoint> StoreCopy::LostSince() const noexcept {
  const auto configuration = m_impl->configuration.LostSince();
  const auto workers = m_impl->workers.LostSince();
  if (configuration.has_value() && workers.has_value()) {
    return std::min(*configuration, *workers);
  }
  return configuration.has_value() ? configuration : workers;
}

std::uint64_t StoreCopy::Version() const noexcept {
  return std::min(m_impl->configuration.Version(), m_impl->workers.Version());
}

std::string StoreCopy::ForPeer(std::uint64_t after) const {
  if (std::max(m_impl->configuration.Version(), m_impl->workers.Version()) <= after) {
    return "";
  }
  const auto rows_of = [](const RowMap& kept, std::uint64_t version) {
    store::TableRows rows;
    rows.version = version;
    for (const auto& [key, row] : kept) {
      rows.rows.push_back(row);
    }
    return ToJson(rows);
  };
  const json body = {
      {"configuration", rows_of(m_impl->configuration_rows, m_impl->configuration.Version())},
      {"workers", rows_of(m_impl->worker_rows, m_impl->workers.Version())}};
  return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

Result<Success> StoreCopy::TakeFromPeer(const std::string& peer, const std::string& text) {
  try {
    const json body = json::parse(text);
    const store::TableRows configuration = FromJson(body.at("configuration"));
    const store::TableRows workers = FromJson(body.at("workers"));
    const bool newer_configuration = m_impl->configuration.Offer(configuration);
    const bool newer_workers = m_impl->workers.Offer(workers);
    if (newer_configuration || newer_workers) {
      logging::LogChange("store", "copy taken from a peer",
                         {{"peer", peer},
                          {"configuration_rows_version", std::to_string(configuration.version)},
                          {"worker_rows_version", std::to_string(workers.version)}});
    }
    return Success{};
  } catch (const std::exception& fault) {
    return Error{ErrorCode::kProtocol, "read a peer's copy", peer, fault.what()};
  }
}

void StoreCopy::Tick() { m_impl->Report(m_impl->registry.Expire(m_impl->loop.Now())); }

}  // namespace qh::gateway
