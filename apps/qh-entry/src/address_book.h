#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "quetzalhinge/base/ip_endpoint.h"
#include "quetzalhinge/idempotency/request_key.h"

namespace qh::entry {

/** Another entry VM, or this one, as qh-control's view names it. */
struct EntryVm {
  std::string name;
  std::string zone;
  std::uint32_t slot = 0;
  /** Whether callers may be sent there: live, with an attached and ready qh-entry. */
  bool accepts_calls = false;
  IpEndpoint callers;
  IpEndpoint entry_rpc;
  /** Run of its qh-entry; 0 if not known. */
  std::uint64_t entry_incarnation = 0;
};

/** What a caller asks for. */
struct AddressQuery {
  std::string service;
  std::string customer;
  /** Zone that the caller prefers; empty for this VM's zone. */
  std::string zone;
  /** IP number of the caller. */
  std::string caller_ip;
};

/** One address of an answer. */
struct CallerAddress {
  IpEndpoint endpoint;
  std::string zone;
  std::string vm;
  std::string key_prefix;
};

/** Options of an AddressBook. */
struct AddressBookOptions {
  std::string own_zone;
  std::uint32_t vm_count = 1;
  std::uint32_t home_slots = 12;
};

/** Chooses the addresses that callers are told. */
class AddressBook {
 public:
  /** Largest number of addresses in an answer. */
  static constexpr std::size_t kMaxAddresses = 8;

  AddressBook(AddressBookOptions options, const idempotency::RequestKeyAuthority& authority);

  /** Replaces the known entry VMs. */
  void Update(std::vector<EntryVm> vms);

  /**
   * Returns addresses in order of preference: the customer's home VMs in the preferred zone, the
   * other VMs of that zone, then home VMs and other VMs of other zones. Within each of these groups
   * the order differs between customers and between the IP numbers of callers: the callers of a
   * customer spread over its home VMs, and each caller stays with the VM that holds loans for it.
   */
  std::vector<CallerAddress> AddressesFor(const AddressQuery& query, UnixMicros now_us) const;

  /** Returns the VM called `name`, or nothing. */
  std::optional<EntryVm> Find(std::string_view name) const;

 private:
  AddressBookOptions m_options;
  const idempotency::RequestKeyAuthority& m_authority;
  std::vector<EntryVm> m_vms;
};

/** Returns the key holder of an incarnation of a VM's qh-entry. */
idempotency::KeyHolder MakeKeyHolder(const std::string& vm, std::uint64_t entry_incarnation);

}  // namespace qh::entry
