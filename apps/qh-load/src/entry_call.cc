#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <utility>

#include "load_context.h"
#include "quetzalhinge/standin/answer_check.h"

namespace qh::load {
namespace {

using http::HttpCallFailure;
using http::HttpCallResult;
using http::HttpResponse;
using std::chrono::milliseconds;

/** Maximum number of requests per call, over all addresses. */
constexpr int kMaxAttempts = 4;
/** Delay before the retry after an unknown outcome. */
constexpr milliseconds kRetryDelay{100};

/** The parsed response of an entry VM. */
struct EntryResponse {
  CallOutcome outcome = CallOutcome::kUnknown;
  /** "ok", "status_<n>" for another status of the worker, or the error code. */
  std::string code;
  std::string request_id;
  std::string violation;
  bool refresh_requested = false;
};

/** Returns whether docs/design.md, 4.2 allows `status` for `outcome`. */
bool StatusMatchesOutcome(CallOutcome outcome, int status) {
  constexpr std::array<int, 8> kNotRunStatus{400, 404, 408, 413, 422, 429, 431, 503};
  switch (outcome) {
    case CallOutcome::kNotRun:
      return std::find(kNotRunStatus.begin(), kNotRunStatus.end(), status) != kNotRunStatus.end();
    case CallOutcome::kUnknown:
      return status == 502 || status == 504;
    case CallOutcome::kRan:
      break;
  }
  return true;
}

void ParseErrorBody(const HttpResponse& response, EntryResponse& parsed) {
  const auto body = nlohmann::json::parse(response.body.Bytes(), nullptr, false);
  if (!body.is_object() || !body.contains("code") || !body["code"].is_string()) {
    parsed.violation = "error response without a code, status " + std::to_string(response.status);
    return;
  }
  parsed.code = body["code"].get<std::string>();
  if (body.value("outcome", "") != kCallOutcomeNames.NameOf(parsed.outcome)) {
    parsed.violation = parsed.code + ": x-qh-outcome differs from the outcome in the body";
  }
}

/** Parses a response of an entry VM and checks it against docs/design.md, 4.2. */
EntryResponse ParseEntryResponse(const HttpResponse& response) {
  EntryResponse parsed;
  const auto header = http::FindHeader(response.headers, "x-qh-outcome");
  const auto outcome = kCallOutcomeNames.Parse(header.value_or(""));
  parsed.request_id = http::FindHeader(response.headers, "x-qh-request-id").value_or("");
  parsed.refresh_requested = http::FindHeader(response.headers, "x-qh-refresh") == "1";
  if (!outcome.has_value()) {
    parsed.code = "status_" + std::to_string(response.status);
    parsed.violation = "response without x-qh-outcome, status " + std::to_string(response.status);
    return parsed;
  }
  parsed.outcome = *outcome;
  if (parsed.outcome == CallOutcome::kRan) {
    parsed.code = response.status == 200 ? "ok" : "status_" + std::to_string(response.status);
    return parsed;
  }
  ParseErrorBody(response, parsed);
  if (!StatusMatchesOutcome(parsed.outcome, response.status)) {
    parsed.violation = parsed.code + ": status " + std::to_string(response.status) +
                       " is not valid for the outcome";
  }
  return parsed;
}

/** One call through the entry VMs, with its requests for addresses and its retries. */
class EntryCall : public std::enable_shared_from_this<EntryCall> {
 public:
  EntryCall(LoadContext& context, PlannedCall call, TimePoint intended, CallEndedCallback on_ended)
      : m_context(context),
        m_call(std::move(call)),
        m_mix(context.scenario.mix[m_call.mix]),
        m_intended(intended),
        m_on_ended(std::move(on_ended)),
        m_body(BodyOf(m_mix, m_call)) {
    m_record.mix = m_call.mix;
    m_record.keyed = m_mix.IsKeyed();
  }

  void RequestAddresses() {
    m_context.addresses.Get(m_mix.service, m_call.customer,
                            [self = shared_from_this()](const auto& addresses) {
                              self->m_addresses = addresses;
                              self->m_next_address = 0;
                              self->TryNextAddress();
                            });
  }

 private:
  /** Sends to the next address with a new key of that address; ends the call if there is none. */
  void TryNextAddress() {
    if (m_next_address >= m_addresses.size()) {
      End(CallOutcome::kNotRun, m_addresses.empty() ? "caller_no_address" : m_last_code);
      return;
    }
    m_address = m_addresses[m_next_address++];
    if (m_mix.IsKeyed()) {
      m_key_may_have_run = false;
      m_record.keys.push_back(
          {m_address.key_prefix + "." + m_call.id + "-" + std::to_string(m_record.keys.size() + 1),
           CallOutcome::kUnknown});
    }
    Send();
  }

