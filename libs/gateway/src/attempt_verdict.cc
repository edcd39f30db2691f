#include "quetzalhinge/gateway/attempt_verdict.h"

namespace qh::gateway {
namespace {

constexpr int kFirstSuccess = 200;
constexpr int kFirstRedirect = 300;
constexpr int kMisdirected = 421;

}  // namespace

bool GuaranteesNotRun(int status) noexcept {
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
    // Requests accept no content encoding, so an encoded body does not come from the worker.
    const bool is_encoded = http::FindHeader(response.headers, "content-encoding").has_value();
    return is_signed && !is_encoded ? AttemptVerdict::kServed : AttemptVerdict::kMayHaveRun;
  }
  // Such a status would guarantee "not run" to the caller, but the worker has not confirmed it.
  return GuaranteesNotRun(response.status) ? AttemptVerdict::kMayHaveRun : AttemptVerdict::kFailed;
}

AttemptVerdict ClassifyFailure(const http::HttpCallFailure& failure) noexcept {
  return failure.stage == http::CallStage::kNotConnected ? AttemptVerdict::kNotRun
                                                         : AttemptVerdict::kMayHaveRun;
}

}  // namespace qh::gateway
