#include "quetzalhinge/membership/notice_board.h"

#include <algorithm>
#include <string_view>
#include <tuple>

namespace qh::membership {
namespace {

UnixMicros MicrosOf(std::chrono::milliseconds duration) noexcept {
  return std::chrono::microseconds(duration).count();
}

UnixMicros EndOf(const Notice& notice) noexcept {
  return notice.stamp_us + MicrosOf(notice.lifetime);
}

/** Returns the priority of a kind on a full board; higher is more important. */
int PriorityOf(NoticeKind kind) noexcept {
  switch (kind) {
    case NoticeKind::kContractRevision:
      return 4;
    case NoticeKind::kWorkerLeaving:
      return 3;
    case NoticeKind::kQuarantinedFingerprint:
      return 2;
    case NoticeKind::kWorkerBack:
      return 1;
    case NoticeKind::kSuspectFingerprint:
    case NoticeKind::kClearedFingerprint:
      return 0;
  }
  return 0;
}

/** Total order of notices on a full board, which evicts the lowest. The same at every VM. */
auto RetentionOrder(const Notice& notice) {
  using Order = std::tuple<int, UnixMicros, std::string_view, std::string_view>;
  return Order(PriorityOf(notice.kind), EndOf(notice), notice.subject, notice.detail);
}

bool Supersedes(const Notice& notice, const Notice& known) {
  if (notice.kind == NoticeKind::kContractRevision) {
    // The same revision with a later stamp would only extend the lifetime, so it is not new.
    return notice.value > known.value;
  }
  const bool is_leaving = notice.kind == NoticeKind::kWorkerLeaving;
  const bool was_leaving = known.kind == NoticeKind::kWorkerLeaving;
  return std::tie(notice.stamp_us, is_leaving, notice.value) >
         std::tie(known.stamp_us, was_leaving, known.value);
}

bool IsWellFormed(const Notice& notice) noexcept {
  return notice.subject.size() <= kMaxNoticeTextBytes &&
         notice.detail.size() <= kMaxNoticeTextBytes && notice.stamp_us >= 0 &&
         notice.lifetime > std::chrono::milliseconds(0) && notice.lifetime <= kMaxNoticeLifetime;
}

}  // namespace

NoticeBoard::NoticeBoard(NoticeBoardOptions options) : m_options(options) {}

NoticeOutcome NoticeBoard::Post(const Notice& notice, UnixMicros now_us,
                                std::uint32_t transmit_limit) {
  if (!IsWellFormed(notice) || notice.stamp_us > now_us + MicrosOf(m_options.max_clock_lead)) {
    return NoticeOutcome::kInvalid;
  }
  if (EndOf(notice) <= now_us) {
    return NoticeOutcome::kExpired;
  }
  const Subject subject = SubjectOf(notice);
  const auto known = m_notices.find(subject);
  const bool is_known = known != m_notices.end();
  if (is_known && EndOf(known->second.notice) > now_us &&
      !Supersedes(notice, known->second.notice)) {
    return NoticeOutcome::kKnown;
  }
  if (!is_known && !EvictFor(notice, now_us)) {
    return NoticeOutcome::kFull;
  }
  m_notices.insert_or_assign(subject, PostedNotice{notice, transmit_limit});
  return NoticeOutcome::kNew;
}

void NoticeBoard::Expire(UnixMicros now_us) {
  std::erase_if(m_notices, [&](const auto& item) { return EndOf(item.second.notice) <= now_us; });
}

std::vector<const PostedNotice*> NoticeBoard::Notices() const {
  std::vector<const PostedNotice*> notices;
  for (const auto& [subject, posted] : m_notices) {
    notices.push_back(&posted);
  }
  return notices;
}

void NoticeBoard::RecordTransmit(const Notice& notice) {
  const auto found = m_notices.find(SubjectOf(notice));
  if (found != m_notices.end() && found->second.transmits_left > 0) {
    --found->second.transmits_left;
  }
}

NoticeBoard::Subject NoticeBoard::SubjectOf(const Notice& notice) {
  switch (notice.kind) {
    case NoticeKind::kContractRevision:
      return {0, notice.subject, ""};
    case NoticeKind::kWorkerLeaving:
    case NoticeKind::kWorkerBack:
      return {1, notice.subject, ""};
    case NoticeKind::kSuspectFingerprint:
    case NoticeKind::kClearedFingerprint:
      return {2, notice.subject, notice.detail};
    case NoticeKind::kQuarantinedFingerprint:
      return {3, notice.subject, ""};
  }
  return {-1, notice.subject, notice.detail};
}

bool NoticeBoard::EvictFor(const Notice& notice, UnixMicros now_us) {
  if (m_notices.size() >= m_options.capacity) {
    Expire(now_us);
  }
  if (m_notices.size() < m_options.capacity) {
    return true;
  }
  const auto lowest =
      std::min_element(m_notices.begin(), m_notices.end(), [](const auto& a, const auto& b) {
        return RetentionOrder(a.second.notice) < RetentionOrder(b.second.notice);
      });
  if (lowest == m_notices.end() || RetentionOrder(notice) < RetentionOrder(lowest->second.notice)) {
    return false;
  }
  m_notices.erase(lowest);
  return true;
}

}  // namespace qh::membership
