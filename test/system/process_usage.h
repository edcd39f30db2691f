#pragma once

#include <sys/types.h>

#include <cstddef>
#include <set>
#include <string>
#include <vector>

#include "quetzalhinge/base/ip_endpoint.h"

namespace qh::test {

/**
 * Peak use of memory and sockets by one process, from /proc. Bytes that the kernel has received for
 * the process and that the process has not read count as its memory.
 */
class ProcessUsage {
 public:
  /** @param listeners the addresses that the process listens on */
  ProcessUsage(pid_t pid, const std::vector<IpEndpoint>& listeners);

  /** Takes a sample. Does nothing if the process has ended. */
  void Sample();

  /** Returns the samples since the memory or the unread bytes last changed noticeably. */
  int SteadySamples() const noexcept { return m_steady_samples; }

  std::size_t PeakMemoryKb() const noexcept { return m_peak_memory_kb; }
  std::size_t PeakUnreadKb() const noexcept { return m_peak_unread_kb; }
  std::size_t PeakSockets() const noexcept { return m_peak_sockets; }

 private:
  std::string m_folder;
  /** The addresses as they stand in /proc/net/tcp. */
  std::set<std::string> m_listeners;
  std::size_t m_last_memory_kb = 0;
  int m_steady_samples = 0;
  std::size_t m_peak_memory_kb = 0;
  std::size_t m_peak_unread_kb = 0;
  std::size_t m_peak_sockets = 0;
};

}  // namespace qh::test
