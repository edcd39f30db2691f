#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "quetzalhinge/gateway/peer_choice.h"

namespace qh::gateway {
namespace {

using membership::Member;
using membership::MemberState;

Member MakeMember(const std::string& vm, const std::string& zone, std::uint64_t revision,
                  MemberState state = MemberState::kLive) {
  Member member;
  member.record.vm = vm;
  member.record.zone = zone;
  member.record.revision = revision;
  member.record.state = state;
  return member;
}

std::vector<std::string> Choose(const std::vector<Member>& members, RandomGenerator& random) {
  std::vector<const Member*> pointers;
  for (const Member& member : members) {
    pointers.push_back(&member);
  }
  std::vector<std::string> names;
  for (const RelayPeer& peer : ChoosePeersToAsk(pointers, "a", 10, random)) {
    names.push_back(peer.vm);
  }
  return names;
}

}  // namespace

SCENARIO("A VM asks one VM of its zone and one of another zone what they know") {
  RandomGenerator random(20261208);
  const auto choose_often = [&](const std::vector<Member>& members) {
    std::map<std::string, int> counts;
    for (int i = 0; i < 200; ++i) {
      for (const std::string& name : Choose(members, random)) {
        ++counts[name];
      }
    }
    return counts;
  };

  GIVEN("VMs that know no more than this one") {
    const auto counts = choose_often({MakeMember("a-1", "a", 10), MakeMember("a-2", "a", 9),
                                      MakeMember("b-1", "b", 10), MakeMember("c-1", "c", 3)});
    THEN("each of them is asked by some") {
      CHECK(counts.at("a-1") + counts.at("a-2") == 200);
      CHECK(counts.at("b-1") + counts.at("c-1") == 200);
      CHECK(counts.at("a-1") > 50);
      CHECK(counts.at("b-1") > 50);
    }
  }
  GIVEN("several VMs of a zone that know more") {
    const auto counts = choose_often({MakeMember("a-1", "a", 10), MakeMember("b-1", "b", 10),
                                      MakeMember("b-2", "b", 11), MakeMember("c-1", "c", 12)});
    THEN("only they are asked there, all of them in turn") {
      CHECK(counts.count("b-1") == 0);
      CHECK(counts.at("b-2") > 50);
      CHECK(counts.at("c-1") > 50);
      CHECK(counts.at("a-1") == 200);
    }
  }
  GIVEN("VMs that are not live") {
    CHECK(Choose({MakeMember("a-1", "a", 20, MemberState::kStarting),
                  MakeMember("b-1", "b", 20, MemberState::kLeaving)},
                 random)
              .empty());
  }
}

}  // namespace qh::gateway
