#include "entry_link.h"

#include <kj/debug.h>

#include <algorithm>
#include <optional>
#include <utility>

#include "quetzalhinge/logging/log.h"
#include "quetzalhinge/messages/contract_messages.h"
#include "quetzalhinge/messages/member_messages.h"
#include "quetzalhinge/net/timer.h"
#include "quetzalhinge/rpc/time_limit.h"
#include "worker_messages.h"

namespace qh::control {
namespace {

using rpc::wire::EntryAgent;
using std::chrono::milliseconds;

/** Confirmations must be sent at least every 500 ms; half of that allows for a busy machine. */
constexpr milliseconds kConfirmationInterval{250};

/**
 * Minimum time between two views. After a mass restart each VM changes its state several times
 * within a second, and one view per change was a third of the bytes that qh-control sent.
 */
constexpr milliseconds kMinViewInterval{500};

/** An entry that has not responded or reported for this long does not count as ready. */
constexpr milliseconds kEntryTimeout{2000};

constexpr milliseconds kTimelineTimeout{1000};

/** The validity of a loan starts at the borrower's request, so a late response is useless. */
constexpr milliseconds kLendTimeout{500};

membership::MemberRecord WithoutCounters(membership::MemberRecord record) {
  record.heartbeat = 0;
  record.revision = 0;
  return record;
}

/** Compares two views, ignoring heartbeats and revisions. */
bool IsSameView(const EntryView& a, const EntryView& b) {
  return a.workers == b.workers &&
         std::equal(a.members.begin(), a.members.end(), b.members.begin(), b.members.end(),
                    [](const auto& left, const auto& right) {
                      return WithoutCounters(left) == WithoutCounters(right);
                    });
}

void WriteView(const EntryView& view, rpc::wire::View::Builder message) {
  auto members = message.initMembers(static_cast<unsigned>(view.members.size()));
  for (unsigned i = 0; i < members.size(); ++i) {
    messages::WriteMember(view.members[i], members[i]);
  }
  WriteWorkers(view.workers, message.initWorkers(static_cast<unsigned>(view.workers.size())));
}

}  // namespace

struct EntryLink::Impl {
  ControlContext& context;
  const contract::ContractBook& book;
  EntryObserver& observer;
  net::Timer confirmation_timer;
  net::Timer view_timer;
  std::optional<EntryAgent::Client> agent;
  std::uint64_t session = 0;
  std::uint64_t incarnation = 0;
  contract::Revision entry_revision = 0;
  EntryReport report;
  EntryView view;
  bool view_pending = false;
  bool view_timer_running = false;
  TimePoint last_response_at{};
  bool contracts_in_flight = false;
  bool confirmation_in_flight = false;
  bool was_ready = false;
  metrics::Counter& sent;
  metrics::Counter& received;
  metrics::Counter& sent_bytes;

  Impl(ControlContext& process_context, const contract::ContractBook& contract_book,
       EntryObserver& entry_observer)
      : context(process_context),
        book(contract_book),
        observer(entry_observer),
        confirmation_timer(context.loop, [this] { OnConfirmationTimer(); }),
        view_timer(context.loop, [this] { OnViewTimer(); }),
        sent(context.metrics.CounterOf("qh_control_messages_total",
                                       "kind=\"entry\",direction=\"sent\"")),
        received(context.metrics.CounterOf("qh_control_messages_total",
                                           "kind=\"entry\",direction=\"received\"")),
        sent_bytes(context.metrics.CounterOf("qh_control_bytes_total",
                                             "kind=\"entry\",direction=\"sent\"")) {}

  /**
   * Sends a request in the current session. `on_response` runs only if the session is still current
   * then. A failed call is not retried here, because the session ends with its connection.
   */
  template <typename Request, typename OnResponse>
  void Send(Request&& request, OnResponse on_response) {
    sent.Add();
    sent_bytes.Add(request.totalSize().wordCount * sizeof(capnp::word));
    context.kj_loop.Detach(request.send().then(
        [this, request_session = session, on_response](auto&& response) {
          if (request_session == session) {
            received.Add();
            last_response_at = context.loop.Now();
            on_response(response);
          }
        },
        [this, request_session = session](kj::Exception&& exception) {
          if (request_session == session) {
            OnCallFailed(exception);
          }
        }));
  }

