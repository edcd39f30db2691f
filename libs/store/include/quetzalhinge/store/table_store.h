#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "quetzalhinge/base/error.h"

namespace qh::store {

/** One row of a table. */
struct StoredRow {
  std::string key;
  /** Empty if the row is removed. */
  std::string value;
  /** Store version at the row's last change, see MakeVersion(). */
  std::uint64_t version = 0;
  bool removed = false;
};

/** Rows as of one store version: a complete table, or the rows changed since an earlier version. */
struct TableRows {
  std::vector<StoredRow> rows;
  /** Newest store version that the rows reflect; pass it to AwaitChanges() for later changes. */
  std::uint64_t version = 0;
  /**
   * Reading of the store's steady clock when it made the response; absent if the store has none or
   * the rows come from elsewhere.
   */
  std::optional<std::chrono::milliseconds> store_time = std::nullopt;
};

/**
 * Client interface of the table store, which holds the persistent data that entry VMs read and
 * write. Each callback runs exactly once, on the event loop, after the call has returned. Errors:
 * kUnavailable (request refused or no connection), kTimeout, kProtocol (malformed response, or the
 * store does not support the call).
 */
class TableStore {
 public:
  template <typename T>
  using Callback = std::function<void(Result<T> result)>;

  virtual ~TableStore() = default;

  /** Reads all rows of `table`. */
  virtual void ReadTable(const std::string& table, Callback<TableRows> callback) = 0;

  /**
   * Returns the rows of `table` that changed after store version `after`, as soon as there are any,
   * or no rows once `wait` has passed. Error kConflict: the store no longer holds all changes since
   * `after`, or `after` belongs to an earlier history; read the entire table instead.
   */
  virtual void AwaitChanges(const std::string& table, std::uint64_t after,
                            std::chrono::milliseconds wait, Callback<TableRows> callback) = 0;

  /**
   * Returns whether a response with rows of `table` has started to arrive and not ended. False if
   * the store cannot tell.
   */
  virtual bool IsReceiving(const std::string& /*table*/) const { return false; }

  /**
   * Writes one row unconditionally. After an error, the row may have been written or may still be
   * written later.
   */
  virtual void WriteRow(const std::string& table, const std::string& key, const std::string& value,
                        Callback<Success> callback) = 0;
};

}  // namespace qh::store
