#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "quetzalhinge/gateway/relay_selector.h"
#include "quetzalhinge/http/connection_server.h"
#include "quetzalhinge/metrics/metrics_registry.h"
#include "quetzalhinge/net/event_loop.h"
#include "quetzalhinge/store/table_store.h"

namespace qh::gateway {

/** Path at which VMs pass rows on: "?table=...&after=<store version>&wait=<ms>". */
inline constexpr const char* kRelayPath = "/internal/rows";

/**
 * The store as most VMs see it: read by a few VMs of each zone, and passed on by them to the others
 * of the zone at once. A VM passes on only what it has itself read from the store, and not when
 * that was too long ago; so VMs never wait for each other in a circle, and a reader that is cut off
 * from the store shows. Where no peer answers, the store is read directly. AwaitChanges() waits 0.7
 * s at a peer and 1.5 s at the store, whatever the caller would allow.
 */
class RelayedStore : public store::TableStore {
 public:
  /** All arguments must outlive this object. */
  RelayedStore(net::EventLoop& loop, metrics::MetricsRegistry& metrics, store::TableStore& direct,
               const std::string& own_vm);
  ~RelayedStore() override;
  RelayedStore(const RelayedStore&) = delete;
  RelayedStore& operator=(const RelayedStore&) = delete;

  /**
   * Sets what to do when the store is back from an outage, as this VM or the one it hears from has
   * found: entries may have lapsed meanwhile. `ago`: since it was back.
   */
  void OnStoreRecovered(std::function<void(Duration ago)> callback);

  /** Sets the other live VMs of the zone. */
  void SetPeers(const std::vector<RelayPeer>& peers);

  /** Answers another VM that asks for rows, now or when there are some. */
  void HandlePeerRequest(std::shared_ptr<http::ServerExchange> exchange);

  /** Gives up the waits in progress, so that the rows are asked for anew, at the store itself. */
  void ReadStoreNow();

  /** Answers peers whose wait is over; to be called a few times a second. */
  void Tick();

  /** Returns whether rows of `table` were last read from the store itself. */
  bool WasReadFromStore(const std::string& table) const;

  /** Returns whether this VM would read the store itself now, as far as it knows the others. */
  bool WouldReadStore() const;

  /** Returns the version of the newest change seen in `table`. */
  std::uint64_t NewestChange(const std::string& table) const;

  void ReadTable(const std::string& table, Callback<store::TableRows> callback) override;
  void AwaitChanges(const std::string& table, std::uint64_t after, std::chrono::milliseconds wait,
                    Callback<store::TableRows> callback) override;
  void WriteRow(const std::string& table, const std::string& key, const std::string& value,
                Callback<Success> callback) override;

 private:
  struct Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace qh::gateway