  void OnCallFailed(const kj::Exception& exception) {
    contracts_in_flight = false;
    confirmation_in_flight = false;
    context.metrics.CounterOf("qh_control_entry_failures_total").Add();
    if (exception.getType() != kj::Exception::Type::DISCONNECTED) {
      logging::LogError("entry", {ErrorCode::kProtocol, "call entry", context.settings.name,
                                  rpc::DescribeException(exception)});
    }
  }

  bool IsReady() const {
    return agent.has_value() && report.ready && !report.draining &&
           context.loop.Now() - last_response_at <= kEntryTimeout;
  }

  void ScheduleView() {
    view_pending = true;
    if (!view_timer_running) {
      SendView();
    }
  }

  void SendView() {
    view_pending = false;
    view_timer_running = true;
    view_timer.StartOnce(kMinViewInterval);
    auto request = agent->applyViewRequest();
    WriteView(view, request.initView());
    Send(kj::mv(request), [](auto&) {});
  }

  void OnViewTimer() {
    view_timer_running = false;
    if (view_pending && agent.has_value()) {
      SendView();
    }
  }

  void OnConfirmationTimer() {
    PushContracts();
    SendConfirmation();
    if (IsReady() != was_ready) {
      was_ready = IsReady();
      observer.OnEntryChanged();
    }
  }

  void SendConfirmation() {
    if (!agent.has_value() || confirmation_in_flight || !book.ConfirmedAt().has_value()) {
      return;
    }
    confirmation_in_flight = true;
    auto request = agent->confirmRequest();
    request.setRevision(book.CurrentRevision());
    const auto age = std::max<std::int64_t>(0, ToMillis(context.loop.Now() - *book.ConfirmedAt()));
    request.setAgeMillis(static_cast<std::uint32_t>(age));
    Send(kj::mv(request), [this](auto&) { confirmation_in_flight = false; });
  }

