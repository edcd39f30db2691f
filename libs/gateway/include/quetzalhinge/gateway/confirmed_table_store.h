#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "quetzalhinge/base/time.h"
#include "quetzalhinge/store/table_store.h"

namespace qh::gateway {

/** Pause before a read or check of a table that waits until no rows of it are arriving. */
inline constexpr std::chrono::milliseconds kReceivingPause{50};

/**
 * A table store whose rows may come from elsewhere than the store itself, and which therefore knows
 * how current they are.
 */
class ConfirmedTableStore : public store::TableStore {
 public:
  /** `is_complete`: all rows of the table; otherwise only the changed ones. */
  using PeerCheckCallback = std::function<void(const store::TableRows& rows, bool is_complete)>;

  /**
   * Returns when this VM's copy of `table` was last known to be current at the store; std::nullopt
   * before the first read.
   */
  virtual std::optional<TimePoint> ConfirmedAt(const std::string& table) const = 0;

  /**
   * Returns where the rows of `table` were last read, for logs: "store" or the name of a VM,
   * followed by " check" if a check read them; empty before the first read.
   */
  virtual std::string SourceOf(const std::string& table) const = 0;

  /**
   * Reads directly from the store, without waiting for changes and beside any other read: the whole
   * table, or the rows changed after store version `after` if it is set. Errors as for
   * AwaitChanges().
   */
  virtual void CheckStore(const std::string& table, std::optional<std::uint64_t> after,
                          Callback<store::TableRows> callback) = 0;

  /**
   * Asks some other VMs for the rows of `table` that changed after store version `after`, as far as
   * they know. None of them waits for changes or asks the store. Runs the callback once for each VM
   * that responds with rows which are not older than this VM's copy.
   */
  virtual void CheckPeers(const std::string& table, std::uint64_t after,
                          PeerCheckCallback callback) = 0;
};

}  // namespace qh::gateway
