#pragma once

#include <memory>
#include <optional>
#include <string>

#include "quetzalhinge/base/random_id.h"
#include "quetzalhinge/gateway/confirmation_schedule.h"
#include "quetzalhinge/gateway/confirmed_table_store.h"
#include "quetzalhinge/net/event_loop.h"

namespace qh::gateway {

/** Receives the rows that a TableFollower reads. */
class TableFollowerObserver {
 public:
  virtual ~TableFollowerObserver() = default;

  /** Rows were read. `is_complete`: all rows of the table; otherwise only the changed ones. */
  virtual void OnRows(const std::string& table, const store::TableRows& rows, bool is_complete) = 0;

  /** The table cannot be read. Called once per outage. */
  virtual void OnStoreUnavailable(const std::string& table, const Error& error) = 0;

  /** The table can be read again after an outage of length `outage`. Called before OnRows(). */
  virtual void OnStoreAvailable(const std::string& table, Duration outage) = 0;
};

/** How a TableFollower resumes after a failure. */
enum class CatchUp {
  /** Reads the changes since the last known version. */
  kIncremental,
  /**
   * Reads the whole table. For a table with few, large rows that change often: the change feed
   * contains every version of a row, which can amount to several megabytes and is too much for a VM
   * with a slow link.
   */
  kFullRead,
};

/**
 * Follows one table: reads it once, then waits for changes and reports them to an observer. While
 * the copy is not known to be current, it also checks the table directly at the store and at other
 * VMs, whatever the read in progress does (see ConfirmationSchedule).
 */
class TableFollower {
 public:
  /** All references must outlive the follower. */
  TableFollower(net::EventLoop& loop, RandomGenerator& random, ConfirmedTableStore& store,
                const std::string& table, CatchUp catch_up, const ConfirmationLimits& limits,
                TableFollowerObserver& observer);
  ~TableFollower();
  TableFollower(const TableFollower&) = delete;
  TableFollower& operator=(const TableFollower&) = delete;

  /** Starts the first read. */
  void Start();

  /** Skips the backoff after a failure, for use when the store is known to respond again. */
  void RetryNow();

  /**
   * Checks the table at the store and at other VMs now, also if a read is in progress or waits for
   * the end of the backoff; only at other VMs while rows of the table are arriving from the store.
   * Requires Start().
   */
  void CheckNow();

  /** See ConfirmationSchedule::SetMinRetry(). */
  void SetMinCheckRetry(Duration interval);

  /** Returns since when the table cannot be read; std::nullopt while it can be read. */
  std::optional<TimePoint> UnavailableSince() const noexcept;

 private:
  struct Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace qh::gateway
