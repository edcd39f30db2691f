#include "table_updates.h"

#include <algorithm>

#include "quetzalhinge/store/store_version.h"

namespace qh::gateway {

bool TableUpdates::IsOlder(const std::string& table, bool is_change, std::uint64_t version) const {
  const std::uint64_t known = m_state.tables[table].rows.Version();
  return is_change ? store::EraOf(version) < store::EraOf(known) : version < known;
}

bool TableUpdates::MustReadWhole(const std::string& table) const {
  const TableState& table_state = m_state.tables[table];
  return table_state.rows.HasLargeRow() && table_state.confirmed_at.has_value() &&
         m_loop.Now() - *table_state.confirmed_at > m_max_unconfirmed;
}

TimePoint TableUpdates::SentAt(const RelayedRows& relayed, TimePoint requested_at) const {
  return std::min(m_loop.Now(), requested_at + relayed.held);
}

void TableUpdates::RecordOutage(const RelayedRows& relayed, TimePoint sent_at) {
  if (relayed.since_outage.has_value()) {
    m_monitor.OnOutageEnded(sent_at - *relayed.since_outage);
  }
}

void TableUpdates::Apply(const std::string& table, const store::TableRows& rows, bool is_complete,
                         TimePoint fresh_at, const RowSource& source) {
  TableState& table_state = m_state.tables[table];
  if (rows.version < table_state.rows.Version()) {
    m_log.OlderRowsIgnored(table, source.name, rows);
    return;
  }
  m_monitor.OnVersion(rows.version);
  if (!table_state.fresh_at.has_value() || fresh_at > *table_state.fresh_at) {
    table_state.fresh_at = fresh_at;
  }
  RecordConfirmation(table, fresh_at);
  table_state.from_store = source.name == kStore;
  table_state.source = source;
  table_state.rows.Apply(rows, is_complete);
  m_handler.OnRows(table);
}

void TableUpdates::ApplyKnown(const std::string& table, const RelayedRows& relayed,
                              TimePoint current_at, const std::string& peer) {
  m_monitor.OnVersion(relayed.rows.version);
  RecordConfirmation(table, current_at);
  if (!relayed.rows.rows.empty()) {
    TableState& table_state = m_state.tables[table];
    table_state.source = {peer, true};
    table_state.rows.Apply(relayed.rows, relayed.is_complete);
    m_handler.OnRows(table);
  }
}

void TableUpdates::RecordConfirmation(const std::string& table, TimePoint at) {
  std::optional<TimePoint>& confirmed_at = m_state.tables[table].confirmed_at;
  if (confirmed_at.has_value() && at <= *confirmed_at) {
    return;
  }
  if (confirmed_at.has_value() && m_loop.Now() - *confirmed_at > m_apply_within) {
    m_log.ConfirmedLate(table);
  }
  confirmed_at = at;
}

}  // namespace qh::gateway
