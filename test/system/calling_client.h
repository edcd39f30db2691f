#pragma once

#include <map>
#include <string>
#include <vector>

#include "test_deployment.h"

namespace qh::test {

/**
 * A caller that follows design.md, section 4.1: it requests addresses from an entry VM and caches
 * them for their time to live. It sends one call after the other without pause, all to the lowest
 * cached address.
 */
class CallingClient {
 public:
  /** @param address_vm entry VM from which addresses are requested */
  CallingClient(TestDeployment& deployment, std::string customer, std::string service,
                int address_vm);

  /** Starts calling; the loop of the deployment must run. The object must outlive its last call. */
  void Start();

  /** Stops after the call in progress. */
  void Stop() { m_stopped = true; }

  /** Returns whether a call or a request for addresses is in progress. */
  bool HasCallInProgress() const noexcept { return m_call_in_progress; }

  /** Returns the number of calls with the outcome "ran". */
  int Succeeded() const noexcept { return m_succeeded; }
  int CallsTo(int vm) const;

  /** Returns a description of each call without a response or with an outcome other than "ran". */
  const std::vector<std::string>& Problems() const noexcept { return m_problems; }

 private:
  void RequestAddresses();
  void Call();

  TestDeployment& m_deployment;
  std::string m_customer;
  std::string m_service;
  int m_address_vm;
  bool m_stopped = false;
  bool m_call_in_progress = false;
  std::vector<std::string> m_addresses;
  std::chrono::steady_clock::time_point m_valid_until;
  int m_succeeded = 0;
  std::map<std::string, int> m_calls;
  std::vector<std::string> m_problems;
};

}  // namespace qh::test
