#include "non_blocking_output.h"

#include <fcntl.h>
#include <unistd.h>

#include <cstddef>

namespace qh::logging {
namespace {

/** Limit of buffered bytes, enough for several hundred lines. */
constexpr std::size_t kMaxKeptBytes = 64 * 1024;

}  // namespace

NonBlockingOutput::NonBlockingOutput() {
  const int flags = fcntl(STDOUT_FILENO, F_GETFL);
  if (flags >= 0) {
    (void)fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
  }
}

void NonBlockingOutput::consume(const boost::log::record_view& /*record*/,
                                const string_type& line) {
  if (m_kept.size() + line.size() > kMaxKeptBytes) {
    WriteKept();
  }
  if (m_kept.size() + line.size() > kMaxKeptBytes) {
    ++m_dropped;
    return;
  }
  if (m_dropped > 0) {
    m_kept += "lines_dropped=" + std::to_string(m_dropped) + " reason=\"output is not read\"\n";
    m_dropped = 0;
  }
  m_kept += line;
  m_kept += '\n';
  WriteKept();
}

void NonBlockingOutput::WriteKept() {
  while (!m_kept.empty()) {
    const ssize_t written = write(STDOUT_FILENO, m_kept.data(), m_kept.size());
    if (written <= 0) {
      // The reader is slow or has closed its end. The next line retries the write.
      return;
    }
    m_kept.erase(0, static_cast<std::size_t>(written));
  }
}

}  // namespace qh::logging
