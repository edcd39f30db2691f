#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "quetzalhinge/base/error.h"

namespace qh::store {

/** One row of a table. */
struct StoredRow {
  std::string key;
  /** Empty for a removed row. */
  std::string value;
  /** Store version of the row's last change. */
  std::uint64_t version = 0;
  bool removed = false;
};

/** Rows as of one store version: a whole table, or what has changed in it. */
struct TableRows {
  std::vector<StoredRow> rows;
  /** Newest store version that the rows reflect; changes after it are asked for with it. */
  std::uint64_t version = 0;
};

/**
 * The store that keeps what must last, as far as an entry VM reads and writes it. All callbacks run
 * once, on the loop, never within the call. Errors: kUnavailable (refused, or no connection),
 * kTimeout, kProtocol (the answer has another form, or the call does not exist).
 */
class TableStore {
 public:
  template <typename T>
  using Callback = std::function<void(Result<T> result)>;

  virtual ~TableStore() = default;

  /** Reads all rows of `table`. */
  virtual void ReadTable(const std::string& table, Callback<TableRows> callback) = 0;

  /**
   * Waits until rows of `table` change after store version `after`, at most for `wait`; then the
   * rows are empty. kConflict: the store has dropped the changes since `after`; read the table.
   */
  virtual void AwaitChanges(const std::string& table, std::uint64_t after,
                            std::chrono::milliseconds wait, Callback<TableRows> callback) = 0;

  /** Writes one row, whatever it held. After an error it may have been written, or will be. */
  virtual void WriteRow(const std::string& table, const std::string& key, const std::string& value,
                        Callback<Success> callback) = 0;
};

}  // namespace qh::store
