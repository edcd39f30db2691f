#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "quetzalhinge/base/enum_table.h"
#include "quetzalhinge/standin/standin_worker.h"

namespace qh::load {

/** Whether a call ran, as far as its caller knows (docs/design.md, 4.2). */
enum class CallOutcome { kRan, kNotRun, kUnknown };

/** Names of the outcomes, as in x-qh-outcome. */
inline constexpr EnumTable<CallOutcome, 3> kCallOutcomeNames{{{
    {CallOutcome::kRan, "ran"},
    {CallOutcome::kNotRun, "not-run"},
    {CallOutcome::kUnknown, "unknown"},
}}};

/** An idempotency key or a request id, and the last outcome that the caller received for it. */
struct KeyOutcome {
  std::string key;
  CallOutcome outcome = CallOutcome::kUnknown;
};

/** One completed call. */
struct CallRecord {
  /** Index into Scenario::mix. */
  std::size_t mix = 0;
  bool direct = false;
  /** Whether the call has an idempotency key and must run at most once. */
  bool keyed = false;
  CallOutcome outcome = CallOutcome::kUnknown;
  /**
   * "ok", "status_<n>" for another status of the worker, the error code of the response,
   * "worker_shed" for a direct call that the worker refused, or "caller_<error>" if there was no
   * response.
   */
  std::string code;
  /** Time from the intended start to the end. */
  std::chrono::microseconds latency{0};
  /** Number of requests that were sent. */
  int attempts = 0;
  /** Keys that the call used; for calls without a key, request ids with the outcome not-run. */
  std::vector<KeyOutcome> keys;
  /**
   * Description of a response that violates the protocol or belongs to another call; empty if
   * there was none.
   */
  std::string invalid_response;
};

/** Number of violations of one guarantee, with examples. */
struct Violations {
  std::uint64_t count = 0;
  /** Descriptions of the first violations. */
  std::vector<std::string> examples;
};

/** Result of comparing the calls with the execution counts of the workers. */
struct LedgerSummary {
  std::uint64_t started = 0;
  std::uint64_t ended = 0;
  std::uint64_t keyed_run_once = 0;
  /** Keyed calls with the outcome unknown that the workers did or did not execute. */
  std::uint64_t keyed_unknown_run = 0;
  std::uint64_t keyed_unknown_not_run = 0;
  Violations run_more_than_once;
  Violations not_run_but_executed;
  Violations ran_but_not_executed;
  Violations invalid_responses;

  /** Returns whether every started call has ended and there are no violations. */
  bool IsClean() const noexcept;
};

/** Records all calls and compares them with the execution counts of the workers. */
class CallLedger {
 public:
  /** Counts a call that starts. */
  void RecordStart() noexcept { ++m_started; }

  /** Records a completed call. */
  void RecordEnd(CallRecord record) { m_records.push_back(std::move(record)); }

  /** Returns the number of calls in progress. */
  std::uint64_t InProgress() const noexcept { return m_started - m_records.size(); }

  /** Returns the records of all completed calls in the order of completion. */
  const std::vector<CallRecord>& Records() const noexcept { return m_records; }

  /** Compares the records with the execution counts of the workers. */
  LedgerSummary Compare(const standin::ExecutionCounts& executions) const;

 private:
  std::uint64_t m_started = 0;
  std::vector<CallRecord> m_records;
};

}  // namespace qh::load
