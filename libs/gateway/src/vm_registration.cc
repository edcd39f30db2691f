#include "quetzalhinge/gateway/vm_registration.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "quetzalhinge/logging/log.h"
#include "quetzalhinge/store/store_version.h"

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
      m_retry_timer(loop, [this] { WriteAddress(); }) {}

void VmRegistration::Start() { WriteAddress(); }

void VmRegistration::OnStoreEra(std::uint64_t era) {
  m_newest_era = std::max(m_newest_era, era);
  if (m_registered_era.has_value() && *m_registered_era < m_newest_era) {
    m_registered_era = m_newest_era;
    WriteAddress();
  }
}

void VmRegistration::WriteAddress() {
  m_store.WriteRow(kVmTable, m_vm, ToString(m_gossip), [this](const Result<Success>& result) {
    if (!IsOk(result)) {
      ScheduleRetry(ErrorOf(result));
    } else if (!m_registered_era.has_value()) {
      ReadPeers();
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
    bool has_own_row = false;
    for (const store::StoredRow& row : ValueOf(result).rows) {
      if (row.removed) {
        continue;
      }
      has_own_row = has_own_row || row.key == m_vm;
      const auto endpoint = ParseIpEndpoint(row.value);
      if (!endpoint.has_value()) {
        logging::LogError("register", {ErrorCode::kProtocol, "read row of VM", row.key,
                                       "not an IP address and port: " + row.value});
      } else if (*endpoint != m_gossip) {
        peers.push_back(*endpoint);
      }
    }
    if (!has_own_row) {
      ScheduleRetry({ErrorCode::kUnavailable, "register", "store", "the written row is missing"});
      return;
    }
    logging::LogChange("register", "peers read", {{"count", std::to_string(peers.size())}});
    m_registered_era = store::EraOf(ValueOf(result).version);
    m_on_peers(peers);
    OnStoreEra(m_newest_era);
  });
}

void VmRegistration::ScheduleRetry(const Error& error) {
  logging::LogError("register", error);
  m_retry_timer.StartOnce(kRetryInterval);
}

}  // namespace qh::gateway
