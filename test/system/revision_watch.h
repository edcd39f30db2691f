#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "quetzalhinge/net/timer.h"
#include "test_deployment.h"

namespace qh::test {

/**
 * Asks each VM for addresses every 50 ms while the deployment's loop runs, and notes each VM whose
 * answers name an older revision than its answers before, also across restarts of its processes.
 */
class RevisionWatch {
 public:
  RevisionWatch(TestDeployment& deployment, int vms, std::string customer, std::string service);
  RevisionWatch(const RevisionWatch&) = delete;
  RevisionWatch& operator=(const RevisionWatch&) = delete;

  /** Returns a description of each step back. */
  const std::vector<std::string>& StepsBack() const noexcept { return m_steps_back; }

  /** Returns the number of answers that named a revision. */
  std::uint64_t Answers() const noexcept { return m_answers; }

 private:
  void Ask();
  void Take(int vm, const CallAnswer& answer);

  TestDeployment& m_deployment;
  int m_vms;
  std::string m_path;
  net::Timer m_timer;
  std::map<int, bool> m_waiting;
  std::map<int, std::uint64_t> m_newest;
  std::vector<std::string> m_steps_back;
  std::uint64_t m_answers = 0;
};

}  // namespace qh::test
