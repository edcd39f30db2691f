#include "non_blocking_output.h"

#include <fcntl.h>
#include <unistd.h>

#include <cstddef>

namespace qh::logging {
namespace {

/** Limit of buffered bytes, enough for several hundred lines. */
constexpr std::size_t kMaxBufferBytes = 64 * 1024;

}  // namespace

NonBlockingOutput::NonBlockingOutput() {
  const int flags = fcntl(STDOUT_FILENO, F_GETFL);
  if (flags >= 0) {
    (void)fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
  }
}

void NonBlockingOutput::consume(const boost::log::record_view& /*record*/,
                                const string_type& line) {
  if (m_buffer.size() + line.size() > kMaxBufferBytes) {
    FlushBuffer();
  }
  if (m_buffer.size() + line.size() > kMaxBufferBytes) {
    ++m_dropped_lines;
    return;
  }
  if (m_dropped_lines > 0) {
    m_buffer +=
        "lines_dropped=" + std::to_string(m_dropped_lines) + " reason=\"output is not read\"\n";
    m_dropped_lines = 0;
  }
  m_buffer += line;
  m_buffer += '\n';
  FlushBuffer();
}

void NonBlockingOutput::FlushBuffer() {
  while (!m_buffer.empty()) {
    const ssize_t written = write(STDOUT_FILENO, m_buffer.data(), m_buffer.size());
    if (written <= 0) {
      // The reader is slow or has closed its end. The next line retries the write.
      return;
    }
    m_buffer.erase(0, static_cast<std::size_t>(written));
  }
}

}  // namespace qh::logging
