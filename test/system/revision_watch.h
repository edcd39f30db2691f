#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "quetzalhinge/net/timer.h"
#include "test_deployment.h"

namespace qh::test {

/**
 * Detects contract revisions that go backwards. Requests addresses from each VM every 50 ms while
 * the loop of the deployment runs, and records each response whose revision is older than an
 * earlier one of the same VM, also across restarts of its processes.
 */
class RevisionWatch {
 public:
  RevisionWatch(TestDeployment& deployment, int vms, std::string customer, std::string service);
  RevisionWatch(const RevisionWatch&) = delete;
  RevisionWatch& operator=(const RevisionWatch&) = delete;

  /** Returns a description of each decrease of a VM's revision. */
  const std::vector<std::string>& Regressions() const noexcept { return m_regressions; }

  /** Returns the number of responses with status 200 and a JSON body. */
  std::uint64_t ResponseCount() const noexcept { return m_response_count; }

 private:
  void Poll();
  void OnResponse(int vm, const CallResponse& response);

  TestDeployment& m_deployment;
  int m_vms;
  std::string m_path;
  net::Timer m_timer;
  std::map<int, bool> m_request_pending;
  std::map<int, std::uint64_t> m_latest_revision;
  std::vector<std::string> m_regressions;
  std::uint64_t m_response_count = 0;
};

}  // namespace qh::test
