#include "store_monitor.h"

#include <algorithm>
#include <utility>

#include "quetzalhinge/logging/log.h"
#include "quetzalhinge/store/store_version.h"

namespace qh::gateway {
namespace {

using std::chrono::milliseconds;

/** During an outage up to this length, no entries in the store expire. */
constexpr milliseconds kShortOutage{300};

/** Time on the way from which a response is logged as late, as a fraction of `apply_within`. */
constexpr double kLateResponseFraction = 0.1;

/** Time after which a failure no longer indicates that the store is unavailable. */
constexpr milliseconds kFailureRetention{1500};

}  // namespace

void StoreMonitor::OnStoreRecovered(std::function<void(Duration ago)> callback) {
  m_on_store_recovered = std::move(callback);
}

void StoreMonitor::OnEra(std::function<void(std::uint64_t era)> callback) {
  m_on_era = std::move(callback);
}

void StoreMonitor::OnResponse(const std::string& table, TimePoint started_at,
                              const store::TableRows& rows) {
  if (!rows.store_time.has_value()) {
    return;
  }
  m_clock.OnResponse(*rows.store_time, started_at, m_loop.Now());
  const Duration delay = m_loop.Now() - *m_clock.LocalTimeOf(*rows.store_time);
  if (delay > m_apply_within * kLateResponseFraction) {
    logging::LogDecision("store", "late response",
                         {{"table", table},
                          {"version", store::FormatVersion(rows.version)},
                          {"rows", std::to_string(rows.rows.size())},
                          {"delay_ms", std::to_string(ToMillis(delay))}});
  }
}

void StoreMonitor::OnResponding() {
  if (m_state.store_failing_since.has_value()) {
    const Duration outage = m_loop.Now() - *m_state.store_failing_since;
    m_state.store_failing_since.reset();
    if (outage > kShortOutage) {
      OnOutageEnded(m_loop.Now());
    }
  }
}

void StoreMonitor::OnFailure(const std::string& table, TimePoint started_at) {
  ExpireFailure();
  m_failed_at = m_loop.Now();
  if (!m_state.store_failing_since.has_value()) {
    m_state.store_failing_since = started_at;
    m_outage_probe_table = table;
  }
}

bool StoreMonitor::IsBlockedByOutage(const std::string& table) {
  ExpireFailure();
  return m_state.store_failing_since.has_value() && table != m_outage_probe_table;
}

/** Clears an old failure: this VM may have read from peers only since then. */
void StoreMonitor::ExpireFailure() {
  if (m_state.store_failing_since.has_value() && m_loop.Now() - m_failed_at > kFailureRetention) {
    m_state.store_failing_since.reset();
  }
}

void StoreMonitor::OnOutageEnded(TimePoint recovered_at) {
  if (m_state.store_recovered_at.has_value() &&
      recovered_at <= *m_state.store_recovered_at + kShortOutage) {
    return;
  }
  m_state.store_recovered_at = recovered_at;
  if (m_on_store_recovered != nullptr) {
    m_on_store_recovered(m_loop.Now() - recovered_at);
  }
}

void StoreMonitor::OnVersion(std::uint64_t version) {
  const std::uint64_t era = store::EraOf(version);
  if (m_era.has_value() && era <= *m_era) {
    return;
  }
  const std::optional<std::uint64_t> before = std::exchange(m_era, era);
  if (before.has_value()) {
    logging::LogChange(
        "store", "continues from older copy",
        {{"version", store::FormatVersion(version)}, {"era_before", std::to_string(*before)}});
    OnOutageEnded(m_loop.Now());
  }
  if (m_on_era != nullptr) {
    m_on_era(era);
  }
}

TimePoint StoreMonitor::CurrentAt(const store::TableRows& rows, const StoreRead& read) const {
  const TimePoint now = m_loop.Now();
  if (rows.store_time.has_value()) {
    return std::clamp(*m_clock.LocalTimeOf(*rows.store_time), read.started_at, now);
  }
  // A response without changes was sent when the wait ended, at the latest.
  return rows.rows.empty() ? std::min(now, read.end) : read.started_at;
}

}  // namespace qh::gateway
