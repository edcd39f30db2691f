#include "call_ledger.h"

namespace qh::load {
namespace {

constexpr std::size_t kMaxExamples = 5;

void AddViolation(Violations& violations, std::string example) {
  ++violations.count;
  if (violations.examples.size() < kMaxExamples) {
    violations.examples.push_back(std::move(example));
  }
}

std::uint32_t CountOf(const standin::ExecutionCounts& executions, const std::string& key) {
  const auto entry = executions.find(key);
  return entry == executions.end() ? 0 : entry->second;
}

void CompareKeyedCall(const CallRecord& record, const standin::ExecutionCounts& executions,
                      std::uint32_t runs, LedgerSummary& summary) {
  const std::string& key = record.keys.empty() ? record.code : record.keys.back().key;
  if (runs > 1) {
    AddViolation(summary.run_more_than_once, key + " ran " + std::to_string(runs) + " times");
  } else if (runs == 1 && record.outcome == CallOutcome::kRan) {
    ++summary.keyed_run_once;
  }
  if (record.outcome == CallOutcome::kRan && CountOf(executions, key) == 0) {
    AddViolation(summary.ran_but_not_executed, key);
  }
  if (record.outcome == CallOutcome::kUnknown) {
    ++(runs == 0 ? summary.keyed_unknown_not_run : summary.keyed_unknown_run);
  }
}

}  // namespace

bool LedgerSummary::IsClean() const noexcept {
  return started == ended && run_more_than_once.count == 0 && not_run_but_executed.count == 0 &&
         ran_but_not_executed.count == 0 && invalid_responses.count == 0;
}

LedgerSummary CallLedger::Compare(const standin::ExecutionCounts& executions) const {
  LedgerSummary summary;
  summary.started = m_started;
  summary.ended = m_records.size();
  for (const CallRecord& record : m_records) {
    std::uint32_t runs = 0;
    for (const KeyOutcome& used : record.keys) {
      const std::uint32_t count = CountOf(executions, used.key);
      runs += count;
      if (used.outcome == CallOutcome::kNotRun && count > 0) {
        AddViolation(summary.not_run_but_executed, used.key + ": " + record.code);
      }
    }
    if (record.keyed) {
      CompareKeyedCall(record, executions, runs, summary);
    }
    if (!record.invalid_response.empty()) {
      AddViolation(summary.invalid_responses, record.invalid_response);
    }
  }
  return summary;
}

}  // namespace qh::load
