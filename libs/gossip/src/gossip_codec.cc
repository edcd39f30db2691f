#include "quetzalhinge/gossip/gossip_codec.h"

#include <arpa/inet.h>
#include <capnp/message.h>
#include <capnp/serialize.h>

#include <algorithm>
#include <cstdint>
#include <cstring>
#include <vector>

#include "gossip.capnp.h"
#include "quetzalhinge/messages/member_messages.h"

namespace qh::gossip {
namespace {

using membership::GossipMessage;
using membership::MemberRecord;
using membership::Notice;
using messages::ReadText;
using rpc::wire::GossipDatagram;
using rpc::wire::GossipNotice;
using rpc::wire::GossipRecord;

/** Limit on the words that the decoder traverses; exceeds the size of any datagram. */
constexpr std::size_t kMaxTraversalWords = 65536 / sizeof(capnp::word);

/** Unit of heartbeat ages on the wire. */
constexpr std::chrono::milliseconds kAgeUnit{100};

/** Bits of revisions and of values of notices in the fields that all releases know. */
constexpr int kLowerBits = 48;
constexpr std::uint64_t kLowerMask = (std::uint64_t{1} << kLowerBits) - 1;

std::uint64_t LowerPart(std::uint64_t number) { return number & kLowerMask; }

std::uint16_t UpperPart(std::uint64_t number) {
  return static_cast<std::uint16_t>(number >> kLowerBits);
}

std::uint64_t JoinParts(std::uint16_t upper, std::uint64_t lower) {
  return (std::uint64_t{upper} << kLowerBits) | LowerPart(lower);
}

/** Rounds down, so that forwarding does not increase an age. */
std::uint8_t EncodeAge(std::chrono::milliseconds age) {
  return static_cast<std::uint8_t>(std::clamp<std::int64_t>(age / kAgeUnit, 0, UINT8_MAX));
}

std::uint32_t EncodeAddress(const IpEndpoint& endpoint) {
  return endpoint.ip.empty() ? 0 : ntohl(ToSockaddr(endpoint).sin_addr.s_addr);
}

IpEndpoint DecodeEndpoint(std::uint32_t address, std::uint16_t port) {
  if (address == 0 && port == 0) {
    return {};
  }
  sockaddr_in socket_address{};
  socket_address.sin_family = AF_INET;
  socket_address.sin_addr.s_addr = htonl(address);
  socket_address.sin_port = htons(port);
  return FromSockaddr(socket_address);
}

void WriteRecord(const MemberRecord& record, GossipRecord::Builder out) {
  out.setVm(record.vm);
  out.setZone(record.zone);
  out.setEntryIncarnation(record.entry_incarnation);
  out.setGeneration(record.generation);
  out.setRevision(LowerPart(record.revision));
  out.setRevisionEra(UpperPart(record.revision));
  out.setVersion(record.version);
  out.setHeartbeat(record.heartbeat);
  out.setHeartbeatAge(EncodeAge(record.heartbeat_age));
  out.setSlot(record.slot);
  out.setState(static_cast<std::uint8_t>(record.state));
  out.setCallsAddress(EncodeAddress(record.endpoints.calls));
  out.setCallsPort(record.endpoints.calls.port);
  out.setEntryRpcAddress(EncodeAddress(record.endpoints.entry_rpc));
  out.setEntryRpcPort(record.endpoints.entry_rpc.port);
  out.setControlRpcAddress(EncodeAddress(record.endpoints.control_rpc));
  out.setControlRpcPort(record.endpoints.control_rpc.port);
  out.setGossipAddress(EncodeAddress(record.endpoints.gossip));
  out.setGossipPort(record.endpoints.gossip.port);
  out.setOperatorsAddress(EncodeAddress(record.endpoints.operators));
  out.setOperatorsPort(record.endpoints.operators.port);
}

MemberRecord ReadRecord(GossipRecord::Reader in) {
  MemberRecord record;
  record.vm = ReadText(in.getVm());
  record.zone = ReadText(in.getZone());
  record.entry_incarnation = ReadText(in.getEntryIncarnation());
  record.generation = in.getGeneration();
  record.revision = JoinParts(in.getRevisionEra(), in.getRevision());
  record.version = in.getVersion();
  record.heartbeat = in.getHeartbeat();
  record.heartbeat_age = in.getHeartbeatAge() * kAgeUnit;
  record.slot = in.getSlot();
  record.state = static_cast<membership::MemberState>(in.getState());
  record.endpoints.calls = DecodeEndpoint(in.getCallsAddress(), in.getCallsPort());
  record.endpoints.entry_rpc = DecodeEndpoint(in.getEntryRpcAddress(), in.getEntryRpcPort());
  record.endpoints.control_rpc = DecodeEndpoint(in.getControlRpcAddress(), in.getControlRpcPort());
  record.endpoints.gossip = DecodeEndpoint(in.getGossipAddress(), in.getGossipPort());
  record.endpoints.operators = DecodeEndpoint(in.getOperatorsAddress(), in.getOperatorsPort());
  return record;
}

void WriteNotice(const Notice& notice, GossipNotice::Builder out) {
  out.setKind(static_cast<std::uint8_t>(notice.kind));
  out.setSubject(notice.subject);
  out.setDetail(notice.detail);
  out.setValue(LowerPart(notice.value));
  out.setValueEra(UpperPart(notice.value));
  out.setStampMicros(notice.stamp_us);
  out.setLifetimeMillis(static_cast<std::uint32_t>(notice.lifetime.count()));
}

Notice ReadNotice(GossipNotice::Reader in) {
  return {static_cast<membership::NoticeKind>(in.getKind()),
          ReadText(in.getSubject()),
          ReadText(in.getDetail()),
          JoinParts(in.getValueEra(), in.getValue()),
          in.getStampMicros(),
          std::chrono::milliseconds(in.getLifetimeMillis())};
}

GossipMessage ReadMessage(GossipDatagram::Reader in) {
  GossipMessage message;
  message.sender = ReadRecord(in.getSender());
  message.known_members = in.getKnownMembers();
  for (const auto& notice : in.getNotices()) {
    message.notices.push_back(ReadNotice(notice));
  }
  const auto ages = in.getHeartbeatAges();
  for (const auto& digest : in.getHeartbeats()) {
    const std::size_t index = message.heartbeats.size();
    if (index >= ages.size()) {
      break;  // Ignore heartbeats without an age.
    }
    message.heartbeats.push_back({digest.getSlot(), digest.getGenerationTag(),
                                  digest.getHeartbeat(), ages[index] * kAgeUnit});
  }
  for (const auto& record : in.getRecords()) {
    message.records.push_back(ReadRecord(record));
  }
  return message;
}

}  // namespace

std::string EncodeGossip(const GossipMessage& message) {
  capnp::MallocMessageBuilder builder;
  auto root = builder.initRoot<GossipDatagram>();
  WriteRecord(message.sender, root.initSender());
  root.setKnownMembers(message.known_members);
  auto notices = root.initNotices(static_cast<unsigned>(message.notices.size()));
  for (unsigned i = 0; i < notices.size(); ++i) {
    WriteNotice(message.notices[i], notices[i]);
  }
  auto heartbeats = root.initHeartbeats(static_cast<unsigned>(message.heartbeats.size()));
  auto ages = root.initHeartbeatAges(static_cast<unsigned>(message.heartbeats.size()));
  for (unsigned i = 0; i < heartbeats.size(); ++i) {
    heartbeats[i].setSlot(message.heartbeats[i].slot);
    heartbeats[i].setGenerationTag(message.heartbeats[i].generation_tag);
    heartbeats[i].setHeartbeat(message.heartbeats[i].heartbeat);
    ages[i] = EncodeAge(message.heartbeats[i].age);
  }
  auto records = root.initRecords(static_cast<unsigned>(message.records.size()));
  for (unsigned i = 0; i < records.size(); ++i) {
    WriteRecord(message.records[i], records[i]);
  }
  const kj::Array<capnp::word> words = capnp::messageToFlatArray(builder);
  return {words.asChars().begin(), words.asChars().size()};
}

Result<GossipMessage> DecodeGossip(std::string_view bytes) {
  if (bytes.size() < sizeof(capnp::word)) {
    return Error{ErrorCode::kProtocol, "read gossip", "",
                 "message is shorter than one 8-byte word"};
  }
  // Copy, because the datagram's buffer may not have the alignment that Cap'n Proto requires.
  std::vector<capnp::word> words(bytes.size() / sizeof(capnp::word));
  std::memcpy(words.data(), bytes.data(), words.size() * sizeof(capnp::word));
  GossipMessage message;
  const auto failure = kj::runCatchingExceptions([&] {
    capnp::ReaderOptions options;
    options.traversalLimitInWords = kMaxTraversalWords;
    capnp::FlatArrayMessageReader reader(kj::arrayPtr(words.data(), words.size()), options);
    message = ReadMessage(reader.getRoot<GossipDatagram>());
  });
  KJ_IF_MAYBE (exception, failure) {
    return Error{ErrorCode::kProtocol, "read gossip", "", exception->getDescription().cStr()};
  }
  return message;
}

}  // namespace qh::gossip
