#include "quetzalhinge/gateway/attempt_verdict.h"

namespace qh::gateway {
namespace {

constexpr int kFirstSuccess = 200;
constexpr int kFirstRedirect = 300;
constexpr int kMisdirected = 421;

}  // namespace

bool PromisesNotRun(int status) noexcept {
  return status == 408 || status == kMisdirected || status == 429 || status == 503;
}

AttemptVerdict ClassifyResponse(const http::HttpResponse& response, const CallHeaders& headers) {
  if (response.status == kMisdirected ||
      http::FindHeader(response.headers, headers.not_run).has_value()) {
    return AttemptVerdict::kNotRun;
  }
  if (response.status >= kFirstSuccess && response.status < kFirstRedirect) {
    const bool is_signed =
        http::FindHeader(response.headers, headers.response_signature).has_value();
    // Bodies are asked for without any encoding; an encoded one is not the worker's.
    const bool is_encoded = http::FindHeader(response.headers, "content-encoding").has_value();
    return is_signed && !is_encoded ? AttemptVerdict::kServed : AttemptVerdict::kMayHaveRun;
  }
  // A status that would promise "not run" to the caller, without the worker's word for it.
  return PromisesNotRun(response.status) ? AttemptVerdict::kMayHaveRun : AttemptVerdict::kFailed;
}

AttemptVerdict ClassifyFailure(const http::HttpCallFailure& failure) noexcept {
  return failure.stage == http::CallStage::kNotConnected ? AttemptVerdict::kNotRun
                                                         : AttemptVerdict::kMayHaveRun;
}

}  // namespace qh::gateway