  /** Sends to the current address with the current key. */
  void Send() {
    ++m_record.attempts;
    http::HttpRequest request{m_mix.method,
                              "/svc/" + m_mix.service + PathOf(m_mix, m_call),
                              {{"x-qh-customer", m_call.customer}},
                              m_body};
    request.headers.push_back({"x-qh-deadline-ms", std::to_string(m_mix.deadline.count())});
    request.headers.push_back({"x-qh-attempt", std::to_string(m_record.attempts)});
    if (m_mix.IsKeyed()) {
      request.headers.push_back({"idempotency-key", m_record.keys.back().key});
    }
    m_context.clients.ClientFor(m_address.endpoint)
        .Start(request, m_mix.deadline + kDeadlineGrace,
               [self = shared_from_this()](const HttpCallResult& result) {
                 if (const auto* response = std::get_if<HttpResponse>(&result)) {
                   self->OnResponse(*response);
                 } else {
                   self->OnFailure(std::get<HttpCallFailure>(result));
                 }
               });
  }

  void OnResponse(const HttpResponse& response) {
    const EntryResponse parsed = ParseEntryResponse(response);
    m_last_code = parsed.code;
    if (parsed.refresh_requested) {
      m_context.addresses.Refresh(m_mix.service, m_call.customer);
    }
    if (!parsed.violation.empty()) {
      m_record.invalid_response = m_call.id + ": " + parsed.violation;
    }
    RecordOutcome(parsed);
    if (parsed.outcome == CallOutcome::kRan) {
      CheckBody(response, parsed);
      End(CallOutcome::kRan, parsed.code);
    } else if (parsed.outcome == CallOutcome::kNotRun) {
      OnNotRun(response.status, parsed);
    } else {
      RetryOrEnd(parsed.code);
    }
  }

  /** Records the outcome of the key or, for calls without a key, the request id of a not-run. */
  void RecordOutcome(const EntryResponse& parsed) {
    if (m_mix.IsKeyed()) {
      m_record.keys.back().outcome = parsed.outcome;
    } else if (parsed.outcome == CallOutcome::kNotRun && !parsed.request_id.empty()) {
      m_record.keys.push_back({parsed.request_id, CallOutcome::kNotRun});
    }
  }

  void OnNotRun(int status, const EntryResponse& parsed) {
    if (status == 503 && m_record.attempts < kMaxAttempts) {
      TryNextAddress();
    } else {
      End(CallOutcome::kNotRun, parsed.code);
    }
  }

  void OnFailure(const HttpCallFailure& failure) {
    m_last_code = std::string("caller_") + ToString(failure.error.code);
    const bool not_connected = failure.stage == http::CallStage::kNotConnected;
    if (not_connected) {
      m_context.addresses.Refresh(m_mix.service, m_call.customer);
    }
    // A refused connection does not show whether an earlier request with the same key ran.
    if (!not_connected || m_key_may_have_run) {
      RetryOrEnd(m_last_code);
      return;
    }
    if (m_mix.IsKeyed()) {
      m_record.keys.back().outcome = CallOutcome::kNotRun;
    }
    if (m_record.attempts < kMaxAttempts) {
      TryNextAddress();
    } else {
      End(CallOutcome::kNotRun, m_last_code);
    }
  }

  /**
   * Retries after an unknown outcome: a keyed call with the same key at the same address, any
   * other call at the next address.
   */
  void RetryOrEnd(const std::string& code) {
    const bool is_final = code == "outcome_unknown" || code == "key_lost";
    if (is_final || m_record.attempts >= kMaxAttempts) {
      End(CallOutcome::kUnknown, code);
      return;
    }
    m_context.tasks.Start(kRetryDelay, [self = shared_from_this()] {
      if (self->m_mix.IsKeyed()) {
        self->m_key_may_have_run = true;
        self->Send();
      } else {
        self->TryNextAddress();
      }
    });
  }

  void CheckBody(const HttpResponse& response, const EntryResponse& parsed) {
    if (response.status != 200) {
      return;
    }
    const auto checked = standin::CheckResponseBody(response.body, "call=" + m_call.id, m_body);
    if (!IsOk(checked)) {
      m_record.invalid_response = m_call.id + ": " + ErrorOf(checked).detail;
    } else if (ValueOf(checked) != parsed.request_id && m_record.attempts == 1) {
      // After a retry, the stored response has the request id of the earlier attempt.
      m_record.invalid_response = m_call.id + ": x-qh-request-id is " + parsed.request_id +
                                  ", but the worker received " + ValueOf(checked);
    }
  }

  void End(CallOutcome outcome, const std::string& code) {
    m_record.outcome = outcome;
    m_record.code = code;
    m_record.latency =
        std::chrono::duration_cast<std::chrono::microseconds>(m_context.loop.Now() - m_intended);
    m_on_ended(std::move(m_record));
  }

  LoadContext& m_context;
  PlannedCall m_call;
  const MixEntry& m_mix;
  TimePoint m_intended;
  CallEndedCallback m_on_ended;
  std::string m_body;
  std::vector<CallerAddress> m_addresses;
  std::size_t m_next_address = 0;
  CallerAddress m_address;
  /** Whether an earlier request with the current key had the outcome unknown. */
  bool m_key_may_have_run = false;
  std::string m_last_code;
  CallRecord m_record;
};

}  // namespace

void StartEntryCall(LoadContext& context, PlannedCall call, TimePoint intended,
                    CallEndedCallback on_ended) {
  std::make_shared<EntryCall>(context, std::move(call), intended, std::move(on_ended))
      ->RequestAddresses();
}

}  // namespace qh::load
