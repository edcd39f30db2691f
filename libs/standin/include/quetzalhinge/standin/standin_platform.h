#pragma once

#include <chrono>
#include <memory>
#include <vector>

#include "quetzalhinge/base/error.h"
#include "quetzalhinge/base/ip_endpoint.h"
#include "quetzalhinge/net/event_loop.h"
#include "quetzalhinge/standin/vm_record.h"

namespace qh::standin {

/** Options of a StandinPlatform. */
struct StandinPlatformOptions {
  /** Port 0 takes a free one. */
  IpEndpoint listen;
  std::vector<VmRecord> vms;
  /** How long a change of the VM list takes to appear in answers. */
  std::chrono::milliseconds list_lag{0};
};

/**
 * The platform's table service, object store and VM list in memory, with faults that are switched
 * over HTTP:
 *
 * POST /standin/faults with any of {"down": bool, "silent": bool, "delay_ms": n,
 * "lose_answers": n, "frozen_vm_list": bool}. "lose_answers" closes the connection after each of
 * the next n writes that took effect (-1: all). Members that are absent keep their value.
 *
 * POST /standin/vms with any of {"add": [vm...], "remove": [name...], "state": {name: state}}.
 *
 * GET /standin/counts answers {"reads", "writes", "list_reads"}.
 */
class StandinPlatform {
 public:
  StandinPlatform(net::EventLoop& loop, const StandinPlatformOptions& options);
  ~StandinPlatform();
  StandinPlatform(const StandinPlatform&) = delete;
  StandinPlatform& operator=(const StandinPlatform&) = delete;

  /** Starts to listen. The error's peer is the address. */
  Result<Success> Start();

  /** Returns the address that the platform listens on. */
  IpEndpoint LocalEndpoint() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace qh::standin
