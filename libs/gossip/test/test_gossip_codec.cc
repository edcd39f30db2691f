#include <capnp/message.h>
#include <capnp/serialize.h>

#include <catch2/catch.hpp>
#include <cstring>
#include <vector>

#include "gossip.capnp.h"
#include "quetzalhinge/gossip/gossip_codec.h"

namespace qh::gossip {
namespace {

using membership::GossipMessage;
using membership::NoticeKind;

/** Revision 530 of the second history of a store, see store::MakeVersion(). */
constexpr std::uint64_t kRevision = (std::uint64_t{2} << 48) | 530;

GossipMessage MessageWithRevision(std::uint64_t revision) {
  GossipMessage message;
  message.sender.vm = "vm-1";
  message.sender.revision = revision;
  message.notices = {{NoticeKind::kContractRevision, "configuration", "", revision, 1000,
                      std::chrono::milliseconds(10000)}};
  return message;
}

}  // namespace

SCENARIO("A datagram carries revisions that name the history of a store") {
  const std::string bytes = EncodeGossip(MessageWithRevision(kRevision));

  THEN("they are decoded unchanged") {
    const auto decoded = DecodeGossip(bytes);
    REQUIRE(IsOk(decoded));
    CHECK(ValueOf(decoded).sender.revision == kRevision);
    CHECK(ValueOf(decoded).notices.at(0).value == kRevision);
  }
  // Guards against VMs of the release before that count as behind for as long as a newer one runs,
  // and check the store with each announcement.
  THEN("the fields that earlier releases read have the revision without its history") {
    std::vector<capnp::word> words(bytes.size() / sizeof(capnp::word));
    std::memcpy(words.data(), bytes.data(), bytes.size());
    capnp::FlatArrayMessageReader reader(kj::arrayPtr(words.data(), words.size()));
    const auto datagram = reader.getRoot<rpc::wire::GossipDatagram>();
    CHECK(datagram.getSender().getRevision() == 530);
    CHECK(datagram.getNotices()[0].getValue() == 530);
  }
  THEN("it is not longer than one without them") {
    CHECK(bytes.size() == EncodeGossip(MessageWithRevision(530)).size());
  }
}

}  // namespace qh::gossip
