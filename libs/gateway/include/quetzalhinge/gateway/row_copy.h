#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "quetzalhinge/base/error.h"
#include "quetzalhinge/base/time.h"
#include "quetzalhinge/store/table_store.h"

namespace qh::gateway {

/**
 * Bytes of rows that are passed on. More would hold up a VM with a slow link that passes them to
 * fifty others, while the store's link carries them to all at once.
 */
inline constexpr std::size_t kMaxRelayedBytes = 32 * 1024;

/** The raw rows of one table as they were read, so that they can be passed on. */
class RowCopy {
 public:
  /** Takes rows: all of the table, or those that have changed. */
  void Apply(const store::TableRows& rows, bool is_complete);

  /** Returns all rows; those that HasOmittedValue() names have no value. */
  store::TableRows All() const;

  /**
   * Returns what has changed after store version `after`; nothing if removals since then may have
   * been forgotten.
   */
  std::optional<store::TableRows> ChangesSince(std::uint64_t after) const;

  /** Returns whether `rows` has one whose value is too large to be passed on, and is not kept. */
  bool HasOmittedValue(const store::TableRows& rows) const;

  /** Returns the store version that the copy reflects; 0 if nothing was taken. */
  std::uint64_t Version() const noexcept { return m_version; }

  /** Returns the version of the newest change that was seen in the table. */
  std::uint64_t NewestChange() const noexcept { return m_newest_change; }

 private:
  void StoreRow(const store::StoredRow& row);

  std::map<std::string, store::StoredRow> m_rows;
  /** Keys of the rows whose value is not kept. */
  std::set<std::string> m_omitted_values;
  /** Removed rows by the version of their removal. */
  std::map<std::uint64_t, store::StoredRow> m_removed;
  /** Removals after this version are all known. */
  std::uint64_t m_removals_known_since = 0;
  std::uint64_t m_version = 0;
  std::uint64_t m_newest_change = 0;
};

/** Rows that a VM passes on to another. */
struct RelayedRows {
  store::TableRows rows;
  /** Time since the rows were known as current at the store. */
  Duration age{};
  /** Time since the store came back from its last outage, if there was one. */
  std::optional<Duration> since_outage;
};

/** Returns `relayed` in the form in which VMs pass it on. */
std::string EncodeRows(const RelayedRows& relayed);

/** Reads what EncodeRows() has returned. Errors: kProtocol. */
Result<RelayedRows> DecodeRows(const std::string& peer, const std::string& text);

}  // namespace qh::gateway
