#include "process_usage.h"

#include <netinet/in.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace qh::test {
namespace {

constexpr std::size_t kBytesPerKb = 1024;
/** Smaller changes of a process that does nothing are normal. */
constexpr std::size_t kNoticeableKb = 256;

constexpr const char* kListening = "0A";

/** Returns the value of a line like "VmRSS:  123 kB"; 0 without it. */
std::size_t ReadKb(std::istream& status, const std::string& name) {
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with(name + ":")) {
      return std::stoul(line.substr(name.size() + 1));
    }
  }
  return 0;
}

std::size_t CountSockets(const std::string& folder) {
  std::size_t count = 0;
  std::error_code ended;
  for (const auto& entry : std::filesystem::directory_iterator(folder + "/fd", ended)) {
    const std::string target = std::filesystem::read_symlink(entry.path(), ended).string();
    count += target.starts_with("socket:") ? 1 : 0;
  }
  return count;
}

/** Returns the received bytes that no process has read, of all connections of the address. */
std::size_t CountUnreadBytes(const std::set<std::string>& listeners) {
  std::size_t bytes = 0;
  std::ifstream connections("/proc/net/tcp");
  for (std::string line; std::getline(connections, line);) {
    std::istringstream fields(line);
    std::string number;
    std::string local;
    std::string remote;
    std::string state;
    std::string queues;
    fields >> number >> local >> remote >> state >> queues;
    const std::size_t separator = queues.find(':');
    // The queue of a listening socket counts connections.
    if (listeners.count(local) > 0 && state != kListening && separator != std::string::npos) {
      bytes += std::stoul(queues.substr(separator + 1), nullptr, 16);
    }
  }
  return bytes;
}

/** Returns the address in the form of /proc/net/tcp: "0101007F:1F40" for 127.0.1.1:8000. */
std::string InProcFormat(const IpEndpoint& endpoint) {
  const sockaddr_in address = ToSockaddr(endpoint);
  constexpr std::size_t kTextSize = 14;
  char text[kTextSize];
  std::snprintf(text, sizeof(text), "%08X:%04X", address.sin_addr.s_addr, endpoint.port);
  return text;
}

}  // namespace

ProcessUsage::ProcessUsage(pid_t pid, const std::vector<IpEndpoint>& listeners)
    : m_folder("/proc/" + std::to_string(pid)) {
  for (const IpEndpoint& listener : listeners) {
    m_listeners.insert(InProcFormat(listener));
  }
}

void ProcessUsage::Sample() {
  const std::size_t unread_kb = CountUnreadBytes(m_listeners) / kBytesPerKb;
  std::ifstream status(m_folder + "/status");
  // The peak of the resident size comes before the size itself.
  const std::size_t peak_kb = ReadKb(status, "VmHWM");
  const std::size_t resident_kb = ReadKb(status, "VmRSS");
  const std::size_t memory_kb = resident_kb + unread_kb;
  const std::size_t change_kb =
      std::max(memory_kb, m_last_memory_kb) - std::min(memory_kb, m_last_memory_kb);
  if (change_kb > kNoticeableKb) {
    m_last_memory_kb = memory_kb;
    m_steady_samples = 0;
  } else {
    ++m_steady_samples;
  }
  m_peak_unread_kb = std::max(m_peak_unread_kb, unread_kb);
  m_peak_memory_kb = std::max({m_peak_memory_kb, peak_kb, memory_kb});
  m_peak_sockets = std::max(m_peak_sockets, CountSockets(m_folder));
}

}  // namespace qh::test
