#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "quetzalhinge/base/enum_table.h"
#include "quetzalhinge/standin/standin_worker.h"

namespace qh::load {

/** What a caller knows about its call at the end (docs/design.md, 4.2). */
enum class CallOutcome { kRan, kNotRun, kUnknown };

/** Names of the outcomes, as in x-qh-outcome. */
inline constexpr EnumTable<CallOutcome, 3> kCallOutcomeNames{{{
    {CallOutcome::kRan, "ran"},
    {CallOutcome::kNotRun, "not-run"},
    {CallOutcome::kUnknown, "unknown"},
}}};

/** An idempotency key or a request id, and what the caller was told about it last. */
struct KeyOutcome {
  std::string key;
  CallOutcome outcome = CallOutcome::kUnknown;
};

/** One call that has ended. */
struct CallRecord {
  /** Index into Scenario::mix. */
  std::size_t mix = 0;
  bool direct = false;
  /** Whether the call must not run twice. */
  bool keyed = false;
  CallOutcome outcome = CallOutcome::kUnknown;
  /** "ok", the error's code, or the step of a failure on this side. */
  std::string code;
  /** From the intended start. */
  std::chrono::microseconds latency{0};
  /** Number of requests that were sent. */
  int attempts = 0;
  /** Keys that the call used; for calls without key the request ids answered not-run. */
  std::vector<KeyOutcome> keys;
  /** What was wrong with an answer; empty if nothing. */
  std::string wrong_answer;
};

/** Calls that break a promise, with examples. */
struct Violations {
  std::uint64_t count = 0;
  /** The first few, for people. */
  std::vector<std::string> examples;
};

/** What the ledger says after comparing with the workers' counts. */
struct LedgerSummary {
  std::uint64_t started = 0;
  std::uint64_t ended = 0;
  std::uint64_t run_once = 0;
  /** Keyed calls that ended unknown, by what the workers say. */
  std::uint64_t unknown_run = 0;
  std::uint64_t unknown_not_run = 0;
  Violations run_more_than_once;
  Violations not_run_but_executed;
  Violations ran_but_not_executed;
  Violations wrong_answers;

  /** Returns whether every call is accounted for and no promise was broken. */
  bool IsClean() const noexcept;
};

/** Records all calls and compares them with the workers' execution counts. */
class CallLedger {
 public:
  /** Counts a call that begins. */
  void Start() noexcept { ++m_started; }

  /** Records a call that has ended. */
  void End(CallRecord record) { m_records.push_back(std::move(record)); }

  /** Returns the number of calls that have begun and not ended. */
  std::uint64_t InProgress() const noexcept { return m_started - m_records.size(); }

  /** Returns all records in the order in which the calls ended. */
  const std::vector<CallRecord>& Records() const noexcept { return m_records; }

  /** Compares the records with the executions that the workers counted. */
  LedgerSummary Compare(const standin::ExecutionCounts& executions) const;

 private:
  std::uint64_t m_started = 0;
  std::vector<CallRecord> m_records;
};

}  // namespace qh::load
