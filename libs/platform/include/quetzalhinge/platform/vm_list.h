#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "quetzalhinge/base/enum_table.h"
#include "quetzalhinge/base/ip_endpoint.h"

namespace qh::platform {

/** Role of a VM. */
enum class VmRole { kEntry, kWorker };

inline constexpr EnumTable<VmRole, 2> kVmRoleNames{{{
    {VmRole::kEntry, "entry"},
    {VmRole::kWorker, "worker"},
}}};

/** State of a VM as reported by the platform. The report lags behind the actual state. */
enum class VmState { kLive, kLeaving };

inline constexpr EnumTable<VmState, 2> kVmStateNames{{{
    {VmState::kLive, "live"},
    {VmState::kLeaving, "leaving"},
}}};

/** One entry of the VM list. */
struct VmRecord {
  std::string name;
  VmRole role = VmRole::kWorker;
  VmState state = VmState::kLive;
  /** Empty for an entry VM. */
  std::string service;
  std::string zone;
  /** Address that accepts calls. */
  IpEndpoint calls;
  /** Gossip address of an entry VM; port 0 if the list does not contain one. */
  IpEndpoint gossip;

  bool operator==(const VmRecord&) const = default;
};

/** The platform's list of VMs. */
struct VmList {
  std::vector<VmRecord> vms;
  /** Number of entries omitted because they were malformed or had an unknown role or state. */
  std::size_t skipped = 0;
  /** Size of the response body in bytes. */
  std::size_t bytes = 0;
};

}  // namespace qh::platform
