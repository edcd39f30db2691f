#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <variant>
#include <vector>

#include "quetzalhinge/base/error.h"

namespace qh::platform {

/** One row of the table. */
struct TableRow {
  std::string key;
  /** Starts at 1 and increases by 1 with each write of the row. */
  std::uint64_t version = 0;
  nlohmann::json value;
};

/** True if the row has exactly this version; version 0 means that the row is absent. */
struct RowCondition {
  std::string key;
  std::uint64_t version = 0;
};

/** New value of a row. */
struct RowWrite {
  std::string key;
  nlohmann::json value;
};

/** Writes that are applied atomically, and only if all conditions are true. */
struct TableTransaction {
  std::vector<RowCondition> conditions;
  std::vector<RowWrite> writes;
};

/** All writes were applied. */
struct TransactionApplied {};

/** A condition was false, so no write was applied. */
struct TransactionConflict {
  std::string key;
  /** Current version of the row; 0 if it is absent. */
  std::uint64_t version = 0;
};

/** Whether the writes of a transaction without a valid response may have been applied. */
enum class WriteCertainty {
  /** No byte of the request was sent. */
  kNotWritten,
  /**
   * The writes may have been applied or may still be applied. This includes status 503, because the
   * protocol does not guarantee that the service rejects a request before it writes.
   */
  kUnknown,
};

/** A transaction without a valid response. */
struct TransactionFailure {
  Error error;
  WriteCertainty certainty = WriteCertainty::kUnknown;
};

using TransactionResult = std::variant<TransactionApplied, TransactionConflict, TransactionFailure>;

}  // namespace qh::platform
