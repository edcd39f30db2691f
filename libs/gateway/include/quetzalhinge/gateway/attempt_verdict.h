#pragma once

#include <string>

#include "quetzalhinge/base/enum_table.h"
#include "quetzalhinge/gateway/call_headers.h"
#include "quetzalhinge/http/http_client.h"
#include "quetzalhinge/http/http_message.h"

namespace qh::gateway {

/** The outcome of one attempt, as far as it matters for retries and for the response. */
enum class AttemptVerdict {
  /** The worker sent a complete success response, signed and without a content encoding. */
  kServed,
  /** The worker ran the request and sent a failure response, which may be forwarded. */
  kFailed,
  /** It is certain that the worker did not run the request in this attempt. */
  kNotRun,
  /** The worker may have run the request, and there is no response to forward. */
  kMayHaveRun,
};

inline constexpr EnumTable<AttemptVerdict, 4> kAttemptVerdictNames{{{
    {AttemptVerdict::kServed, "served"},
    {AttemptVerdict::kFailed, "failed"},
    {AttemptVerdict::kNotRun, "not_run"},
    {AttemptVerdict::kMayHaveRun, "may_have_run"},
}}};

/** Classifies a complete response of a worker. */
AttemptVerdict ClassifyResponse(const http::HttpResponse& response, const CallHeaders& headers);

/** Classifies an attempt that ended without a complete response. */
AttemptVerdict ClassifyFailure(const http::HttpCallFailure& failure) noexcept;

/** Returns whether `status` guarantees the caller that the request did not and will not run. */
bool GuaranteesNotRun(int status) noexcept;

}  // namespace qh::gateway
