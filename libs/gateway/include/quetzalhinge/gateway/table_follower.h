#pragma once

#include <memory>
#include <optional>
#include <string>

#include "quetzalhinge/base/random_id.h"
#include "quetzalhinge/net/event_loop.h"
#include "quetzalhinge/store/table_store.h"

namespace qh::gateway {

/** Hears what a TableFollower reads. */
class TableFollowerObserver {
 public:
  virtual ~TableFollowerObserver() = default;

  /** Rows came. `is_whole`: all rows of the table; otherwise those that have changed. */
  virtual void OnRows(const std::string& table, const store::TableRows& rows, bool is_complete) = 0;

  /** The store cannot be read. Called once for each outage. */
  virtual void OnStoreUnavailable(const std::string& table, const Error& error) = 0;

  /** The store can be read again after `outage`. Called before OnRows(). */
  virtual void OnStoreAvailable(const std::string& table, Duration outage) = 0;
};

/** How a TableFollower goes on after a failure. */
enum class CatchUp {
  /** By the changes that were missed. */
  kIncremental,
  /**
   * By the table as it is. For a table of few rows that change often and are large: the feed has
   * each version of a row, which can be several megabytes on the way to a VM with a slow link.
   */
  kFullRead,
};

/** Keeps a copy of one table up to date: reads it, then waits for changes. */
class TableFollower {
 public:
  /** All arguments must outlive the follower. */
  TableFollower(net::EventLoop& loop, RandomGenerator& random, store::TableStore& store,
                const std::string& table, CatchUp catch_up, TableFollowerObserver& observer);
  ~TableFollower();
  TableFollower(const TableFollower&) = delete;
  TableFollower& operator=(const TableFollower&) = delete;

  /** Starts to read. */
  void Start();

  /** Ends the pause after a failure, because the store is known to answer again. */
  void RetryNow();

  /** Returns since when the store cannot be read; nothing while it can. */
  std::optional<TimePoint> UnavailableSince() const noexcept;

 private:
  struct Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace qh::gateway
