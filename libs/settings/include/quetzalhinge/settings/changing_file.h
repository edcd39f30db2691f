#pragma once

#include <cstdint>
#include <filesystem>
#include <string>

namespace qh::settings {

/** Detects by polling that a file was modified. Used to reload settings without a signal. */
class ChangingFile {
 public:
  /** Records the current state of the file as the state to compare with. */
  explicit ChangingFile(std::string path);

  /**
   * Returns whether the modification time or the size of the file differs from the last call. A
   * file that cannot be read counts as unchanged, because it may be in the middle of a replacement.
   */
  bool HasChanged();

 private:
  struct Stamp {
    std::filesystem::file_time_type written;
    std::uintmax_t bytes = 0;
    bool operator==(const Stamp&) const = default;
  };

  Stamp ReadStamp() const;

  std::string m_path;
  Stamp m_last_stamp;
};

}  // namespace qh::settings