  void PushContracts() {
    if (!agent.has_value() || contracts_in_flight || entry_revision >= book.CurrentRevision()) {
      return;
    }
    contracts_in_flight = true;
    auto request = agent->applyContractsRequest();
    messages::WriteContractUpdate({book.ChangesSince(entry_revision), book.CurrentRevision()},
                                  request.initChanges());
    Send(kj::mv(request), [this](auto& response) {
      contracts_in_flight = false;
      const bool advanced = response.getRevision() > entry_revision;
      entry_revision = response.getRevision();
      if (advanced) {
        PushContracts();
      }
    });
  }
};

EntryLink::EntryLink(ControlContext& context, const contract::ContractBook& book,
                     EntryObserver& observer)
    : m_impl(std::make_unique<Impl>(context, book, observer)) {
  m_impl->confirmation_timer.StartRepeating(kConfirmationInterval);
}
EntryLink::~EntryLink() = default;

std::uint64_t EntryLink::Attach(std::uint64_t incarnation, EntryAgent::Client agent) {
  m_impl->agent = kj::mv(agent);
  ++m_impl->session;
  m_impl->incarnation = incarnation;
  m_impl->entry_revision = 0;
  m_impl->report = {};
  m_impl->view = {};
  m_impl->view_pending = false;
  m_impl->view_timer_running = false;
  m_impl->contracts_in_flight = false;
  m_impl->confirmation_in_flight = false;
  m_impl->last_response_at = m_impl->context.loop.Now();
  m_impl->context.events.Add("entry_attached", {"", "", Incarnation()});
  logging::LogChange("entry", "attached", {{"incarnation", Incarnation()}});
  m_impl->PushContracts();
  m_impl->SendConfirmation();
  m_impl->observer.OnEntryAttached();
  m_impl->observer.OnEntryChanged();
  return m_impl->session;
}

void EntryLink::Detach(std::uint64_t session) {
  if (session != m_impl->session || !IsAttached()) {
    return;
  }
  m_impl->context.events.Add("entry_detached", {"", "", Incarnation()});
  logging::LogChange("entry", "detached", {{"incarnation", Incarnation()}});
  m_impl->agent.reset();
  m_impl->incarnation = 0;
  m_impl->entry_revision = 0;
  m_impl->report = {};
  m_impl->was_ready = false;
  m_impl->observer.OnEntryChanged();
}

void EntryLink::HandleStatus(std::uint64_t session, rpc::wire::EntryStatus::Reader status) {
  if (session != m_impl->session) {
    return;
  }
  m_impl->received.Add();
  m_impl->last_response_at = m_impl->context.loop.Now();
  m_impl->report = {status.getInProgress(), status.getReady(), status.getDraining()};
  m_impl->was_ready = m_impl->IsReady();
  m_impl->observer.OnEntryChanged();
}

void EntryLink::HandleNotice(rpc::wire::Notice::Reader notice) {
  m_impl->received.Add();
  const Result<membership::Notice> read = messages::ReadNotice(notice);
  if (IsOk(read)) {
    m_impl->observer.OnEntryNotice(ValueOf(read));
  }
}

void EntryLink::PushContracts() { m_impl->PushContracts(); }

void EntryLink::PushView(const EntryView& view) {
  if (!IsAttached() || IsSameView(view, m_impl->view)) {
    return;
  }
  m_impl->view = view;
  m_impl->ScheduleView();
}

void EntryLink::PushNotice(const membership::Notice& notice) {
  if (!IsAttached()) {
    return;
  }
  auto request = m_impl->agent->applyNoticeRequest();
  messages::WriteNotice(notice, request.initNotice());
  m_impl->Send(kj::mv(request), [](auto&) {});
}

void EntryLink::Drain() {
  if (IsAttached()) {
    m_impl->Send(m_impl->agent->drainRequest(), [](auto&) {});
  }
}

kj::Promise<capnp::Response<EntryAgent::LendResults>> EntryLink::Lend(
    capnp::Text::Reader customer, rpc::wire::BorrowRequest::Reader request) {
  if (!IsAttached()) {
    return KJ_EXCEPTION(DISCONNECTED, "no entry is attached");
  }
  auto call = m_impl->agent->lendRequest();
  call.setCustomer(customer);
  call.setRequest(request);
  kj::Promise<capnp::Response<EntryAgent::LendResults>> response_promise = call.send();
  return rpc::WithTimeLimit(m_impl->context.loop, kLendTimeout, kj::mv(response_promise));
}

kj::Promise<kj::String> EntryLink::Timeline(const std::string& filter_json) {
  if (!IsAttached()) {
    return kj::str("[]");
  }
  auto call = m_impl->agent->timelineRequest();
  call.setFilterJson(filter_json);
  kj::Promise<kj::String> response_promise =
      call.send().then([](auto&& response) { return kj::str(response.getEventsJson()); });
  return rpc::WithTimeLimit(m_impl->context.loop, kTimelineTimeout, kj::mv(response_promise))
      .then([](kj::String&& events) { return kj::mv(events); },
            [](kj::Exception&&) { return kj::str("[]"); });
}

bool EntryLink::IsAttached() const noexcept { return m_impl->agent.has_value(); }

bool EntryLink::IsReady() const noexcept { return m_impl->IsReady(); }

const EntryReport& EntryLink::Report() const noexcept { return m_impl->report; }

std::string EntryLink::Incarnation() const {
  return m_impl->incarnation == 0 ? "" : ToHex(m_impl->incarnation);
}

contract::Revision EntryLink::EntryRevision() const noexcept { return m_impl->entry_revision; }

}  // namespace qh::control
