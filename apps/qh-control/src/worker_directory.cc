#include "worker_directory.h"

#include <algorithm>
#include <utility>

#include "worker_messages.h"

namespace qh::control {
namespace {

/** Long enough to reach every VM; by then, the VM list shows the worker as leaving everywhere. */
constexpr std::chrono::milliseconds kLeavingNoticeLifetime{60000};

membership::Notice MakeLeavingNotice(const std::string& worker) {
  membership::Notice notice;
  notice.kind = membership::NoticeKind::kWorkerLeaving;
  notice.subject = worker;
  notice.stamp_us = UnixNow();
  notice.lifetime = kLeavingNoticeLifetime;
  return notice;
}

}  // namespace

WorkerDirectory::WorkerDirectory(ControlContext& context, PeerLinks& peers)
    : m_context(context), m_peers(peers) {}

std::vector<membership::Notice> WorkerDirectory::UpdateFromVmList(const platform::VmList& list) {
  std::vector<platform::VmRecord> workers;
  std::vector<membership::Notice> leaving;
  for (const platform::VmRecord& vm : list.vms) {
    if (vm.role != platform::VmRole::kWorker) {
      continue;
    }
    if (vm.state == platform::VmState::kLeaving && !WasLeaving(vm)) {
      m_context.events.Add("worker_leaving", {"", vm.name, "platform's list"});
      leaving.push_back(MakeLeavingNotice(vm.name));
    }
    workers.push_back(vm);
  }
  Replace(std::move(workers));
  return leaving;
}

void WorkerDirectory::FetchFromPeerIfUnset(const IpEndpoint& control_rpc) {
  if (m_workers.has_value() || m_fetching) {
    return;
  }
  m_fetching = true;
  m_context.kj_loop.Detach(m_peers.FetchWorkers(control_rpc)
                               .then(
                                   [this](auto&& response) {
                                     m_fetching = false;
                                     if (response.getKnown() && !m_workers.has_value()) {
                                       Replace(ReadWorkers(response.getWorkers()));
                                     }
                                   },
                                   [this](kj::Exception&&) { m_fetching = false; }));
}

bool WorkerDirectory::WasLeaving(const platform::VmRecord& worker) const {
  return m_workers.has_value() &&
         std::any_of(m_workers->begin(), m_workers->end(), [&](const auto& previous) {
           return previous.name == worker.name && previous.state == platform::VmState::kLeaving;
         });
}

void WorkerDirectory::Replace(std::vector<platform::VmRecord> workers) {
  if (m_workers == workers) {
    return;
  }
  m_workers = std::move(workers);
  m_context.metrics.GaugeOf("qh_control_workers").Set(static_cast<double>(m_workers->size()));
  m_on_change();
}

}  // namespace qh::control
