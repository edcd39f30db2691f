#pragma once

#include <map>
#include <string>
#include <vector>

#include "test_deployment.h"

namespace qh::test {

/**
 * A caller as design.md, section 4.1 describes it: asks for addresses, keeps the answer for its
 * time to live, prefers the address that it found first, and calls without pause.
 */
class CallingClient {
 public:
  /** @param home VM that is asked for addresses */
  CallingClient(TestDeployment& deployment, std::string customer, std::string service, int home);

  /** Starts to call; the deployment's loop must run. The object must outlive its last call. */
  void Start();

  /** Sends no further call. */
  void Stop() { m_stopped = true; }

  /** Returns whether a request is in progress. */
  bool IsCalling() const noexcept { return m_calling; }

  int Answered() const noexcept { return m_answered; }
  int CallsTo(int vm) const;

  /** Returns what callers must not meet: lost calls and answers other than "ran". */
  const std::vector<std::string>& Problems() const noexcept { return m_problems; }

 private:
  void AskForAddresses();
  void Call();

  TestDeployment& m_deployment;
  std::string m_customer;
  std::string m_service;
  int m_home;
  bool m_stopped = false;
  bool m_calling = false;
  std::vector<std::string> m_addresses;
  std::chrono::steady_clock::time_point m_valid_until;
  int m_answered = 0;
  std::map<std::string, int> m_calls;
  std::vector<std::string> m_problems;
};

}  // namespace qh::test
