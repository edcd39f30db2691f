#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "quetzalhinge/base/error.h"
#include "quetzalhinge/base/random_id.h"
#include "quetzalhinge/dispatch/worker_registry.h"
#include "quetzalhinge/gateway/confirmed_table_store.h"
#include "quetzalhinge/gateway/record_decoder.h"
#include "quetzalhinge/metrics/metrics_registry.h"
#include "quetzalhinge/net/event_loop.h"
#include "quetzalhinge/routes/route_table.h"

namespace qh::gateway {

/** Receives the changes of a StoreCopy. */
class StoreCopyObserver {
 public:
  virtual ~StoreCopyObserver() = default;

  /** A new configuration has been applied. */
  virtual void OnConfigurationApplied() = 0;

  /** Rows of `table` have been applied. */
  virtual void OnTableUpdated(const std::string& table) = 0;

  /** The registry entry of a worker has changed. */
  virtual void OnWorkerEvent(const dispatch::WorkerEvent& event) = 0;
};

/** Time limits of a StoreCopy. */
struct StoreCopyOptions {
  /** Time for which a worker may still receive requests after its planned leave is known. */
  std::chrono::milliseconds worker_drain{2000};
  /** Time within which a change in the store takes effect at this VM. */
  std::chrono::milliseconds apply_within{2000};
};

/**
 * This VM's copy of the configuration and of the worker registry. Follows their tables in the
 * store, decodes new rows and applies them. With a RelayedStore, rows come from the store or from
 * another VM; rows of an older store version are ignored, so that a change of source never reverts
 * the copy.
 */
class StoreCopy {
 public:
  /** All references must outlive the copy. */
  StoreCopy(net::EventLoop& loop, RandomGenerator& random, metrics::MetricsRegistry& metrics,
            ConfirmedTableStore& store, const StoreLayout& layout, const RecordDecoder& decoder,
            routes::RouteTable& routes, dispatch::WorkerRegistry& registry,
            const StoreCopyOptions& options, StoreCopyObserver& observer);
  ~StoreCopy();
  StoreCopy(const StoreCopy&) = delete;
  StoreCopy& operator=(const StoreCopy&) = delete;

  /** Starts to read the tables and to wait for changes. */
  void Start();

  /** Returns since when a table cannot be read; std::nullopt while both can be read. */
  std::optional<TimePoint> UnavailableSince() const noexcept;

  /**
   * Handles the end of a store outage: defers removals of workers for a while and retries failed
   * reads at once.
   * @param ago time since the store recovered
   */
  void OnStoreRecovered(Duration ago);

  /**
   * Sets the number of VMs. Many VMs check the store less often during an outage, so that their
   * checks stay below its rate limit.
   */
  void SetVmCount(std::size_t vm_count);

  /** Checks one of the two tables at the store now, for use when it is known to have changed. */
  void CheckNow(const std::string& table);

  /** Performs deferred removals of workers that are due. */
  void Tick();

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace qh::gateway
