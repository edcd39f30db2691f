#include "quetzalhinge/gateway/store_copy.h"

#include <algorithm>
#include <utility>

#include "quetzalhinge/gateway/table_follower.h"
#include "quetzalhinge/logging/log.h"
#include "quetzalhinge/store/store_version.h"

namespace qh::gateway {
namespace {

using dispatch::WorkerEntry;
using dispatch::WorkerEvent;

/**
 * Fraction of the worker drain time for which removals are deferred after a store outage. Entries
 * that expired during the outage return within about 2 s. As for a planned leave, no requests may
 * be sent to a worker after the drain time.
 */
constexpr double kRemovalDelayFraction = 0.95;

}  // namespace

struct StoreCopy::Impl : public TableFollowerObserver {
  net::EventLoop& loop;
  const ConfirmedTableStore& confirmed_store;
  StoreLayout layout;
  const RecordDecoder& decoder;
  routes::RouteTable& routes;
  dispatch::WorkerRegistry& registry;
  Duration removal_delay;
  StoreCopyObserver& observer;
  metrics::Counter& unreadable_rows;
  TableFollower configuration;
  TableFollower workers;

  Impl(net::EventLoop& event_loop, RandomGenerator& random, metrics::MetricsRegistry& metrics,
       ConfirmedTableStore& table_store, const StoreLayout& store_layout,
       const RecordDecoder& record_decoder, routes::RouteTable& route_table,
       dispatch::WorkerRegistry& worker_registry, const StoreCopyOptions& options,
       StoreCopyObserver& copy_observer)
      : loop(event_loop),
        confirmed_store(table_store),
        layout(store_layout),
        decoder(record_decoder),
        routes(route_table),
        registry(worker_registry),
        removal_delay(
            std::chrono::duration_cast<Duration>(options.worker_drain * kRemovalDelayFraction)),
        observer(copy_observer),
        unreadable_rows(metrics.CounterOf("qh_store_unreadable_rows_total")),
        configuration(loop, random, table_store, layout.configuration_table, CatchUp::kFullRead,
                      ConfirmationLimitsFor(options.apply_within), *this),
        workers(loop, random, table_store, layout.workers_table, CatchUp::kIncremental,
                ConfirmationLimitsFor(options.apply_within), *this) {}

  void OnRows(const std::string& table, const store::TableRows& rows, bool is_complete) override {
    if (table == layout.configuration_table) {
      ApplyConfiguration(rows);
    } else {
      ApplyWorkers(rows, is_complete);
    }
    observer.OnTableUpdated(table);
  }

  void OnStoreUnavailable(const std::string& table, const Error& error) override {
    logging::LogError("store", error);
    logging::LogChange("store", "lost", {{"table", table}, {"code", ToString(error.code)}});
  }

  void OnStoreAvailable(const std::string& table, Duration outage) override {
    logging::LogChange("store", "back",
                       {{"table", table}, {"outage_ms", std::to_string(ToMillis(outage))}});
  }

  void ApplyConfiguration(const store::TableRows& rows) {
    for (const store::StoredRow& row : rows.rows) {
      if (row.key != layout.configuration_key || row.removed) {
        continue;
      }
      auto decoded = decoder.DecodeConfiguration(row.value);
      if (!IsOk(decoded)) {
        unreadable_rows.Add();
        logging::LogError("store", ErrorOf(decoded));
        continue;
      }
      const std::uint64_t before = routes.Configuration().version;
      const std::uint64_t version = ValueOf(decoded).version;
      if (routes.Apply(TakeValue(std::move(decoded)))) {
        logging::LogChange("configuration", "applied",
                           {{"version", std::to_string(version)},
                            {"before", std::to_string(before)},
                            {"store_version", store::FormatVersion(row.version)},
                            {"peer", confirmed_store.SourceOf(layout.configuration_table)},
                            {"routes", std::to_string(routes.Configuration().routes.size())}});
        observer.OnConfigurationApplied();
      } else if (version < before) {
        logging::LogChange(
            "configuration", "older version ignored",
            {{"version", std::to_string(version)}, {"in_force", std::to_string(before)}});
      }
    }
  }

  void ApplyWorkers(const store::TableRows& rows, bool is_complete) {
    std::vector<WorkerEntry> entries;
    for (const store::StoredRow& row : rows.rows) {
      WorkerEntry entry{row.key, std::nullopt};
      if (!row.removed) {
        auto decoded = decoder.DecodeWorker(row.key, row.value);
        if (IsOk(decoded)) {
          entry.record = TakeValue(std::move(decoded));
        } else {
          unreadable_rows.Add();
          logging::LogError("store", ErrorOf(decoded));
        }
      }
      entries.push_back(std::move(entry));
    }
    ReportEvents(is_complete ? registry.ApplyAll(entries, loop.Now())
                             : registry.Apply(entries, loop.Now()));
  }

  void ReportEvents(const std::vector<WorkerEvent>& events) {
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
                     metrics::MetricsRegistry& metrics, ConfirmedTableStore& store,
                     const StoreLayout& layout, const RecordDecoder& decoder,
                     routes::RouteTable& routes, dispatch::WorkerRegistry& registry,
                     const StoreCopyOptions& options, StoreCopyObserver& observer)
    : m_impl(std::make_unique<Impl>(loop, random, metrics, store, layout, decoder, routes, registry,
                                    options, observer)) {}
StoreCopy::~StoreCopy() = default;

void StoreCopy::Start() {
  m_impl->configuration.Start();
  m_impl->workers.Start();
}

std::optional<TimePoint> StoreCopy::UnavailableSince() const noexcept {
  const auto configuration = m_impl->configuration.UnavailableSince();
  const auto workers = m_impl->workers.UnavailableSince();
  if (configuration.has_value() && workers.has_value()) {
    return std::min(*configuration, *workers);
  }
  return configuration.has_value() ? configuration : workers;
}

void StoreCopy::OnStoreRecovered(Duration ago) {
  logging::LogChange("store", "returned", {{"ago_ms", std::to_string(ToMillis(ago))}});
  m_impl->registry.DeferRemovals(m_impl->loop.Now() - ago + m_impl->removal_delay);
  m_impl->configuration.RetryNow();
  m_impl->workers.RetryNow();
}

void StoreCopy::SetVmCount(std::size_t vm_count) {
  const Duration interval = CheckIntervalFor(vm_count);
  m_impl->configuration.SetMinCheckRetry(interval);
  m_impl->workers.SetMinCheckRetry(interval);
}

void StoreCopy::CheckNow(const std::string& table) {
  if (table == m_impl->layout.configuration_table) {
    m_impl->configuration.CheckNow();
  } else {
    m_impl->workers.CheckNow();
  }
}

void StoreCopy::Tick() { m_impl->ReportEvents(m_impl->registry.Expire(m_impl->loop.Now())); }

}  // namespace qh::gateway
