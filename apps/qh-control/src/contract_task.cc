#include "contract_task.h"

#include <utility>

#include "quetzalhinge/logging/log.h"

namespace qh::control {
namespace {

using contract::ApplyOutcome;
using contract::ContractChange;

contract::ContractBookOptions BookOptions(const vm_settings::EntryVmSettings& settings) {
  contract::ContractBookOptions options;
  options.confirmation_limit = settings.confirmation_limit;
  return options;
}

}  // namespace

ContractTask::ContractTask(ControlContext& context, PlatformTask& platform, PeerLinks& peers,
                           ContractObserver& observer)
    : m_context(context),
      m_platform(platform),
      m_peers(peers),
      m_observer(observer),
      m_book(BookOptions(context.settings)) {}

void ContractTask::OnHead(contract::Revision newest, TimePoint requested_at) {
  Confirm(newest, requested_at);
  FetchIfBehind();
}

void ContractTask::OnPeerRevision(const PeerRevision& peer) {
  const bool was_behind = m_book.IsBehind();
  if (peer.confirms) {
    Confirm(peer.newest, peer.observed_at);
  } else {
    m_book.ObserveRevision(peer.newest);
  }
  if (peer.newest > m_book.CurrentRevision()) {
    m_newer_peer = peer.control_rpc;
  }
  if (m_book.IsBehind() && !was_behind) {
    m_observer.OnContractsChanged();
  }
  FetchIfBehind();
}

void ContractTask::Confirm(contract::Revision newest, TimePoint observed_at) {
  m_book.Confirm(newest, observed_at);
  if (newest > m_observed_revision ||
      (newest == m_observed_revision && observed_at > m_observed_at)) {
    m_observed_revision = newest;
    m_observed_at = observed_at;
  }
}

void ContractTask::FetchIfBehind() {
  if (m_fetching || !m_book.IsBehind()) {
    return;
  }
  m_fetching = true;
  if (m_newer_peer.has_value()) {
    FetchFromPeer(*m_newer_peer);
    m_newer_peer.reset();
  } else {
    FetchFromPlatform();
  }
}

void ContractTask::FetchFromPeer(const IpEndpoint& peer) {
  m_context.kj_loop.Detach(
      m_peers.FetchContracts(peer, m_book.CurrentRevision())
          .then([this](messages::ContractUpdate&& update) { OnFetched(update, true); },
                [this, peer](kj::Exception&& exception) {
                  OnFetched(Error{ErrorCode::kUnavailable, "fetch contracts", ToString(peer),
                                  rpc::DescribeException(exception)},
                            true);
                }));
}

void ContractTask::FetchFromPlatform() {
  m_platform.ReadContractsSince(
      m_book.CurrentRevision(), m_book.NewestKnownRevision(),
      [this](const Result<messages::ContractUpdate>& update) { OnFetched(update, false); });
}

void ContractTask::OnFetched(const Result<messages::ContractUpdate>& update, bool from_peer) {
  m_fetching = false;
  m_context.metrics
      .CounterOf("qh_control_contract_fetches_total",
                 from_peer ? "from=\"peer\"" : "from=\"platform\"")
      .Add();
  const bool advanced = IsOk(update) && ApplyUpdate(ValueOf(update).changes);
  if (advanced) {
    m_book.Confirm(m_observed_revision, m_observed_at);
    m_observer.OnContractsChanged();
  }
  // After a fetch from the platform that does not advance the book, the next head read or gossip
  // message starts another fetch.
  if (advanced || from_peer) {
    FetchIfBehind();
  }
}

bool ContractTask::ApplyUpdate(const contract::ChangesAnswer& changes) {
  const contract::Revision before = m_book.CurrentRevision();
  if (const auto* snapshot = std::get_if<contract::ContractSnapshot>(&changes)) {
    if (m_book.ApplySnapshot(*snapshot)) {
      m_context.events.Add("contract_snapshot",
                           {"", "", "revision " + std::to_string(snapshot->revision)});
    }
  } else {
    for (const ContractChange& change : std::get<std::vector<ContractChange>>(changes)) {
      ApplyChange(change);
    }
  }
  m_context.metrics.GaugeOf("qh_control_revision")
      .Set(static_cast<double>(m_book.CurrentRevision()));
  return m_book.CurrentRevision() > before;
}

void ContractTask::ApplyChange(const ContractChange& change) {
  switch (m_book.Apply(change)) {
    case ApplyOutcome::kApplied:
      m_context.events.Add("contract_applied", {change.customer, "",
                                                "revision " + std::to_string(change.revision) +
                                                    ", version " + std::to_string(change.version)});
      break;
    case ApplyOutcome::kConflict:
      logging::LogError("contracts", {ErrorCode::kConflict, "apply change", change.customer,
                                      "revision " + std::to_string(change.revision) +
                                          " is invalid or differs from the change already known"});
      break;
    case ApplyOutcome::kAlreadyKnown:
    case ApplyOutcome::kGap:
      break;
  }
}

void ContractTask::Submit(ContractCommand command, ContractAcceptance::Callback callback) {
  m_platform.Submit(std::move(command),
                    [this, callback = std::move(callback)](const CommandResult& result) {
                      if (const auto* accepted = std::get_if<CommandAccepted>(&result)) {
                        ApplyAccepted(accepted->change);
                      }
                      callback(result);
                    });
}

void ContractTask::ApplyAccepted(const ContractChange& change) {
  m_context.events.Add("contract_accepted",
                       {change.customer, "",
                        "revision " + std::to_string(change.revision) + " by " + change.author});
  m_book.ObserveRevision(change.revision);
  ApplyUpdate(std::vector<ContractChange>{change});
  m_observer.OnContractsChanged();
  FetchIfBehind();
}

}  // namespace qh::control
