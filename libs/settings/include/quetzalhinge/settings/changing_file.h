#pragma once

#include <cstdint>
#include <filesystem>
#include <string>

namespace qh::settings {

/** Tells when a file has been written anew, for settings that change without a signal. */
class ChangingFile {
 public:
  /** Takes the file as it is now for known. */
  explicit ChangingFile(std::string path);

  /**
   * Returns whether the file's time of writing or its size differs from the last call's. A file
   * that cannot be read counts as unchanged: it may be on the way to its place.
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
  Stamp m_known;
};

}  // namespace qh::settings
