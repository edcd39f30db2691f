#include "quetzalhinge/settings/changing_file.h"

#include <system_error>
#include <utility>

namespace qh::settings {

ChangingFile::ChangingFile(std::string path) : m_path(std::move(path)) { HasChanged(); }

bool ChangingFile::HasChanged() {
  const Stamp stamp = ReadStamp();
  return std::exchange(m_last_stamp, stamp) != stamp;
}

ChangingFile::Stamp ChangingFile::ReadStamp() const {
  std::error_code written_error;
  std::error_code size_error;
  const Stamp stamp{std::filesystem::last_write_time(m_path, written_error),
                    std::filesystem::file_size(m_path, size_error)};
  return written_error || size_error ? m_last_stamp : stamp;
}

}  // namespace qh::settings
