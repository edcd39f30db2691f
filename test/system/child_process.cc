#include "child_process.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <stdexcept>
#include <thread>

namespace qh::test {
namespace {

constexpr std::chrono::milliseconds kPollInterval{10};

}  // namespace

ChildProcess::ChildProcess(const std::vector<std::string>& command, const std::string& log_file) {
  std::vector<char*> arguments;
  for (const std::string& argument : command) {
    arguments.push_back(const_cast<char*>(argument.c_str()));
  }
  arguments.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, log_file.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&actions, STDERR_FILENO, STDOUT_FILENO);
  const int status =
      posix_spawn(&m_pid, arguments[0], &actions, nullptr, arguments.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (status != 0) {
    throw std::runtime_error("cannot start " + command.front());
  }
}

ChildProcess::~ChildProcess() {
  if (IsRunning()) {
    kill(m_pid, SIGKILL);
    WaitForExit(std::chrono::seconds(10));
  }
}

void ChildProcess::Signal(int signal) const {
  if (!m_exit.has_value()) {
    kill(m_pid, signal);
  }
}

std::optional<int> ChildProcess::WaitForExit(std::chrono::milliseconds limit) {
  const auto until = std::chrono::steady_clock::now() + limit;
  while (IsRunning() && std::chrono::steady_clock::now() < until) {
    std::this_thread::sleep_for(kPollInterval);
  }
  return m_exit;
}

bool ChildProcess::IsRunning() {
  int status = 0;
  if (!m_exit.has_value() && waitpid(m_pid, &status, WNOHANG) == m_pid) {
    m_exit = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
  }
  return !m_exit.has_value();
}

}  // namespace qh::test
