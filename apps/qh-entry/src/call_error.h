#pragma once

#include <chrono>
#include <string>

#include "quetzalhinge/http/http_message.h"

namespace qh::entry {

/** Whether the request of a call was run by a worker; sent in the header x-qh-outcome. */
enum class Outcome { kRan, kNotRun, kUnknown };

/** Returns the value of the header x-qh-outcome. */
const char* ToString(Outcome outcome) noexcept;

/** All errors that qh-entry itself returns to callers (docs/design.md, section 4.2). */
enum class CallErrorCode {
  kMalformedRequest,
  kAmbiguousFraming,
  kMissingCustomer,
  kUnknownService,
  kUnknownCustomer,
  kUnknownPath,
  kBodyTooLarge,
  kHeadersTooLarge,
  kRequestTimeout,
  kKeyMissing,
  kKeyMalformed,
  kKeyReused,
  kRateLimited,
  kTooManyInProgress,
  kOverloaded,
  kQueueDeadline,
  kNoWorker,
  kNotReady,
  kContractUnconfirmed,
  kKeyTableFull,
  kKeyRefused,
  kQuarantined,
  kShuttingDown,
  kWorkerFailed,
  kAnswerCut,
  kKeyLost,
  kOutcomeUnknown,
  kDeadlineExceeded,
  kKeyInProgress,
  kKeyHolderUnreachable,
};

/** An error that is returned to a caller. */
struct CallError {
  CallErrorCode code = CallErrorCode::kMalformedRequest;
  /** Human-readable explanation. */
  std::string message;
  /** Time after which to retry; 0 if no time is suggested. */
  std::chrono::milliseconds retry_after{0};
};

/** Returns the stable name of `code`. */
const char* ToString(CallErrorCode code) noexcept;

/** Returns the HTTP status of `code`. No status is used for both kNotRun and kUnknown. */
int StatusOf(CallErrorCode code) noexcept;

/** Returns the outcome of `code`: kNotRun or kUnknown. */
Outcome OutcomeOf(CallErrorCode code) noexcept;

/** Returns the response for `error`, with its JSON body and the x-qh headers. */
http::HttpResponse ToResponse(const CallError& error, const std::string& request_id);

}  // namespace qh::entry
