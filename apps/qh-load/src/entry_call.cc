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

/** Requests that one call sends at most, over all addresses. */
constexpr int kMaxAttempts = 4;
/** Pause before the same request is sent again after an unknown outcome. */
constexpr milliseconds kPauseBeforeResend{100};

/** An answer as the caller understands it. */
struct ReadAnswer {
  CallOutcome outcome = CallOutcome::kUnknown;
  /** "ok", "status_<n>" of a worker's own status, or the code of an error. */
  std::string code;
  std::string request_id;
  std::string wrong;
  bool asks_to_refresh = false;
};

bool StatusAgrees(CallOutcome outcome, int status) {
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

void ReadErrorBody(const HttpResponse& response, ReadAnswer& answer) {
  const auto body = nlohmann::json::parse(response.body, nullptr, false);
  if (!body.is_object() || !body.contains("code") || !body["code"].is_string()) {
    answer.wrong = "error answer without a code, status " + std::to_string(response.status);
    return;
  }
  answer.code = body["code"].get<std::string>();
  if (body.value("outcome", "") != kCallOutcomeNames.NameOf(answer.outcome)) {
    answer.wrong = answer.code + ": header and body name different outcomes";
  }
}

/** Reads an answer of an entry VM and checks it against docs/design.md, 4.2. */
ReadAnswer ReadEntryAnswer(const HttpResponse& response) {
  ReadAnswer answer;
  const auto header = http::FindHeader(response.headers, "x-qh-outcome");
  const auto outcome = kCallOutcomeNames.Parse(header.value_or(""));
  answer.request_id = http::FindHeader(response.headers, "x-qh-request-id").value_or("");
  answer.asks_to_refresh = http::FindHeader(response.headers, "x-qh-refresh") == "1";
  if (!outcome.has_value()) {
    answer.code = "status_" + std::to_string(response.status);
    answer.wrong = "answer without x-qh-outcome, status " + std::to_string(response.status);
    return answer;
  }
  answer.outcome = *outcome;
  if (answer.outcome == CallOutcome::kRan) {
    answer.code = response.status == 200 ? "ok" : "status_" + std::to_string(response.status);
    return answer;
  }
  ReadErrorBody(response, answer);
  if (!StatusAgrees(answer.outcome, response.status)) {
    answer.wrong = answer.code + ": status " + std::to_string(response.status) +
                   " does not belong to the outcome";
  }
  return answer;
}

/** One call: asks for addresses, sends, tries the next address or the same again, ends once. */
class EntryCall : public std::enable_shared_from_this<EntryCall> {
 public:
  EntryCall(LoadContext& context, PlannedCall call, TimePoint intended, CallEnded on_ended)
      : m_context(context),
        m_call(std::move(call)),
        m_mix(context.scenario.mix[m_call.mix]),
        m_intended(intended),
        m_on_ended(std::move(on_ended)),
        m_body(BodyOf(m_mix, m_call)) {
    m_record.mix = m_call.mix;
    m_record.keyed = m_mix.IsKeyed();
  }

  void AskForAddresses() {
    m_context.addresses.Get(m_mix.service, m_call.customer,
                            [self = shared_from_this()](const auto& addresses) {
                              self->m_addresses = addresses;
                              self->m_next_address = 0;
                              self->TryNextAddress();
                            });
  }

 private:
  /** Sends to the next address, with a key of that address. */
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

  /** Sends to the current address, with the current key. */
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
    m_context.clients.Of(m_address.endpoint)
        .Start(request, m_mix.deadline + kWaitBeyondDeadline,
               [self = shared_from_this()](const HttpCallResult& result) {
                 if (const auto* response = std::get_if<HttpResponse>(&result)) {
                   self->OnAnswer(*response);
                 } else {
                   self->OnFailure(std::get<HttpCallFailure>(result));
                 }
               });
  }

  void OnAnswer(const HttpResponse& response) {
    const ReadAnswer answer = ReadEntryAnswer(response);
    m_last_code = answer.code;
    if (answer.asks_to_refresh) {
      m_context.addresses.Refresh(m_mix.service, m_call.customer);
    }
    if (!answer.wrong.empty()) {
      m_record.wrong_answer = m_call.id + ": " + answer.wrong;
    }
    NoteOutcome(answer);
    if (answer.outcome == CallOutcome::kRan) {
      CheckBody(response, answer);
      End(CallOutcome::kRan, answer.code);
    } else if (answer.outcome == CallOutcome::kNotRun) {
      OnNotRun(response.status, answer);
    } else {
      SendAgainOrEnd(answer.code);
    }
  }

  /** Keeps what the caller was told last about the key, or about the request if it has no key. */
  void NoteOutcome(const ReadAnswer& answer) {
    if (m_mix.IsKeyed()) {
      m_record.keys.back().outcome = answer.outcome;
    } else if (answer.outcome == CallOutcome::kNotRun && !answer.request_id.empty()) {
      m_record.keys.push_back({answer.request_id, CallOutcome::kNotRun});
    }
  }

  void OnNotRun(int status, const ReadAnswer& answer) {
    if (status == 503 && m_record.attempts < kMaxAttempts) {
      TryNextAddress();
    } else {
      End(CallOutcome::kNotRun, answer.code);
    }
  }

  void OnFailure(const HttpCallFailure& failure) {
    m_last_code = std::string("caller_") + ToString(failure.error.code);
    const bool not_connected = failure.stage == http::CallStage::kNotConnected;
    if (not_connected) {
      m_context.addresses.Refresh(m_mix.service, m_call.customer);
    }
    // A refused connection proves nothing about an earlier request with the same key.
    if (!not_connected || m_key_may_have_run) {
      SendAgainOrEnd(m_last_code);
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

  /** The outcome is unknown: a key goes to the same address again, any other request to the next.
   */
  void SendAgainOrEnd(const std::string& code) {
    const bool is_final = code == "outcome_unknown" || code == "key_lost";
    if (is_final || m_record.attempts >= kMaxAttempts) {
      End(CallOutcome::kUnknown, code);
      return;
    }
    m_context.tasks.Start(kPauseBeforeResend, [self = shared_from_this()] {
      if (self->m_mix.IsKeyed()) {
        self->m_key_may_have_run = true;
        self->Send();
      } else {
        self->TryNextAddress();
      }
    });
  }

  void CheckBody(const HttpResponse& response, const ReadAnswer& answer) {
    if (response.status != 200) {
      return;
    }
    const auto checked = standin::CheckAnswerBody(response.body, "call=" + m_call.id, m_body);
    if (!IsOk(checked)) {
      m_record.wrong_answer = m_call.id + ": " + ErrorOf(checked).detail;
    } else if (ValueOf(checked) != answer.request_id && m_record.attempts == 1) {
      // A stored answer to an earlier attempt names the request id of that attempt.
      m_record.wrong_answer = m_call.id + ": header names request " + answer.request_id +
                              ", the worker saw " + ValueOf(checked);
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
  CallEnded m_on_ended;
  std::string m_body;
  std::vector<CallerAddress> m_addresses;
  std::size_t m_next_address = 0;
  CallerAddress m_address;
  /** Whether an earlier request with the current key ended unknown. */
  bool m_key_may_have_run = false;
  std::string m_last_code;
  CallRecord m_record;
};

}  // namespace

void StartEntryCall(LoadContext& context, PlannedCall call, TimePoint intended,
                    CallEnded on_ended) {
  std::make_shared<EntryCall>(context, std::move(call), intended, std::move(on_ended))
      ->AskForAddresses();
}

}  // namespace qh::load
