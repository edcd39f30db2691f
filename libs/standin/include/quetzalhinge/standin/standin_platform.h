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
  /** Port 0 selects a free port. */
  IpEndpoint listen;
  std::vector<VmRecord> vms;
  /** Delay until a change of the VM list appears in responses. */
  std::chrono::milliseconds list_lag{0};
};

/**
 * In-memory implementation of the platform's table service, object store and VM list, with faults
 * that are controlled over HTTP:
 *
 * POST /standin/faults with any of
 *   "down": bool            answers all platform requests with 503
 *   "silent": bool          reads platform requests and never answers them
 *   "delay_ms": n           delays the handling of platform requests by n ms
 *   "lose_answers": n       closes the connection instead of answering the next n writes that took
 *                           effect (-1: all)
 *   "frozen_vm_list": bool  keeps answering with the VM list that is visible at present
 * Members that are absent keep their value.
 *
 * POST /standin/vms with any of {"add": [vm...], "remove": [name...], "state": {name: state}}.
 *
 * GET /standin/counts returns {"reads", "writes", "list_reads"}.
 */
class StandinPlatform {
 public:
  StandinPlatform(net::EventLoop& loop, const StandinPlatformOptions& options);
  ~StandinPlatform();
  StandinPlatform(const StandinPlatform&) = delete;
  StandinPlatform& operator=(const StandinPlatform&) = delete;

  /** Listens on the configured address. On failure, the error's peer is this address. */
  Result<Success> Start();

  /** Returns the address that the platform listens on. */
  IpEndpoint LocalEndpoint() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace qh::standin
