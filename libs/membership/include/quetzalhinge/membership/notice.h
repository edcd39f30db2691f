#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include "quetzalhinge/base/enum_table.h"
#include "quetzalhinge/base/time.h"

namespace qh::membership {

/** What a notice tells. */
enum class NoticeKind : std::uint8_t {
  /** `value` is the newest contract revision. */
  kContractRevision,
  /** `subject` is a worker that takes no new work. */
  kWorkerLeaving,
  /**
   * `subject` is a worker that takes work again; `detail` its incarnation, if it is known. Its
   * lifetime has to be at least that of a kWorkerLeaving: a VM that has forgotten the "back" would
   * take a late copy of the "leaving" as news.
   */
  kWorkerBack,
  /** `subject` is a request's fingerprint, `detail` a worker that was lost while it ran. */
  kSuspectFingerprint,
  /** `subject` is a request's fingerprint; `value` its quarantine in ms from the stamp on. */
  kQuarantinedFingerprint,
  /**
   * `subject` is a request's fingerprint that has succeeded after the loss of worker `detail`. It
   * takes the place of the kSuspectFingerprint about both.
   */
  kClearedFingerprint,
};

inline constexpr EnumTable<NoticeKind, 6> kNoticeKindNames{{{
    {NoticeKind::kContractRevision, "contract_revision"},
    {NoticeKind::kWorkerLeaving, "worker_leaving"},
    {NoticeKind::kWorkerBack, "worker_back"},
    {NoticeKind::kSuspectFingerprint, "suspect_fingerprint"},
    {NoticeKind::kQuarantinedFingerprint, "quarantined_fingerprint"},
    {NoticeKind::kClearedFingerprint, "cleared_fingerprint"},
}}};

/** News that every VM should have within seconds. */
struct Notice {
  NoticeKind kind = NoticeKind::kContractRevision;
  /** At most kMaxNoticeTextBytes bytes, as is `detail`. */
  std::string subject;
  std::string detail;
  std::uint64_t value = 0;
  /** Wall clock of the VM that noticed it first. */
  UnixMicros stamp_us = 0;
  /** The notice ends this long after the stamp; at most kMaxNoticeLifetime. */
  std::chrono::milliseconds lifetime{0};

  bool operator==(const Notice&) const = default;
};

inline constexpr std::size_t kMaxNoticeTextBytes = 64;
/** Above the longest quarantine, 16 min. */
inline constexpr std::chrono::milliseconds kMaxNoticeLifetime{1'200'000};

}  // namespace qh::membership
