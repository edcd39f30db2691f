#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "quetzalhinge/membership/notice.h"

namespace qh::membership {

/** Settings of a NoticeBoard. */
struct NoticeBoardOptions {
  std::size_t capacity = 1024;
  /** Maximum time by which a stamp may be ahead of the local wall clock. */
  std::chrono::milliseconds max_clock_lead{5000};
};

/** The result of NoticeBoard::Post(). */
enum class NoticeOutcome {
  /** The notice is new: apply it and forward it immediately. */
  kNew,
  /** The board holds this notice or a newer one about the same subject. */
  kKnown,
  /** Its lifetime has ended. */
  kExpired,
  /** The notice is malformed, or its stamp is too far in the future. */
  kInvalid,
  /** The board is full of notices with a higher priority. */
  kFull,
};

/** A notice on the board. */
struct PostedNotice {
  Notice notice;
  /** How many more times GossipPlanner sends the notice ahead of others. */
  std::uint32_t transmits_left = 0;
};

/**
 * The unexpired notices, one per subject.
 *
 * Of two notices about the same subject, the one with the later stamp wins. kWorkerLeaving and
 * kWorkerBack for one worker share a subject; at equal stamps kWorkerLeaving wins. The
 * revision of the contracts, or of one table, is a subject for which the higher revision wins.
 * Suspicions of one fingerprint at different workers are different subjects.
 *
 * A full board keeps the notices with the highest priority (contract revision, worker leaving,
 * quarantine, worker back, suspect or cleared; then the later expiry). So a flood of suspicions
 * cannot evict a leaving worker, and an evicted notice that is received again is not forwarded
 * again.
 */
class NoticeBoard {
 public:
  explicit NoticeBoard(NoticeBoardOptions options = {});

  /**
   * Adds a notice from this VM or from a peer.
   * @param transmit_limit MemberTable::TransmitLimit()
   */
  NoticeOutcome Post(const Notice& notice, UnixMicros now_us, std::uint32_t transmit_limit);

  /** Removes expired notices. */
  void Expire(UnixMicros now_us);

  /**
   * Returns all notices that had not expired at the last Expire(), by subject. Valid until the next
   * change.
   */
  std::vector<const PostedNotice*> Notices() const;

  /** Counts one transmission of the notice. */
  void RecordTransmit(const Notice& notice);

  std::size_t Size() const noexcept { return m_notices.size(); }

 private:
  /** Identifies what a notice is about; a board holds one notice per subject. */
  struct Subject {
    int group;
    std::string text;
    std::string detail;
    auto operator<=>(const Subject&) const = default;
  };

  static Subject SubjectOf(const Notice& notice);
  bool EvictFor(const Notice& notice, UnixMicros now_us);

  NoticeBoardOptions m_options;
  std::map<Subject, PostedNotice> m_notices;
};

}  // namespace qh::membership
