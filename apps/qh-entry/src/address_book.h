#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "quetzalhinge/base/ip_endpoint.h"
#include "quetzalhinge/idempotency/request_key.h"

namespace qh::entry {

/** An entry VM in the view from qh-control; may be this VM itself. */
struct EntryVm {
  std::string name;
  std::string zone;
  std::uint32_t slot = 0;
  /** Whether its address may be given to callers: live, with an attached and ready qh-entry. */
  bool accepts_calls = false;
  IpEndpoint callers;
  IpEndpoint entry_rpc;
  /** Incarnation (one run of the process) of its qh-entry; 0 if unknown. */
  std::uint64_t entry_incarnation = 0;
};

/** A caller's query for the addresses of a service. */
struct AddressQuery {
  std::string service;
  std::string customer;
  /** Zone that the caller prefers; empty for this VM's zone. */
  std::string zone;
  /** IP address of the caller. */
  std::string caller_ip;
};

/** One address in the response to an AddressQuery. */
struct CallerAddress {
  IpEndpoint endpoint;
  std::string zone;
  std::string vm;
  /** Prefix for idempotency keys that this VM holds. */
  std::string key_prefix;
};

/** Options of an AddressBook. */
struct AddressBookOptions {
  std::string own_zone;
  std::uint32_t vm_count = 1;
  std::uint32_t home_slots = 12;
};

/** Selects the addresses of entry VMs that are returned to callers. */
class AddressBook {
 public:
  /** Maximum number of addresses in a response. */
  static constexpr std::size_t kMaxAddresses = 8;

  AddressBook(AddressBookOptions options, const idempotency::RequestKeyAuthority& authority);

  /** Replaces the known entry VMs. */
  void Update(std::vector<EntryVm> vms);

  /**
   * Returns addresses in order of preference: the customer's home VMs in the preferred zone, the
   * other VMs of that zone, the home VMs in other zones, and all others. Within each of these
   * groups the order is that of a hash of customer, caller's IP address and VM, so the callers of a
   * customer are distributed over its home VMs, and each caller keeps using the VM that holds loans
   * for it.
   */
  std::vector<CallerAddress> AddressesFor(const AddressQuery& query, UnixMicros now_us) const;

  /** Returns the VM `name`, or nullopt if it is unknown. */
  std::optional<EntryVm> Find(std::string_view name) const;

 private:
  AddressBookOptions m_options;
  const idempotency::RequestKeyAuthority& m_authority;
  std::vector<EntryVm> m_vms;
};

/** Returns the KeyHolder for one incarnation of the qh-entry of `vm`. */
idempotency::KeyHolder MakeKeyHolder(const std::string& vm, std::uint64_t entry_incarnation);

}  // namespace qh::entry
