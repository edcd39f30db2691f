#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "quetzalhinge/base/time.h"
#include "quetzalhinge/gateway/store_clock.h"
#include "quetzalhinge/net/event_loop.h"
#include "quetzalhinge/store/table_store.h"
#include "relay_state.h"

namespace qh::gateway {

/** A read of the store: a wait for changes, or a read of the whole table, which ends at once. */
struct StoreRead {
  TimePoint started_at;
  /** When the store responds at the latest, apart from the time that the response takes. */
  TimePoint end;
};

/**
 * What a VM knows about the store itself: since when it does not respond, which of its histories it
 * is in, and when it made a response.
 */
class StoreMonitor {
 public:
  /**
   * The loop and the state must outlive the monitor.
   * @param apply_within time within which a change in the store takes effect at this VM
   */
  StoreMonitor(net::EventLoop& loop, RelayState& state, std::chrono::milliseconds apply_within)
      : m_loop(loop), m_state(state), m_apply_within(apply_within) {}

  /** See RelayedStore::OnStoreRecovered() and RelayedStore::OnEra(). */
  void OnStoreRecovered(std::function<void(Duration ago)> callback);
  void OnEra(std::function<void(std::uint64_t era)> callback);

  /** Records when the store made `rows`, and logs a late response. */
  void OnResponse(const std::string& table, TimePoint started_at, const store::TableRows& rows);

  /** The store has responded to this VM. */
  void OnResponding();

  /** A read of `table` has failed. */
  void OnFailure(const std::string& table, TimePoint started_at);

  /**
   * Returns whether `table` is not read for now, because a read of another table has shown that the
   * store does not respond.
   */
  bool IsBlockedByOutage(const std::string& table);

  /** The store was available again at `recovered_at`, as this VM or a peer has found. */
  void OnOutageEnded(TimePoint recovered_at);

  /**
   * Rows of a store version were read, here or at a peer. If it belongs to a new era, entries may
   * be missing that are written again soon, as after an outage.
   */
  void OnVersion(std::uint64_t version);

  /** Returns the newest known era; 0 before the first read. */
  std::uint64_t Era() const noexcept { return m_era.value_or(0); }

  /**
   * Returns the latest time at which `rows` are known to have been current. Their response may have
   * been under way, or in the socket of a process that stood still, for some time.
   */
  TimePoint CurrentAt(const store::TableRows& rows, const StoreRead& read) const;

 private:
  void ExpireFailure();

  net::EventLoop& m_loop;
  RelayState& m_state;
  std::chrono::milliseconds m_apply_within;
  StoreClock m_clock;
  /** Newest known history of the store; empty before the first read. */
  std::optional<std::uint64_t> m_era;
  TimePoint m_failed_at{};
  /** Table whose read failed first in an outage; other tables wait until a read of it succeeds. */
  std::string m_outage_probe_table;
  std::function<void(Duration)> m_on_store_recovered;
  std::function<void(std::uint64_t)> m_on_era;
};

}  // namespace qh::gateway
