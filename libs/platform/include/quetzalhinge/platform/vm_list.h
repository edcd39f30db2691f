#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "quetzalhinge/base/enum_table.h"
#include "quetzalhinge/base/ip_endpoint.h"

namespace qh::platform {

/** What runs on a VM of the list. */
enum class VmRole { kEntry, kWorker };

inline constexpr EnumTable<VmRole, 2> kVmRoleNames{{{
    {VmRole::kEntry, "entry"},
    {VmRole::kWorker, "worker"},
}}};

/** State of a VM as the platform sees it; lags. */
enum class VmState { kLive, kLeaving };

inline constexpr EnumTable<VmState, 2> kVmStateNames{{{
    {VmState::kLive, "live"},
    {VmState::kLeaving, "leaving"},
}}};

/** One VM of the list. */
struct VmRecord {
  std::string name;
  VmRole role = VmRole::kWorker;
  VmState state = VmState::kLive;
  /** Empty for an entry VM. */
  std::string service;
  std::string zone;
  /** Address for calls. */
  IpEndpoint calls;
  /** Of an entry VM; port 0 if the list names none. */
  IpEndpoint gossip;

  bool operator==(const VmRecord&) const = default;
};

/** The platform's list of VMs. */
struct VmList {
  std::vector<VmRecord> vms;
  /** Records that were left out because their form is not known. */
  std::size_t skipped = 0;
  /** Size of the answer. */
  std::size_t bytes = 0;
};

}  // namespace qh::platform
