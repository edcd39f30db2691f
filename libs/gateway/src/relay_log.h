#pragma once

#include <string>

#include "quetzalhinge/base/time.h"
#include "quetzalhinge/net/event_loop.h"
#include "quetzalhinge/store/table_store.h"
#include "relay_state.h"

namespace qh::gateway {

/** Sources of rows in logs, beside the names of VMs. */
inline constexpr const char* kStoreRead = "store";
inline constexpr const char* kStoreCheck = "store check";

/** Writes the log lines about reads and checks of tables. */
class RelayLog {
 public:
  /** The loop and the state must outlive this object. */
  RelayLog(const net::EventLoop& loop, const RelayState& state) : m_loop(loop), m_state(state) {}

  /** A read or a check returned no rows. `source` is the store or the name of a VM. */
  void FailedRead(const std::string& table, const std::string& source, TimePoint started_at,
                  const std::string& reason) const;

  /** A check returned rows, or no rows because there are no changes. */
  void CheckEnded(const std::string& table, const std::string& source, TimePoint started_at,
                  const store::TableRows& rows) const;

  /** Rows of an older version than this VM knows are ignored. */
  void OlderRowsIgnored(const std::string& table, const std::string& source,
                        const store::TableRows& rows) const;

  /** The copy of `table` was not known to be current for longer than changes may take. */
  void ConfirmedLate(const std::string& table) const;

  /** Returns the time since `table` was last known to be current, in ms, or "none". */
  std::string UnconfirmedMillis(const std::string& table) const;

 private:
  const net::EventLoop& m_loop;
  const RelayState& m_state;
};

}  // namespace qh::gateway
