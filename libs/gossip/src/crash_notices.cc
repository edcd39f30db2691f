#include "quetzalhinge/gossip/crash_notices.h"

#include <algorithm>
#include <charconv>
#include <optional>

#include "quetzalhinge/base/random_id.h"

namespace qh::gossip {
namespace {

using membership::Notice;
using membership::NoticeKind;
using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr milliseconds kSuspectLifetime{60000};
constexpr int kHexBase = 16;

std::optional<std::uint64_t> ParseNumber(const std::string& text, int base) {
  std::uint64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, base);
  if (error != std::errc() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return value;
}

Notice ToNotice(const quarantine::SuspectNotice& suspect, UnixMicros now_us) {
  const UnixMicros stamp = now_us - duration_cast<microseconds>(suspect.age).count();
  return {NoticeKind::kSuspectFingerprint,
          ToHex(suspect.fingerprint),
          suspect.worker,
          suspect.alone ? 1U : 0U,
          stamp,
          kSuspectLifetime};
}

Notice ToNotice(const quarantine::QuarantineNotice& quarantined, UnixMicros now_us) {
  const auto remaining = duration_cast<milliseconds>(quarantined.remaining);
  return {NoticeKind::kQuarantinedFingerprint,
          ToHex(quarantined.fingerprint),
          std::to_string(quarantined.times),
          static_cast<std::uint64_t>(std::max<std::int64_t>(0, remaining.count())),
          now_us,
          std::min(remaining, membership::kMaxNoticeLifetime)};
}

Notice ToNotice(const quarantine::ClearedNotice& cleared, UnixMicros now_us) {
  const UnixMicros stamp = now_us - duration_cast<microseconds>(cleared.age).count();
  return {NoticeKind::kClearedFingerprint,
          ToHex(cleared.fingerprint),
          cleared.worker,
          0,
          stamp,
          kSuspectLifetime};
}

}  // namespace

std::vector<Notice> ToNotices(const quarantine::CrashFindings& findings, UnixMicros now_us) {
  std::vector<Notice> notices;
  for (const quarantine::SuspectNotice& suspect : findings.suspects) {
    notices.push_back(ToNotice(suspect, now_us));
  }
  for (const quarantine::QuarantineNotice& quarantined : findings.quarantined) {
    notices.push_back(ToNotice(quarantined, now_us));
  }
  for (const quarantine::ClearedNotice& cleared : findings.cleared) {
    notices.push_back(ToNotice(cleared, now_us));
  }
  return notices;
}

std::vector<Notice> ApplyCrashNotice(quarantine::CrashSuspects& suspects, const Notice& notice,
                                     TimePoint now, UnixMicros now_us) {
  const std::optional<std::uint64_t> fingerprint = ParseNumber(notice.subject, kHexBase);
  if (!fingerprint.has_value()) {
    return {};
  }
  const microseconds age(std::max<UnixMicros>(0, now_us - notice.stamp_us));
  if (notice.kind == NoticeKind::kSuspectFingerprint) {
    const auto follow_up =
        suspects.OnNotice({*fingerprint, notice.detail, notice.value == 1, age}, now);
    if (follow_up.has_value()) {
      return {ToNotice(*follow_up, now_us)};
    }
  } else if (notice.kind == NoticeKind::kClearedFingerprint) {
    suspects.OnNotice(quarantine::ClearedNotice{*fingerprint, notice.detail, age}, now);
  } else if (notice.kind == NoticeKind::kQuarantinedFingerprint) {
    const std::uint64_t times = ParseNumber(notice.detail, 10).value_or(1);
    const Duration remaining = milliseconds(notice.value) - age;
    if (remaining > Duration::zero()) {
      suspects.OnNotice(
          quarantine::QuarantineNotice{*fingerprint, static_cast<std::uint32_t>(times), remaining},
          now);
    }
  }
  return {};
}

}  // namespace qh::gossip
