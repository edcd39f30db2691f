#pragma once

#include <map>
#include <string>
#include <vector>

#include "test_deployment.h"

namespace qh::test {

/** What callers were told about each key, to be compared with what the workers ran. */
class KeyLedger {
 public:
  /** Records a request with `key`; `attempt` is the value of its field x-qh-attempt. */
  void NoteSent(const std::string& key);

  /** Records the answer to a request with `key`. */
  void NoteAnswer(const std::string& key, int attempt, const CallAnswer& answer);

  /**
   * Returns the keys that contradict the promises, with the reason: more than one execution, none
   * where a caller was told of success, or one where a caller was told "not run" by the answer to
   * its only request or to a repeated one. A first request that was refused may be followed by one
   * that runs.
   */
  std::vector<std::string> Violations(const std::map<std::string, int>& executions) const;

  /** Returns the number of answers by outcome; "none" where there was no answer. */
  const std::map<std::string, int>& Outcomes() const noexcept { return m_outcomes; }

 private:
  struct Record {
    int sent = 0;
    bool told_success = false;
    /** Code of a refusal after which the key may not have run; empty if there was none. */
    std::string refused_first;
    std::string refused_again;
  };

  std::map<std::string, Record> m_records;
  std::map<std::string, int> m_outcomes;
};

}  // namespace qh::test
