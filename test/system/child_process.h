#pragma once

#include <sys/types.h>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace qh::test {

/** A child process of a test. The destructor kills it if it is still running. */
class ChildProcess {
 public:
  /**
   * Starts the process; throws std::runtime_error if that fails.
   * @param command path of the program and its arguments
   * @param log_file file to which standard output and standard error are appended
   */
  ChildProcess(const std::vector<std::string>& command, const std::string& log_file);
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  /** Sends a signal; does nothing if the process has ended. */
  void Signal(int signal) const;

  /**
   * Waits for the end of the process. Returns its exit code, or the negated signal number if a
   * signal ended it; std::nullopt if it is still running after `limit`.
   */
  std::optional<int> WaitForExit(std::chrono::milliseconds limit);

  /** Returns whether the process has not ended; collects its exit status otherwise. */
  bool IsRunning();

  pid_t Pid() const noexcept { return m_pid; }

 private:
  pid_t m_pid = -1;
  std::optional<int> m_exit;
};

}  // namespace qh::test
