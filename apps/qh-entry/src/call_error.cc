#include "call_error.h"

#include <array>
#include <nlohmann/json.hpp>

#include "quetzalhinge/base/enum_table.h"

namespace qh::entry {
namespace {

constexpr EnumTable<Outcome, 3> kOutcomeNames{{{
    {Outcome::kRan, "ran"},
    {Outcome::kNotRun, "not-run"},
    {Outcome::kUnknown, "unknown"},
}}};

struct CodeRow {
  CallErrorCode code;
  const char* name;
  int status;
  Outcome outcome;
};

constexpr std::array<CodeRow, 30> kCodes{{
    {CallErrorCode::kMalformedRequest, "malformed_request", 400, Outcome::kNotRun},
    {CallErrorCode::kAmbiguousFraming, "ambiguous_framing", 400, Outcome::kNotRun},
    {CallErrorCode::kMissingCustomer, "missing_customer", 400, Outcome::kNotRun},
    {CallErrorCode::kUnknownService, "unknown_service", 404, Outcome::kNotRun},
    {CallErrorCode::kUnknownCustomer, "unknown_customer", 404, Outcome::kNotRun},
    {CallErrorCode::kUnknownPath, "unknown_path", 404, Outcome::kNotRun},
    {CallErrorCode::kBodyTooLarge, "body_too_large", 413, Outcome::kNotRun},
    {CallErrorCode::kHeadersTooLarge, "headers_too_large", 431, Outcome::kNotRun},
    {CallErrorCode::kRequestTimeout, "request_timeout", 408, Outcome::kNotRun},
    {CallErrorCode::kKeyMissing, "key_missing", 422, Outcome::kNotRun},
    {CallErrorCode::kKeyMalformed, "key_malformed", 422, Outcome::kNotRun},
    {CallErrorCode::kKeyReused, "key_reused", 422, Outcome::kNotRun},
    {CallErrorCode::kRateLimited, "rate_limited", 429, Outcome::kNotRun},
    {CallErrorCode::kTooManyInProgress, "too_many_in_progress", 429, Outcome::kNotRun},
    {CallErrorCode::kOverloaded, "overloaded", 503, Outcome::kNotRun},
    {CallErrorCode::kQueueDeadline, "queue_deadline", 503, Outcome::kNotRun},
    {CallErrorCode::kNoWorker, "no_worker", 503, Outcome::kNotRun},
    {CallErrorCode::kNotReady, "not_ready", 503, Outcome::kNotRun},
    {CallErrorCode::kContractUnconfirmed, "contract_unconfirmed", 503, Outcome::kNotRun},
    {CallErrorCode::kKeyTableFull, "key_table_full", 503, Outcome::kNotRun},
    {CallErrorCode::kKeyRefused, "key_refused", 503, Outcome::kNotRun},
    {CallErrorCode::kQuarantined, "quarantined", 503, Outcome::kNotRun},
    {CallErrorCode::kShuttingDown, "shutting_down", 503, Outcome::kNotRun},
    {CallErrorCode::kWorkerFailed, "worker_failed", 502, Outcome::kUnknown},
    {CallErrorCode::kAnswerCut, "answer_cut", 502, Outcome::kUnknown},
    {CallErrorCode::kKeyLost, "key_lost", 502, Outcome::kUnknown},
    {CallErrorCode::kOutcomeUnknown, "outcome_unknown", 502, Outcome::kUnknown},
    {CallErrorCode::kDeadlineExceeded, "deadline_exceeded", 504, Outcome::kUnknown},
    {CallErrorCode::kKeyInProgress, "key_in_progress", 504, Outcome::kUnknown},
    {CallErrorCode::kKeyHolderUnreachable, "key_holder_unreachable", 504, Outcome::kUnknown},
}};

const CodeRow& RowOf(CallErrorCode code) noexcept { return kCodes[static_cast<std::size_t>(code)]; }

}  // namespace

const char* ToString(Outcome outcome) noexcept { return kOutcomeNames.NameOf(outcome); }

const char* ToString(CallErrorCode code) noexcept { return RowOf(code).name; }

int StatusOf(CallErrorCode code) noexcept { return RowOf(code).status; }

Outcome OutcomeOf(CallErrorCode code) noexcept { return RowOf(code).outcome; }

http::HttpResponse ToResponse(const CallError& error, const std::string& request_id) {
  const CodeRow& row = RowOf(error.code);
  const nlohmann::json body{{"code", row.name},
                            {"outcome", ToString(row.outcome)},
                            {"message", error.message},
                            {"request_id", request_id},
                            {"retry_after_ms", error.retry_after.count()}};
  http::HttpResponse response;
  response.status = row.status;
  response.headers = {{"content-type", "application/json"},
                      {"x-qh-outcome", ToString(row.outcome)},
                      {"x-qh-request-id", request_id},
                      {"x-qh-code", row.name}};
  // The message may quote input of the caller that is not valid UTF-8.
  response.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  return response;
}

}  // namespace qh::entry
