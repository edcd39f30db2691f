#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "quetzalhinge/gateway/confirmed_table_store.h"
#include "quetzalhinge/gateway/relay_selector.h"
#include "quetzalhinge/http/connection_server.h"
#include "quetzalhinge/metrics/metrics_registry.h"
#include "quetzalhinge/net/event_loop.h"
#include "quetzalhinge/store/table_store.h"

namespace qh::gateway {

/**
 * Path at which VMs relay rows: "?table=...&after=<store version>&wait=<ms>". With "known=1" in
 * place of "wait", a VM responds at once with what it knows, whether or not it reads the store.
 */
inline constexpr const char* kRelayPath = "/internal/store-rows";

/**
 * The path of releases whose versions do not name the history of the store. VMs of those releases
 * and of this one do not relay rows to each other, because they cannot compare their versions.
 */
inline constexpr const char* kFormerRelayPath = "/internal/rows";

/**
 * A table store that few VMs of each zone read directly; these VMs relay new rows to the other VMs
 * of the zone at once. A VM relays only rows that it has read from the store itself, and only while
 * they are fresh. Therefore VMs cannot wait for each other in a cycle, and the others notice when a
 * reader has lost its connection to the store. If no peer responds, the VM reads the store
 * directly. AwaitChanges() ignores its parameter `wait`: at the store and at a peer it returns
 * within 0.65 of `apply_within`. While nothing fails, the copies of all VMs of a zone are confirmed
 * every 0.55 of it.
 *
 * CheckStore() and CheckPeers() serve a VM whose copy is not confirmed. The second asks VMs of any
 * zone for what they know, without waiting, so that it does not depend on a reader of the store.
 */
class RelayedStore : public ConfirmedTableStore {
 public:
  /**
   * All references must outlive this object.
   * @param apply_within time within which a change in the store takes effect at this VM
   */
  RelayedStore(net::EventLoop& loop, metrics::MetricsRegistry& metrics, store::TableStore& direct,
               const std::string& own_vm, std::chrono::milliseconds apply_within);
  ~RelayedStore() override;
  RelayedStore(const RelayedStore&) = delete;
  RelayedStore& operator=(const RelayedStore&) = delete;

  /**
   * Sets the callback for the end of a store outage, which this VM or the peer that it reads from
   * has detected. Entries in the store may have expired during the outage. `ago` is the time since
   * the store recovered.
   */
  void OnStoreRecovered(std::function<void(Duration ago)> callback);

  /**
   * Sets the callback for the store's history, see store::MakeVersion(): called after the first
   * read, and when the store has lost its last changes and continues from an older copy.
   */
  void OnEra(std::function<void(std::uint64_t era)> callback);

  /** Sets the function that chooses the VMs for CheckPeers(); without it there are none. */
  void SetPeerChoice(std::function<std::vector<RelayPeer>()> choose);

  /** Sets the other live VMs of the zone. */
  void SetPeers(const std::vector<RelayPeer>& peers);

  /** Responds to another VM's request for rows, at once or when rows change. */
  void HandlePeerRequest(const std::shared_ptr<http::ServerExchange>& exchange);

  /** Responds to peers whose wait has timed out. Must be called a few times per second. */
  void Tick();

  /** Sets the gauges of how long each table has not been known to be current. */
  void UpdateGauges();

  /** Returns whether rows of `table` were last read directly from the store. */
  bool WasReadFromStore(const std::string& table) const;

  /** Returns whether this VM, with the peers known now, would read the store directly. */
  bool WouldReadStore() const;

  /** Returns the version of the newest known change in `table`; 0 if none is known. */
  std::uint64_t NewestChange(const std::string& table) const;

  std::optional<TimePoint> ConfirmedAt(const std::string& table) const override;
  std::string SourceOf(const std::string& table) const override;
  void CheckStore(const std::string& table, std::optional<std::uint64_t> after,
                  Callback<store::TableRows> callback) override;
  void CheckPeers(const std::string& table, std::uint64_t after,
                  PeerCheckCallback callback) override;
  void ReadTable(const std::string& table, Callback<store::TableRows> callback) override;
  void AwaitChanges(const std::string& table, std::uint64_t after, std::chrono::milliseconds wait,
                    Callback<store::TableRows> callback) override;
  bool IsReceiving(const std::string& table) const override;
  void WriteRow(const std::string& table, const std::string& key, const std::string& value,
                Callback<Success> callback) override;

 private:
  struct Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace qh::gateway
