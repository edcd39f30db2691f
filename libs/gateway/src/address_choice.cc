#include "quetzalhinge/gateway/address_choice.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace qh::gateway {
namespace {

/** If the caller's zone has fewer live VMs than this, the VMs of all zones are candidates. */
constexpr std::size_t kMinAddressesOfZone = 2;

}  // namespace

std::vector<IpEndpoint> ChooseAddresses(const std::vector<membership::MemberRecord>& serving,
                                        const std::string& zone, RandomGenerator& random) {
  std::vector<IpEndpoint> own_zone;
  std::vector<IpEndpoint> all;
  for (const membership::MemberRecord& member : serving) {
    all.push_back(member.endpoints.calls);
    if (member.zone == zone) {
      own_zone.push_back(member.endpoints.calls);
    }
  }
  const std::vector<IpEndpoint>& candidates =
      own_zone.size() >= kMinAddressesOfZone ? own_zone : all;
  std::vector<IpEndpoint> chosen;
  std::sample(candidates.begin(), candidates.end(), std::back_inserter(chosen), kMaxAddresses,
              random);
  return chosen;
}

}  // namespace qh::gateway
