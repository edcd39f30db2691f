#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "quetzalhinge/base/error.h"
#include "quetzalhinge/base/time.h"
#include "quetzalhinge/store/table_store.h"

namespace qh::gateway {

/**
 * Maximum bytes of rows that a VM relays in one response. A relay with a slow link would take too
 * long to send more to fifty other VMs, whereas the link of the store can serve all VMs at once.
 */
inline constexpr std::size_t kMaxRelayedBytes = 32 * 1024;

/** Copy of the undecoded rows of one table, which a VM relays to others. */
class RowCopy {
 public:
  /** Applies rows; `is_complete`: all rows of the table, otherwise only the changed ones. */
  void Apply(const store::TableRows& rows, bool is_complete);

  /** Returns all rows. Rows too large to relay have an empty value, see HasOmittedValue(). */
  store::TableRows All() const;

  /**
   * Returns the changes after store version `after`; std::nullopt if the copy may no longer know
   * all removals since then.
   */
  std::optional<store::TableRows> ChangesSince(std::uint64_t after) const;

  /** Returns whether `rows` contains a row whose value is omitted because it is too large. */
  bool HasOmittedValue(const store::TableRows& rows) const;

  /** Returns whether the table has a row that is too large to relay. */
  bool HasLargeRow() const noexcept { return !m_omitted_values.empty(); }

  /** Returns the store version that the copy reflects; 0 before the first Apply(). */
  std::uint64_t Version() const noexcept { return m_version; }

  /** Returns the version of the newest known change in the table. */
  std::uint64_t NewestChange() const noexcept { return m_newest_change; }

 private:
  void StoreRow(const store::StoredRow& row);

  std::map<std::string, store::StoredRow> m_rows;
  /** Keys of the rows whose value is omitted. */
  std::set<std::string> m_omitted_values;
  /** Removed rows, by the store version of their removal. */
  std::map<std::uint64_t, store::StoredRow> m_removed;
  /** All removals after this store version are known. */
  std::uint64_t m_removals_known_since = 0;
  std::uint64_t m_version = 0;
  std::uint64_t m_newest_change = 0;
};

/** Rows that a VM relays to another. */
struct RelayedRows {
  store::TableRows rows;
  /** Time since the rows were last known to be current at the store. */
  Duration age{};
  /** Time from the receipt of the request to the response. */
  Duration held{};
  /** Time since the store recovered from its last outage; absent if the sender reports none. */
  std::optional<Duration> since_outage = std::nullopt;
  /** Whether these are all rows of the table although only changes were requested. */
  bool is_complete = false;
};

/** Encodes `relayed` as JSON for another VM. */
std::string EncodeRows(const RelayedRows& relayed);

/**
 * Decodes the result of EncodeRows(). Errors: kProtocol if `text` is malformed.
 * @param peer name of the sender, for the error
 */
Result<RelayedRows> DecodeRows(const std::string& peer, std::string_view text);

}  // namespace qh::gateway
