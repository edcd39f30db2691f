#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "quetzalhinge/membership/notice.h"

namespace qh::membership {

/** Bounds of a NoticeBoard. */
struct NoticeBoardOptions {
  std::size_t capacity = 1024;
  /** How far ahead of the local wall clock a stamp may lie. */
  std::chrono::milliseconds max_clock_lead{5000};
};

/** What NoticeBoard::Post() did with a notice. */
enum class NoticeOutcome {
  /** News: act on it and forward it at once. */
  kNew,
  /** The board has it, or a newer one on the same subject. */
  kKnown,
  /** Its lifetime has ended. */
  kExpired,
  /** Not well formed, or its stamp is too far in the future. */
  kInvalid,
  /** The board is full of notices that matter more. */
  kFull,
};

/** A notice on the board. */
struct PostedNotice {
  Notice notice;
  /** How often GossipPlanner should still send it ahead of others. */
  std::uint32_t transmits_left = 0;
};

/**
 * The notices in force, one per subject.
 *
 * A later stamp replaces an earlier one on the same subject; "leaving" and "back" of one worker are
 * one subject, and at equal stamps "leaving" wins. The contract revision is one subject and the
 * higher revision wins. Suspects of one fingerprint at different workers are different subjects.
 * A full board keeps the notices that are highest in the order (contract revision, worker leaving,
 * quarantine, worker back, suspect; then the later end), so that a flood of suspects cannot push
 * out a leaving worker, and an evicted notice that comes again is not forwarded again.
 */
class NoticeBoard {
 public:
  explicit NoticeBoard(NoticeBoardOptions options = {});

  /**
   * Takes a notice of this VM or of a peer.
   * @param transmit_limit MemberTable::TransmitLimit()
   */
  NoticeOutcome Post(const Notice& notice, UnixMicros now_us, std::uint32_t transmit_limit);

  /** Removes notices whose lifetime has ended. */
  void Expire(UnixMicros now_us);

  /** Returns all notices since the last Expire(), by subject. Valid until the next change. */
  std::vector<const PostedNotice*> Notices() const;

  /** Counts one sending of the notice. */
  void RecordTransmit(const Notice& notice);

  std::size_t Size() const noexcept { return m_notices.size(); }

 private:
  /** What a notice is about; two notices with the same key replace each other. */
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
