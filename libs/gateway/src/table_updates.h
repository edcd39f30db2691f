#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include "peer_request_handler.h"
#include "quetzalhinge/gateway/confirmation_schedule.h"
#include "quetzalhinge/gateway/row_copy.h"
#include "relay_log.h"
#include "relay_state.h"
#include "store_monitor.h"

namespace qh::gateway {

/** Applies rows to this VM's copies of tables and passes them on to the peers that wait for them.
 */
class TableUpdates {
 public:
  /**
   * All references must outlive this object.
   * @param apply_within time within which a change in the store takes effect at this VM
   */
  TableUpdates(net::EventLoop& loop, RelayState& state, std::chrono::milliseconds apply_within,
               StoreMonitor& monitor, PeerRequestHandler& handler, const RelayLog& log)
      : m_loop(loop),
        m_state(state),
        m_apply_within(apply_within),
        m_max_unconfirmed(ConfirmationLimitsFor(apply_within).max_unconfirmed),
        m_monitor(monitor),
        m_handler(handler),
        m_log(log) {}

  /**
   * Returns whether rows of a peer are older than `table` is here. A peer that was asked for
   * changes and has none may be slightly behind, but not in an earlier history of the store.
   */
  bool IsOlder(const std::string& table, bool is_change, std::uint64_t version) const;

  /**
   * Returns whether the changes of `table` since its last confirmation may be too many to read. The
   * change feed has each version of a large row, the table only the newest one.
   */
  bool MustReadWhole(const std::string& table) const;

  /** Returns when a peer sent `relayed`, or an earlier time if the response was under way. */
  TimePoint SentAt(const RelayedRows& relayed, TimePoint requested_at) const;

  /** Records the end of an outage of the store that a peer reports in a response. */
  void RecordOutage(const RelayedRows& relayed, TimePoint sent_at);

  /**
   * Applies rows that were read from `source`, the store or a VM that reads it. Older rows than
   * this VM knows are ignored.
   * @param fresh_at when the rows were last known to be current
   */
  void Apply(const std::string& table, const store::TableRows& rows, bool is_complete,
             TimePoint fresh_at, const RowSource& source);

  /**
   * Applies what the VM `peer` knows, which must not be older than the copy here. Does not change
   * whether this VM counts as a reader of the store.
   * @param current_at when the rows were last known to be current
   */
  void ApplyKnown(const std::string& table, const RelayedRows& relayed, TimePoint current_at,
                  const std::string& peer);

 private:
  void RecordConfirmation(const std::string& table, TimePoint at);

  net::EventLoop& m_loop;
  RelayState& m_state;
  std::chrono::milliseconds m_apply_within;
  Duration m_max_unconfirmed;
  StoreMonitor& m_monitor;
  PeerRequestHandler& m_handler;
  const RelayLog& m_log;
};

}  // namespace qh::gateway
