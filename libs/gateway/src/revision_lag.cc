#include "quetzalhinge/gateway/revision_lag.h"

#include <algorithm>

namespace qh::gateway {

void RevisionLag::OnAnnounced(std::uint64_t revision, TimePoint now) {
  if (revision <= m_newest.revision) {
    return;
  }
  const bool was_behind = m_newest.revision > m_known;
  m_newest = {revision, now};
  if (!was_behind) {
    m_first_unknown = m_newest;
  }
}

void RevisionLag::OnKnown(std::uint64_t revision) {
  m_known = std::max(m_known, revision);
  if (m_first_unknown.revision <= m_known) {
    m_first_unknown = m_newest;
  }
}

std::optional<TimePoint> RevisionLag::BehindSince() const noexcept {
  return m_newest.revision > m_known ? std::optional(m_first_unknown.at) : std::nullopt;
}

std::optional<TimePoint> RevisionLag::ReadDue() const noexcept {
  const auto since = BehindSince();
  return since.has_value() ? std::optional(*since + m_max_lag) : std::nullopt;
}

}  // namespace qh::gateway
