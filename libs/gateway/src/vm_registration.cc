#include "quetzalhinge/gateway/vm_registration.h"

#include <chrono>
#include <utility>

#include "quetzalhinge/logging/log.h"

namespace qh::gateway {
namespace {

/**
 * Pause after a failure. Shorter than usual store outages, and long enough to stay within the
 * store's rate limits when all VMs start together.
 */
constexpr std::chrono::milliseconds kRetryInterval{700};

}  // namespace

VmRegistration::VmRegistration(net::EventLoop& loop, store::TableStore& store, std::string vm,
                               const IpEndpoint& gossip, OnPeers on_peers)
    : m_store(store),
      m_vm(std::move(vm)),
      m_gossip(gossip),
      m_on_peers(std::move(on_peers)),
      m_retry_timer(loop, [this] { Start(); }) {}

void VmRegistration::Start() {
  m_store.WriteRow(kVmTable, m_vm, ToString(m_gossip), [this](const Result<Success>& result) {
    if (IsOk(result)) {
      ReadPeers();
    } else {
      ScheduleRetry(ErrorOf(result));
    }
  });
}

void VmRegistration::ReadPeers() {
  m_store.ReadTable(kVmTable, [this](const Result<store::TableRows>& result) {
    if (!IsOk(result)) {
      ScheduleRetry(ErrorOf(result));
      return;
    }
    std::vector<IpEndpoint> peers;
    for (const store::StoredRow& row : ValueOf(result).rows) {
      if (row.removed) {
        continue;
      }
      const auto endpoint = ParseIpEndpoint(row.value);
      if (!endpoint.has_value()) {
        logging::LogError("register", {ErrorCode::kProtocol, "read row of VM", row.key,
                                       "not an IP address and port: " + row.value});
      } else if (*endpoint != m_gossip) {
        peers.push_back(*endpoint);
      }
    }
    logging::LogChange("register", "peers read", {{"count", std::to_string(peers.size())}});
    m_on_peers(peers);
  });
}

void VmRegistration::ScheduleRetry(const Error& error) {
  logging::LogError("register", error);
  m_retry_timer.StartOnce(kRetryInterval);
}

}  // namespace qh::gateway
