#pragma once

#include <chrono>
#include <string>

#include "quetzalhinge/http/http_message.h"

namespace qh::entry {

/** What happened to the work of a call, header x-qh-outcome. */
enum class Outcome { kRan, kNotRun, kUnknown };

/** Returns the header's value of `outcome`. */
const char* ToString(Outcome outcome) noexcept;

/** Every error that the entry itself answers to a caller (docs/design.md, section 4.2). */
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

/** An error as it is answered. */
struct CallError {
  CallErrorCode code = CallErrorCode::kMalformedRequest;
  /** For people. */
  std::string message;
  /** When to try again; 0 says nothing about that. */
  std::chrono::milliseconds retry_after{0};
};

/** Returns the stable name of `code`. */
const char* ToString(CallErrorCode code) noexcept;

/** Returns the status of `code`. No status belongs to both a not-run and an unknown code. */
int StatusOf(CallErrorCode code) noexcept;

/** Returns the outcome of `code`: kNotRun or kUnknown. */
Outcome OutcomeOf(CallErrorCode code) noexcept;

/** Returns the response for `error`, with its JSON body and the x-qh headers. */
http::HttpResponse ToResponse(const CallError& error, const std::string& request_id);

}  // namespace qh::entry
