#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "quetzalhinge/base/error.h"
#include "quetzalhinge/gateway/call_headers.h"
#include "quetzalhinge/gateway/gateway_settings.h"
#include "quetzalhinge/gateway/record_decoder.h"
#include "quetzalhinge/net/event_loop.h"
#include "quetzalhinge/settings/command_line.h"
#include "quetzalhinge/store/table_store.h"

namespace qh::gateway {

/** The platform's HTTP interface for readiness checks and for the discovery of entry VMs. */
class DiscoveryProtocol {
 public:
  virtual ~DiscoveryProtocol() = default;

  /** Returns the path of the readiness check. */
  virtual std::string ReadyPath() const = 0;

  /** Returns the path at which callers request the addresses of entry VMs. */
  virtual std::string AddressPath() const = 0;

  /** Returns the zone in a caller's address request; empty if the request contains none. */
  virtual std::string CallerZone(const std::string& path_and_query) const = 0;

  /**
   * Returns the body of the response to an address request.
   * @param time_to_live how long callers may cache the response
   */
  virtual std::string FormatAddresses(const std::vector<IpEndpoint>& addresses,
                                      std::chrono::milliseconds time_to_live) const = 0;
};

/** The platform-specific parts of a gateway. All referenced objects must outlive the process. */
struct GatewayEnvironment {
  const RecordDecoder& decoder;
  const DiscoveryProtocol& discovery;
  store::TableStore& store;
  StoreLayout layout;
  CallHeaders headers;
  /** Reads the settings file again. */
  std::function<GatewaySettingsResult()> read_settings;
};

/**
 * The process of one entry VM: serves callers' requests and address requests, follows the store,
 * and takes part in gossip.
 */
class GatewayProcess {
 public:
  GatewayProcess(net::EventLoop& loop, const GatewaySettings& settings,
                 const GatewayEnvironment& environment);
  ~GatewayProcess();
  GatewayProcess(const GatewayProcess&) = delete;
  GatewayProcess& operator=(const GatewayProcess&) = delete;

  /** Opens all sockets and starts gossip, registration and reading from the store. */
  Result<Success> Start();

  /**
   * Handles a stop signal. The first signal starts a graceful shutdown: the process completes
   * requests in progress, then stops the loop. Further signals neither shorten nor extend it.
   * @param count number of stop signals received so far
   */
  void OnStopSignal(int count);

  /** Reads the settings again and applies those that can change while the process runs. */
  void Reload();

  /** Returns the exit code of the process. */
  settings::ExitCode Exit() const noexcept;

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace qh::gateway
