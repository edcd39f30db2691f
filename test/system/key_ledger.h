#pragma once

#include <map>
#include <string>
#include <vector>

#include "test_deployment.h"

namespace qh::test {

/** Outcomes reported to callers per idempotency key, to compare with the executions at workers. */
class KeyLedger {
 public:
  /** Records that a request with `key` was sent. */
  void RecordRequest(const std::string& key);

  /** Records the response to a request with `key`; `attempt` is its header x-qh-attempt. */
  void RecordResponse(const std::string& key, int attempt, const CallResponse& response);

  /**
   * Returns a description of each key that was executed more than once, that was not executed
   * although a response had the outcome "ran", or that was executed although a response had the
   * outcome "not-run". The latter counts for the response to the only request or to a repeated one:
   * after "not-run" for a first request, a repeated request may still run.
   */
  std::vector<std::string> Violations(const std::map<std::string, int>& executions) const;

  /** Returns the number of calls by outcome; "none" stands for calls without a response. */
  const std::map<std::string, int>& Outcomes() const noexcept { return m_outcomes; }

 private:
  struct Record {
    int sent = 0;
    bool reported_ran = false;
    /** Error code of the "not-run" response to the first request; empty if there was none. */
    std::string first_refusal_code;
    /** The same for repeated requests. */
    std::string retry_refusal_code;
  };

  std::map<std::string, Record> m_records;
  std::map<std::string, int> m_outcomes;
};

}  // namespace qh::test
