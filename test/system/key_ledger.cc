#include "key_ledger.h"

namespace qh::test {

void KeyLedger::NoteSent(const std::string& key) { ++m_records[key].sent; }

void KeyLedger::NoteAnswer(const std::string& key, int attempt, const CallAnswer& answer) {
  Record& record = m_records[key];
  ++m_outcomes[answer.outcome.empty() ? "none" : answer.outcome];
  if (answer.outcome == "ran") {
    record.told_success = true;
  } else if (answer.outcome == "not-run") {
    (attempt > 1 ? record.refused_again : record.refused_first) = answer.code;
  }
}

std::vector<std::string> KeyLedger::Violations(const std::map<std::string, int>& executions) const {
  std::vector<std::string> violations;
  for (const auto& [key, record] : m_records) {
    const auto found = executions.find(key);
    const int count = found == executions.end() ? 0 : found->second;
    const std::string refused = !record.refused_again.empty() ? record.refused_again
                                : record.sent == 1            ? record.refused_first
                                                              : "";
    const std::string end = " (" + key + " ran " + std::to_string(count) + " times)";
    if (count > 1) {
      violations.push_back("more than one execution" + end);
    }
    if (record.told_success && count == 0) {
      violations.push_back("told of success" + end);
    }
    if (!refused.empty() && count > 0) {
      violations.push_back("told not-run by " + refused + end);
    }
  }
  return violations;
}

}  // namespace qh::test
