#include "relay_log.h"

#include "quetzalhinge/logging/log.h"
#include "quetzalhinge/store/store_version.h"

namespace qh::gateway {

void RelayLog::SourceChanged(const std::string& table, const std::string& before,
                             const std::string& source) const {
  logging::LogChange("store", "source", {{"table", table}, {"peer", source}, {"before", before}});
}

void RelayLog::ReadFailed(const std::string& table, const std::string& source, TimePoint started_at,
                          const std::string& reason) const {
  LogFailure("read failed", table, source, started_at, reason);
}

void RelayLog::CheckStarted(const std::string& table, bool reads_whole) const {
  logging::LogDecision("store", "check",
                       {{"table", table},
                        {"rows", reads_whole ? "all" : "changes"},
                        {"unconfirmed_ms", UnconfirmedMillis(table)}});
}

void RelayLog::CheckFailed(const std::string& table, const std::string& source,
                           TimePoint started_at, const std::string& reason) const {
  LogFailure("check failed", table, source, started_at, reason);
}

void RelayLog::LogFailure(const char* step, const std::string& table, const std::string& source,
                          TimePoint started_at, const std::string& reason) const {
  logging::LogDecision("store", step,
                       {{"table", table},
                        {"peer", source},
                        {"reason", reason},
                        {"ms", std::to_string(ToMillis(m_loop.Now() - started_at))},
                        {"unconfirmed_ms", UnconfirmedMillis(table)}});
}

void RelayLog::ChangesNotRead(const std::string& table) const {
  logging::LogDecision("store", "reads whole table",
                       {{"table", table}, {"unconfirmed_ms", UnconfirmedMillis(table)}});
}

void RelayLog::CheckEnded(const std::string& table, const std::string& source, TimePoint started_at,
                          const store::TableRows& rows) const {
  logging::LogDecision("store", "check ended",
                       {{"table", table},
                        {"peer", source},
                        {"version", store::FormatVersion(rows.version)},
                        {"rows", std::to_string(rows.rows.size())},
                        {"ms", std::to_string(ToMillis(m_loop.Now() - started_at))}});
}

void RelayLog::OlderRowsIgnored(const std::string& table, const std::string& source,
                                const store::TableRows& rows) const {
  const std::uint64_t known = m_state.tables.at(table).rows.Version();
  logging::LogDecision("store", "older rows ignored",
                       {{"table", table},
                        {"version", store::FormatVersion(rows.version)},
                        {"known", store::FormatVersion(known)},
                        {"peer", source}});
}

void RelayLog::ConfirmedLate(const std::string& table) const {
  logging::LogDecision("store", "confirmed late",
                       {{"table", table}, {"unconfirmed_ms", UnconfirmedMillis(table)}});
}

std::string RelayLog::UnconfirmedMillis(const std::string& table) const {
  const auto found = m_state.tables.find(table);
  if (found == m_state.tables.end() || !found->second.confirmed_at.has_value()) {
    return "none";
  }
  return std::to_string(ToMillis(m_loop.Now() - *found->second.confirmed_at));
}

}  // namespace qh::gateway
