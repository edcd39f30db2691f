#include "refusals.h"

namespace qh::http {

Refusal RefusalOf(ReadFault fault) {
  switch (fault) {
    case ReadFault::kHeadTooLarge:
      return Refusal::kHeadTooLarge;
    case ReadFault::kBodyTooLarge:
      return Refusal::kBodyTooLarge;
    case ReadFault::kAmbiguousFraming:
      return Refusal::kAmbiguousFraming;
    case ReadFault::kNoMemory:
      return Refusal::kNoMemory;
    case ReadFault::kMalformed:
    case ReadFault::kMalformedHead:
    case ReadFault::kMalformedChunk:
    case ReadFault::kCutShort:
      break;
  }
  return Refusal::kMalformed;
}

void CountRefusal(Refusal refusal, RefusalCounts& refused) {
  switch (refusal) {
    case Refusal::kHeadTooLarge:
      ++refused.head_too_large;
      break;
    case Refusal::kBodyTooLarge:
      ++refused.body_too_large;
      break;
    case Refusal::kTimedOut:
      ++refused.timed_out;
      break;
    case Refusal::kNoMemory:
      ++refused.no_memory;
      break;
    case Refusal::kMalformed:
    case Refusal::kAmbiguousFraming:
      ++refused.malformed;
      break;
  }
}

int StatusOf(Refusal refusal) noexcept {
  switch (refusal) {
    case Refusal::kHeadTooLarge:
      return 431;
    case Refusal::kBodyTooLarge:
      return 413;
    case Refusal::kTimedOut:
      return 408;
    case Refusal::kNoMemory:
      return 503;
    case Refusal::kMalformed:
    case Refusal::kAmbiguousFraming:
      break;
  }
  return 400;
}

}  // namespace qh::http
