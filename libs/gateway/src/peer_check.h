#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "peer_rows_client.h"
#include "quetzalhinge/gateway/row_copy.h"
#include "quetzalhinge/metrics/metrics_registry.h"
#include "relay_log.h"

namespace qh::gateway {

/** What another VM has said it knows of a table. */
struct PeerCheckResult {
  RelayPeer peer;
  TimePoint requested_at;
  RelayedRows relayed;
};

/** Asks other VMs for what they know of a table, see ConfirmedTableStore::CheckPeers(). */
class PeerCheck {
 public:
  using Callback = std::function<void(PeerCheckResult result)>;

  /** All references must outlive this object. */
  PeerCheck(net::EventLoop& loop, metrics::MetricsRegistry& metrics, PeerRowsClient& client,
            const RelayLog& log)
      : m_loop(loop),
        m_requests(metrics.CounterOf("qh_store_reads_total", "source=\"peer check\"")),
        m_client(client),
        m_log(log) {}

  /** Sets the function that chooses the VMs to ask; without it none are asked. */
  void SetPeerChoice(std::function<std::vector<RelayPeer>()> choose) {
    m_choose = std::move(choose);
  }

  /**
   * Asks for the changes of `table` after the store version `after`. The callback runs once for
   * each VM that responds with rows; failures are logged.
   */
  void Start(const std::string& table, std::uint64_t after, const Callback& callback);

 private:
  net::EventLoop& m_loop;
  metrics::Counter& m_requests;
  PeerRowsClient& m_client;
  const RelayLog& m_log;
  std::function<std::vector<RelayPeer>()> m_choose;
};

}  // namespace qh::gateway
