#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "quetzalhinge/base/time.h"
#include "quetzalhinge/store/table_store.h"

namespace qh::gateway {

/**
 * A table store whose rows may come from elsewhere than the store itself, and which therefore knows
 * how current they are.
 */
class ConfirmedTableStore : public store::TableStore {
 public:
  /**
   * Returns when this VM's copy of `table` was last known to be current at the store; std::nullopt
   * before the first read.
   */
  virtual std::optional<TimePoint> ConfirmedAt(const std::string& table) const = 0;

  /**
   * Returns where the rows of `table` were last read, for logs: "store", "store check" or the name
   * of a VM; empty before the first read.
   */
  virtual std::string SourceOf(const std::string& table) const = 0;

  /**
   * Reads directly from the store, without waiting for changes and beside any other read: the whole
   * table, or the rows changed after store version `after` if it is set. Errors as for
   * AwaitChanges().
   */
  virtual void CheckStore(const std::string& table, std::optional<std::uint64_t> after,
                          Callback<store::TableRows> callback) = 0;
};

}  // namespace qh::gateway
