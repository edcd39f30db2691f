#include "quetzalhinge/gateway/row_copy.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace qh::gateway {
namespace {

using nlohmann::json;

/** Maximum number of remembered removals; a peer that is further behind reads the whole table. */
constexpr std::size_t kMaxRemovals = 256;

/** Parses an elapsed time in ms. Throws if it is not a number, is negative or overflows. */
Duration ParseElapsedTime(const json& millis) {
  constexpr std::int64_t kMaxMillis =
      std::chrono::duration_cast<std::chrono::milliseconds>(Duration::max()).count();
  const auto count = millis.get<std::int64_t>();
  if (count < 0 || count > kMaxMillis) {
    throw std::out_of_range("time out of range: " + millis.dump());
  }
  return std::chrono::milliseconds(count);
}

}  // namespace

void RowCopy::Apply(const store::TableRows& rows, bool is_complete) {
  if (is_complete) {
    m_rows.clear();
    m_omitted_values.clear();
    m_removed.clear();
    m_removals_known_since = rows.version;
  }
  for (const store::StoredRow& row : rows.rows) {
    m_newest_change = std::max(m_newest_change, row.version);
    if (row.removed) {
      m_rows.erase(row.key);
      m_omitted_values.erase(row.key);
      m_removed[row.version] = row;
    } else {
      StoreRow(row);
    }
  }
  while (m_removed.size() > kMaxRemovals) {
    m_removals_known_since = std::max(m_removals_known_since, m_removed.begin()->first);
    m_removed.erase(m_removed.begin());
  }
  m_version = std::max(m_version, rows.version);
}

void RowCopy::StoreRow(const store::StoredRow& row) {
  if (row.value.size() <= kMaxRelayedBytes) {
    m_omitted_values.erase(row.key);
    m_rows[row.key] = row;
    return;
  }
  // The value is dropped to limit peak memory, because it is never relayed.
  m_omitted_values.insert(row.key);
  m_rows[row.key] = {row.key, "", row.version, false};
}

bool RowCopy::HasOmittedValue(const store::TableRows& rows) const {
  return std::any_of(rows.rows.begin(), rows.rows.end(), [this](const store::StoredRow& row) {
    return m_omitted_values.count(row.key) != 0;
  });
}

store::TableRows RowCopy::All() const {
  store::TableRows all;
  all.version = m_version;
  for (const auto& [key, row] : m_rows) {
    all.rows.push_back(row);
  }
  return all;
}

std::optional<store::TableRows> RowCopy::ChangesSince(std::uint64_t after) const {
  if (after < m_removals_known_since) {
    return std::nullopt;
  }
  store::TableRows changes;
  changes.version = m_version;
  for (const auto& [key, row] : m_rows) {
    if (row.version > after) {
      changes.rows.push_back(row);
    }
  }
  for (auto removed = m_removed.upper_bound(after); removed != m_removed.end(); ++removed) {
    // A row that was added again since is already among the changes.
    if (m_rows.count(removed->second.key) == 0) {
      changes.rows.push_back(removed->second);
    }
  }
  std::sort(changes.rows.begin(), changes.rows.end(),
            [](const auto& a, const auto& b) { return a.version < b.version; });
  return changes;
}

std::string EncodeRows(const RelayedRows& relayed) {
  json list = json::array();
  for (const store::StoredRow& row : relayed.rows.rows) {
    list.push_back({row.key, row.value, row.version, row.removed});
  }
  json body = {{"version", relayed.rows.version},
               {"age_ms", ToMillis(relayed.age)},
               {"held_ms", ToMillis(relayed.held)},
               {"rows", std::move(list)}};
  if (relayed.is_complete) {
    body["complete"] = true;
  }
  if (relayed.since_outage.has_value()) {
    body["since_outage_ms"] = ToMillis(*relayed.since_outage);
  }
  return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

Result<RelayedRows> DecodeRows(const std::string& peer, std::string_view text) {
  try {
    const json body = json::parse(text);
    RelayedRows relayed;
    relayed.rows.version = body.at("version").get<std::uint64_t>();
    relayed.age = ParseElapsedTime(body.at("age_ms"));
    // VMs of earlier releases do not send it; their rows count from the request.
    if (body.contains("held_ms")) {
      relayed.held = ParseElapsedTime(body.at("held_ms"));
    }
    relayed.is_complete = body.value("complete", false);
    if (body.contains("since_outage_ms")) {
      relayed.since_outage = ParseElapsedTime(body.at("since_outage_ms"));
    }
    for (const json& row : body.at("rows")) {
      relayed.rows.rows.push_back({row.at(0).get<std::string>(), row.at(1).get<std::string>(),
                                   row.at(2).get<std::uint64_t>(), row.at(3).get<bool>()});
    }
    return relayed;
  } catch (const std::exception& error) {
    return Error{ErrorCode::kProtocol, "decode rows of peer", peer, error.what()};
  }
}

}  // namespace qh::gateway
