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
  /** From 1; raised by 1 with each write of the row. */
  std::uint64_t version = 0;
  nlohmann::json value;
};

/** Holds if the row has exactly this version; version 0 means that the row is absent. */
struct RowCondition {
  std::string key;
  std::uint64_t version = 0;
};

/** A new value of a row. */
struct RowWrite {
  std::string key;
  nlohmann::json value;
};

/** Writes that take effect together, and only if all conditions hold. */
struct TableTransaction {
  std::vector<RowCondition> conditions;
  std::vector<RowWrite> writes;
};

/** All writes took effect. */
struct TransactionApplied {};

/** A condition did not hold; nothing was written. */
struct TransactionConflict {
  std::string key;
  /** Version that the row has; 0 if it is absent. */
  std::uint64_t version = 0;
};

/** What is known of the writes of a transaction without a valid answer. */
enum class WriteCertainty {
  /** No byte of the request was sent. */
  kNotWritten,
  /**
   * The request may have taken effect, now or later. Also the case for 503: the protocol does not
   * say that the service checked for its outage before it wrote.
   */
  kUnknown,
};

/** A transaction without a valid answer. */
struct TransactionFailure {
  Error error;
  WriteCertainty certainty = WriteCertainty::kUnknown;
};

using TransactionResult = std::variant<TransactionApplied, TransactionConflict, TransactionFailure>;

}  // namespace qh::platform
