#include "key_ledger.h"

namespace qh::test {

void KeyLedger::RecordRequest(const std::string& key) { ++m_records[key].sent; }

void KeyLedger::RecordResponse(const std::string& key, int attempt, const CallResponse& response) {
  Record& record = m_records[key];
  ++m_outcomes[response.outcome.empty() ? "none" : response.outcome];
  if (response.outcome == "ran") {
    record.reported_ran = true;
  } else if (response.outcome == "not-run") {
    (attempt > 1 ? record.retry_refusal_code : record.first_refusal_code) = response.code;
  }
}

std::vector<std::string> KeyLedger::Violations(const std::map<std::string, int>& executions) const {
  std::vector<std::string> violations;
  for (const auto& [key, record] : m_records) {
    const auto found = executions.find(key);
    const int count = found == executions.end() ? 0 : found->second;
    const std::string refused = !record.retry_refusal_code.empty() ? record.retry_refusal_code
                                : record.sent == 1                 ? record.first_refusal_code
                                                                   : "";
    const std::string end = " (" + key + " ran " + std::to_string(count) + " times)";
    if (count > 1) {
      violations.push_back("more than one execution" + end);
    }
    if (record.reported_ran && count == 0) {
      violations.push_back("outcome \"ran\" without an execution" + end);
    }
    if (!refused.empty() && count > 0) {
      violations.push_back("outcome \"not-run\" with code " + refused + end);
    }
  }
  return violations;
}

}  // namespace qh::test
