#include "load_context.h"
#include "quetzalhinge/standin/answer_check.h"

namespace qh::load {
namespace {

using http::HttpCallFailure;
using http::HttpCallResult;
using http::HttpResponse;

void RecordResponse(const HttpResponse& response, const std::string& id, const std::string& body,
                    CallRecord& record) {
  if (response.status == 503 && http::FindHeader(response.headers, "x-qh-not-run") == "1") {
    record.outcome = CallOutcome::kNotRun;
    record.code = "worker_shed";
    return;
  }
  record.outcome = CallOutcome::kRan;
  record.code = response.status == 200 ? "ok" : "status_" + std::to_string(response.status);
  if (response.status == 200) {
    const auto checked = standin::CheckResponseBody(response.body, "call=" + id, body);
    if (!IsOk(checked)) {
      record.invalid_response = id + ": " + ErrorOf(checked).detail;
    } else if (ValueOf(checked) != id) {
      record.invalid_response = id + ": response to request " + ValueOf(checked);
    }
  }
}

}  // namespace

void StartDirectCall(LoadContext& context, const PlannedCall& call, const IpEndpoint& worker,
                     TimePoint intended, CallEndedCallback on_ended) {
  const MixEntry& mix = context.scenario.mix[call.mix];
  const std::string body = BodyOf(mix, call);
  http::HttpRequest request{mix.method, PathOf(mix, call), {{"x-qh-request-id", call.id}}, body};
  request.headers.push_back({"x-qh-deadline-ms", std::to_string(mix.deadline.count())});
  if (mix.IsKeyed()) {
    request.headers.push_back({"idempotency-key", call.id});
  }
  CallRecord record;
  record.mix = call.mix;
  record.direct = true;
  record.keyed = mix.IsKeyed();
  record.attempts = 1;
  context.clients.ClientFor(worker).Start(
      request, mix.deadline + kDeadlineGrace,
      [&context, record, id = call.id, body, intended,
       on_ended = std::move(on_ended)](const HttpCallResult& result) mutable {
        if (const auto* response = std::get_if<HttpResponse>(&result)) {
          RecordResponse(*response, id, body, record);
        } else {
          const auto& failure = std::get<HttpCallFailure>(result);
          record.outcome = failure.stage == http::CallStage::kNotConnected ? CallOutcome::kNotRun
                                                                           : CallOutcome::kUnknown;
          record.code = std::string("caller_") + ToString(failure.error.code);
        }
        record.keys.push_back({id, record.outcome});
        record.latency =
            std::chrono::duration_cast<std::chrono::microseconds>(context.loop.Now() - intended);
        on_ended(std::move(record));
      });
}

}  // namespace qh::load
