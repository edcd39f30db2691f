#pragma once

#include <string>

#include "quetzalhinge/base/enum_table.h"
#include "quetzalhinge/gateway/call_headers.h"
#include "quetzalhinge/http/http_client.h"
#include "quetzalhinge/http/http_message.h"

namespace qh::gateway {

/** What an attempt means for its request. */
enum class AttemptVerdict {
  /** The worker's whole, good response. */
  kServed,
  /** The worker ran the request and answered with a failure, which may be passed on. */
  kFailed,
  /** The request certainly did not run in this attempt. */
  kNotRun,
  /** The request may have run, and there is no response to pass on. */
  kMayHaveRun,
};

inline constexpr EnumTable<AttemptVerdict, 4> kAttemptVerdictNames{{{
    {AttemptVerdict::kServed, "served"},
    {AttemptVerdict::kFailed, "failed"},
    {AttemptVerdict::kNotRun, "not_run"},
    {AttemptVerdict::kMayHaveRun, "may_have_run"},
}}};

/** Judges a whole response of a worker. */
AttemptVerdict ClassifyResponse(const http::HttpResponse& response, const CallHeaders& headers);

/** Judges an attempt that ended without a whole response. */
AttemptVerdict ClassifyFailure(const http::HttpCallFailure& failure) noexcept;

/** Returns whether `status` promises a caller that the request has not run and never will. */
bool PromisesNotRun(int status) noexcept;

}  // namespace qh::gateway
