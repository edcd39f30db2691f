#include "quetzalhinge/gateway/limit_watch.h"

#include <algorithm>
#include <utility>

namespace qh::gateway {
namespace {

using std::chrono::milliseconds;

/** How long a new process waits for gossip of other VMs before it counts them. */
constexpr milliseconds kMembershipSettleTime{3000};

/** Interval at which a worker is probed that states a limit and has sent no response since. */
constexpr milliseconds kProbeInterval{1000};

/** Maximum of these probes of all VMs to one worker in a second. */
constexpr std::int64_t kMaxProbesPerSecond = 30;

}  // namespace

LimitWatch::LimitWatch(net::EventLoop& loop, dispatch::WorkerRegistry& registry, WorkerLinks& links,
                       std::string own_vm)
    : m_loop(loop),
      m_registry(registry),
      m_links(links),
      m_own_vm(std::move(own_vm)),
      m_settled_at(loop.Now() + kMembershipSettleTime) {}

void LimitWatch::SetOtherVms(std::vector<std::string> vms) {
  if (vms != m_other_vms) {
    m_other_vms = std::move(vms);
    m_is_applied = false;
  }
}

void LimitWatch::Tick() {
  const TimePoint now = m_loop.Now();
  if (now >= m_settled_at && !std::exchange(m_is_applied, true)) {
    m_registry.Limits().SetVms(m_own_vm, m_other_vms, now);
  }
  const auto vm_count = static_cast<std::int64_t>(m_other_vms.size()) + 1;
  const Duration interval = std::max<Duration>(
      kProbeInterval, Duration(std::chrono::seconds(vm_count)) / kMaxProbesPerSecond);
  for (const std::string& worker : m_registry.Limits().NotHeardSince(now - interval)) {
    m_links.Probe(worker, [](bool /*is_healthy*/) {});
  }
}

}  // namespace qh::gateway
