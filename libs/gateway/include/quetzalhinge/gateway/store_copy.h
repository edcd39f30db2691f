#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "quetzalhinge/base/error.h"
#include "quetzalhinge/base/random_id.h"
#include "quetzalhinge/dispatch/worker_registry.h"
#include "quetzalhinge/gateway/record_decoder.h"
#include "quetzalhinge/metrics/metrics_registry.h"
#include "quetzalhinge/net/event_loop.h"
#include "quetzalhinge/routes/route_table.h"
#include "quetzalhinge/store/table_store.h"

namespace qh::gateway {

/** Hears what changes with the store's rows. */
class StoreCopyObserver {
 public:
  virtual ~StoreCopyObserver() = default;

  /** Another configuration is in force. */
  virtual void OnConfigurationApplied() = 0;

  /** Rows of `table` have been taken. */
  virtual void OnTableUpdated(const std::string& table) = 0;

  /** Something happened to a worker. */
  virtual void OnWorkerEvent(const dispatch::WorkerEvent& event) = 0;
};

/**
 * This VM's copy of the configuration and the workers: follows the store, and takes the copy of a
 * peer while the store cannot be read. A copy is taken only if it reflects a later store version,
 * so that neither way can lead back.
 */
class StoreCopy {
 public:
  /** All arguments must outlive the copy. */
  StoreCopy(net::EventLoop& loop, RandomGenerator& random, metrics::MetricsRegistry& metrics,
            store::TableStore& store, const StoreLayout& layout, const RecordDecoder& decoder,
            routes::RouteTable& routes, dispatch::WorkerRegistry& registry,
            std::chrono::milliseconds worker_drain, StoreCopyObserver& observer);
  ~StoreCopy();
  StoreCopy(const StoreCopy&) = delete;
  StoreCopy& operator=(const StoreCopy&) = delete;

  /** Starts to follow the store. */
  void Start();

  /** Returns since when a table cannot be read from the store; nothing while both can. */
  std::optional<TimePoint> UnavailableSince() const noexcept;

  /** The store is back from an outage since `ago`: removals are put off for a while. */
  void OnStoreRecovered(Duration ago);

  /** Performs what is due: removals of workers that were put off. */
  void Tick();

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace qh::gateway
