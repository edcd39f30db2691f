#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "quetzalhinge/gateway/revision_lag.h"
#include "quetzalhinge/net/event_loop.h"
#include "quetzalhinge/net/timer.h"

namespace qh::gateway {

/** How a RevisionWatch learns what this VM knows, and what it does about a table that is behind. */
class RevisionWatchObserver {
 public:
  virtual ~RevisionWatchObserver() = default;

  /** Returns the revision of the newest change of `table` that this VM knows. */
  virtual std::uint64_t KnownRevision(const std::string& table) const = 0;

  /**
   * `table` has been behind an announced revision for too long and must be read. Called again after
   * a while if it stays behind.
   */
  virtual void OnTableBehind(const std::string& table) = 0;
};

/**
 * Compares the revisions that other VMs announce with those that this VM knows, for each table on
 * its own: a newer change of one table says nothing about another.
 */
class RevisionWatch {
 public:
  /** The loop and the observer must outlive this object. */
  RevisionWatch(net::EventLoop& loop, const std::vector<std::string>& tables,
                RevisionWatchObserver& observer);

  /** Another VM has announced a change of `table`. Tables that are not watched are ignored. */
  void OnTableRevision(const std::string& table, std::uint64_t revision);

  /** Another VM knows a change of one of the tables. */
  void OnVmRevision(std::uint64_t revision);

  /** Returns the newest revision that another VM knows; 0 if there is none. */
  std::uint64_t NewestVmRevision() const noexcept { return m_any_table.lag.Newest(); }

 private:
  struct WatchedTable {
    /** Empty for the newest change of any table. */
    std::string name;
    RevisionLag lag;
    /** When the table was last reported as behind. */
    TimePoint reported_at{};
  };

  /** Returns when `table` must be read if it stays behind; std::nullopt if it is not behind. */
  static std::optional<TimePoint> DueAt(const WatchedTable& table);
  void OnRevision(WatchedTable& table, std::uint64_t revision);
  /** Updates what is known and starts the timer for the next check unless it is running. */
  void Watch();
  void Check();
  void UpdateKnownRevisions();
  std::vector<WatchedTable*> Watched();
  void LogLag(const WatchedTable& table) const;

  net::EventLoop& m_loop;
  RevisionWatchObserver& m_observer;
  std::vector<WatchedTable> m_tables;
  WatchedTable m_any_table;
  net::Timer m_timer;
  bool m_is_timer_running = false;
};

}  // namespace qh::gateway
