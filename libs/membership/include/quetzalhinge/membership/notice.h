#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include "quetzalhinge/base/enum_table.h"
#include "quetzalhinge/base/time.h"

namespace qh::membership {

/** The subject matter of a notice. */
enum class NoticeKind : std::uint8_t {
  /** `value` is the newest revision of the contracts, or of the table that `subject` names. */
  kContractRevision,
  /** `subject` is a worker that accepts no new work. */
  kWorkerLeaving,
  /**
   * `subject` is a worker that accepts work again; `detail` is its incarnation, if known. Its
   * lifetime must be at least that of a kWorkerLeaving notice: if this notice expired first, a VM
   * would treat a late copy of the kWorkerLeaving notice as new.
   */
  kWorkerBack,
  /**
   * `subject` is a request fingerprint, `detail` a worker that was lost while running it. `value`
   * is 1 if the request was the only one that the reporting VM had in progress there, otherwise 0.
   */
  kSuspectFingerprint,
  /**
   * `subject` is a request fingerprint; `value` is the duration of its quarantine in ms, counted
   * from the stamp; `detail` is the number of its consecutive quarantines, from 1.
   */
  kQuarantinedFingerprint,
  /**
   * `subject` is a request fingerprint that succeeded after the loss of worker `detail`. Replaces
   * the kSuspectFingerprint notice with the same subject and detail.
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

/** A time-limited event that gossip distributes to every VM within seconds. */
struct Notice {
  NoticeKind kind = NoticeKind::kContractRevision;
  /** At most kMaxNoticeTextBytes bytes, as is `detail`. */
  std::string subject;
  std::string detail;
  std::uint64_t value = 0;
  /** Wall-clock time at the VM that created the notice. */
  UnixMicros stamp_us = 0;
  /** The notice expires this long after the stamp. At most kMaxNoticeLifetime. */
  std::chrono::milliseconds lifetime{0};

  bool operator==(const Notice&) const = default;
};

inline constexpr std::size_t kMaxNoticeTextBytes = 64;
/** Exceeds the longest quarantine, which is 16 min. */
inline constexpr std::chrono::milliseconds kMaxNoticeLifetime{1'200'000};

}  // namespace qh::membership
