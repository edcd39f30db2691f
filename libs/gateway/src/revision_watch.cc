#include "revision_watch.h"

#include <algorithm>
#include <chrono>
#include <optional>
#include <set>
#include <utility>

#include "quetzalhinge/logging/log.h"
#include "quetzalhinge/store/store_version.h"

namespace qh::gateway {
namespace {

using std::chrono::milliseconds;

/**
 * How long this VM may lag behind a newer revision that another VM has announced, before it reads
 * the store directly, and from one such read to the next.
 */
constexpr milliseconds kMaxRevisionLag{700};

}  // namespace

RevisionWatch::RevisionWatch(net::EventLoop& loop, const std::vector<std::string>& tables,
                             RevisionWatchObserver& observer)
    : m_loop(loop),
      m_observer(observer),
      m_any_table{"", RevisionLag(kMaxRevisionLag)},
      m_timer(loop, [this] { Check(); }) {
  for (const std::string& table : tables) {
    m_tables.push_back({table, RevisionLag(kMaxRevisionLag)});
  }
}

void RevisionWatch::OnTableRevision(const std::string& table, std::uint64_t revision) {
  for (WatchedTable& watched : m_tables) {
    if (watched.name == table) {
      OnRevision(watched, revision);
    }
  }
}

void RevisionWatch::OnVmRevision(std::uint64_t revision) { OnRevision(m_any_table, revision); }

void RevisionWatch::OnRevision(WatchedTable& table, std::uint64_t revision) {
  if (revision > table.lag.Newest()) {
    table.lag.OnAnnounced(revision, m_loop.Now());
    Watch();
  }
}

std::optional<TimePoint> RevisionWatch::DueAt(const WatchedTable& table) {
  const auto due = table.lag.ReadDue();
  return due.has_value() ? std::optional(std::max(*due, table.reported_at + kMaxRevisionLag))
                         : std::nullopt;
}

std::vector<RevisionWatch::WatchedTable*> RevisionWatch::Watched() {
  std::vector<WatchedTable*> watched{&m_any_table};
  for (WatchedTable& table : m_tables) {
    watched.push_back(&table);
  }
  return watched;
}

void RevisionWatch::UpdateKnownRevisions() {
  std::uint64_t newest = 0;
  for (WatchedTable& table : m_tables) {
    const std::uint64_t known = m_observer.KnownRevision(table.name);
    table.lag.OnKnown(known);
    newest = std::max(newest, known);
  }
  m_any_table.lag.OnKnown(newest);
}

void RevisionWatch::Watch() {
  UpdateKnownRevisions();
  std::optional<TimePoint> earliest;
  for (const WatchedTable* table : Watched()) {
    const auto due = DueAt(*table);
    if (due.has_value()) {
      earliest = std::min(earliest.value_or(*due), *due);
    }
  }
  if (earliest.has_value() && !std::exchange(m_is_timer_running, true)) {
    const Duration left = std::max(Duration{}, *earliest - m_loop.Now());
    m_timer.StartOnce(std::chrono::ceil<milliseconds>(left));
  }
}

void RevisionWatch::Check() {
  m_is_timer_running = false;
  UpdateKnownRevisions();
  std::set<std::string> tables_behind;
  for (WatchedTable* table : Watched()) {
    const auto due = DueAt(*table);
    if (!due.has_value() || m_loop.Now() < *due) {
      continue;
    }
    table->reported_at = m_loop.Now();
    LogLag(*table);
    for (const WatchedTable& watched : m_tables) {
      if (table == &m_any_table || table == &watched) {
        tables_behind.insert(watched.name);
      }
    }
  }
  Watch();
  for (const std::string& table : tables_behind) {
    m_observer.OnTableBehind(table);
  }
}

void RevisionWatch::LogLag(const WatchedTable& table) const {
  const Duration behind = m_loop.Now() - *table.lag.BehindSince();
  logging::LogDecision("store", "behind revision announced by peer",
                       {{"table", table.name.empty() ? "any" : table.name},
                        {"heard", store::FormatVersion(table.lag.Newest())},
                        {"behind_ms", std::to_string(ToMillis(behind))}});
}

}  // namespace qh::gateway
