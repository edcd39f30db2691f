#pragma once

#include <cstdint>
#include <optional>

#include "quetzalhinge/base/time.h"

namespace qh::gateway {

/**
 * Decides when a VM that has heard of newer revisions than it knows must read the store itself. The
 * time runs from the first revision that is still unknown, so that revisions in quick succession do
 * not postpone the read. Pure: takes the time as an argument.
 */
class RevisionLag {
 public:
  /** @param max_lag how long a VM may lag behind an announced revision */
  explicit RevisionLag(Duration max_lag) : m_max_lag(max_lag) {}

  /** Records that another VM has announced `revision`. */
  void OnAnnounced(std::uint64_t revision, TimePoint now);

  /** Records that this VM knows all revisions up to `revision`. */
  void OnKnown(std::uint64_t revision);

  /** Returns the newest revision that another VM has announced; 0 if there is none. */
  std::uint64_t Newest() const noexcept { return m_newest.revision; }

  /** Returns since when an announced revision is unknown; std::nullopt if none is. */
  std::optional<TimePoint> BehindSince() const noexcept;

  /** Returns when the store must be read; std::nullopt if no announced revision is unknown. */
  std::optional<TimePoint> ReadDue() const noexcept;

 private:
  struct Announcement {
    std::uint64_t revision = 0;
    TimePoint at{};
  };

  Duration m_max_lag;
  std::uint64_t m_known = 0;
  /** The first announcement of an unknown revision; valid only while one is unknown. */
  Announcement m_first_unknown;
  Announcement m_newest;
};

}  // namespace qh::gateway
