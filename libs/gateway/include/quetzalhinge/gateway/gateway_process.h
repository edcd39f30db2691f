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

/** How callers ask where to connect, and the platform whether the VM is ready. */
class FrontDoor {
 public:
  virtual ~FrontDoor() = default;

  /** Returns the path of the readiness question. */
  virtual std::string ReadyPath() const = 0;

  /** Returns the path of the question where to connect. */
  virtual std::string AddressPath() const = 0;

  /** Returns the zone that a caller names in its question; empty if it names none. */
  virtual std::string CallerZone(const std::string& path_and_query) const = 0;

  /** Returns the body of the answer. */
  virtual std::string FormatAddresses(const std::vector<IpEndpoint>& addresses,
                                      std::chrono::milliseconds time_to_live) const = 0;
};

/** What ties a gateway to the platform that it runs on. All must outlive the process. */
struct GatewayEnvironment {
  const RecordDecoder& decoder;
  const FrontDoor& front_door;
  store::TableStore& store;
  StoreLayout layout;
  CallHeaders headers;
  /** Reads the settings again. */
  std::function<GatewaySettingsResult()> read_settings;
};

/** One entry VM in one process: callers' requests, address answers, store, gossip. */
class GatewayProcess {
 public:
  GatewayProcess(net::EventLoop& loop, const GatewaySettings& settings,
                 const GatewayEnvironment& environment);
  ~GatewayProcess();
  GatewayProcess(const GatewayProcess&) = delete;
  GatewayProcess& operator=(const GatewayProcess&) = delete;

  /** Opens all sockets and starts to follow the store. */
  Result<Success> Start();

  /** Begins a planned stop: finishes what is in progress, then stops the loop. */
  void OnStopSignal(int count);

  /** Reads the settings again and applies what can change while the process runs. */
  void Reload();

  /** Returns how the process ended. */
  settings::ExitCode Exit() const noexcept;

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace qh::gateway
