#pragma once

#include <string>

#include "quetzalhinge/base/time.h"
#include "quetzalhinge/net/event_loop.h"
#include "quetzalhinge/store/table_store.h"
#include "relay_state.h"

namespace qh::gateway {

/** Source of rows in logs, beside the names of VMs. */
inline constexpr const char* kStore = "store";

/** Writes the log lines about reads and checks of tables. */
class RelayLog {
 public:
  /** The loop and the state must outlive this object. */
  RelayLog(const net::EventLoop& loop, const RelayState& state) : m_loop(loop), m_state(state) {}

  /** Reads of `table` go to another source from now on; "nobody" if there is none. */
  void SourceChanged(const std::string& table, const std::string& before,
                     const std::string& source) const;

  /** A read returned no rows. `source` is the store or the name of a VM, as in all lines. */
  void ReadFailed(const std::string& table, const std::string& source, TimePoint started_at,
                  const std::string& reason) const;

  /** A check of the store starts. `reads_whole`: it reads all rows, not only changes. */
  void CheckStarted(const std::string& table, bool reads_whole) const;

  /** A check returned no rows. */
  void CheckFailed(const std::string& table, const std::string& source, TimePoint started_at,
                   const std::string& reason) const;

  /** A check returned rows, or no rows because there are no changes. */
  void CheckEnded(const std::string& table, const std::string& source, TimePoint started_at,
                  const store::TableRows& rows) const;

  /** A read of changes became a read of the whole table, see TableUpdates::MustReadWhole(). */
  void ChangesNotRead(const std::string& table) const;

  /** Rows of an older version than this VM knows are ignored. */
  void OlderRowsIgnored(const std::string& table, const std::string& source,
                        const store::TableRows& rows) const;

  /** The copy of `table` was not known to be current for longer than changes may take. */
  void ConfirmedLate(const std::string& table) const;

  /** Returns the time since `table` was last known to be current, in ms, or "none". */
  std::string UnconfirmedMillis(const std::string& table) const;

 private:
  void LogFailure(const char* step, const std::string& table, const std::string& source,
                  TimePoint started_at, const std::string& reason) const;

  const net::EventLoop& m_loop;
  const RelayState& m_state;
};

}  // namespace qh::gateway
