#include "quetzalhinge/messages/member_messages.h"

#include <array>
#include <charconv>

#include "quetzalhinge/base/random_id.h"

namespace qh::messages {
namespace {

using membership::MemberState;

struct StatePair {
  MemberState state;
  rpc::wire::MemberState message;
};

constexpr std::array<StatePair, 4> kStates{{
    {MemberState::kStarting, rpc::wire::MemberState::STARTING},
    {MemberState::kLive, rpc::wire::MemberState::LIVE},
    {MemberState::kLeaving, rpc::wire::MemberState::LEAVING},
    {MemberState::kGone, rpc::wire::MemberState::GONE},
}};

/** Converts the incarnation of an entry process from hexadecimal text to the number on the wire. */
std::uint64_t IncarnationNumber(const std::string& text) {
  std::uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number, 16);
  return number;
}

std::string IncarnationText(std::uint64_t number) { return number == 0 ? "" : ToHex(number); }

}  // namespace

std::string ReadText(capnp::Text::Reader text) { return {text.cStr(), text.size()}; }

void WriteEndpoint(const IpEndpoint& endpoint, rpc::wire::Endpoint::Builder message) {
  message.setIp(endpoint.ip);
  message.setPort(endpoint.port);
}

IpEndpoint ReadEndpoint(rpc::wire::Endpoint::Reader message) {
  return {ReadText(message.getIp()), message.getPort()};
}

void WriteMember(const membership::MemberRecord& record, rpc::wire::Member::Builder message) {
  message.setName(record.vm);
  message.setZone(record.zone);
  message.setSlot(record.slot);
  for (const StatePair& pair : kStates) {
    if (pair.state == record.state) {
      message.setState(pair.message);
    }
  }
  message.setIncarnation(record.generation);
  message.setHeartbeat(record.heartbeat);
  message.setRevision(record.revision);
  message.setEntryIncarnation(IncarnationNumber(record.entry_incarnation));
  WriteEndpoint(record.endpoints.calls, message.initCallers());
  WriteEndpoint(record.endpoints.entry_rpc, message.initEntryRpc());
  WriteEndpoint(record.endpoints.control_rpc, message.initControlRpc());
  WriteEndpoint(record.endpoints.gossip, message.initGossip());
  WriteEndpoint(record.endpoints.operators, message.initOperators());
}

membership::MemberRecord ReadMember(rpc::wire::Member::Reader message) {
  membership::MemberRecord record;
  record.vm = ReadText(message.getName());
  record.zone = ReadText(message.getZone());
  record.slot = static_cast<std::uint16_t>(message.getSlot());
  for (const StatePair& pair : kStates) {
    if (pair.message == message.getState()) {
      record.state = pair.state;
    }
  }
  record.generation = message.getIncarnation();
  record.heartbeat = static_cast<std::uint32_t>(message.getHeartbeat());
  record.revision = message.getRevision();
  record.entry_incarnation = IncarnationText(message.getEntryIncarnation());
  record.endpoints.calls = ReadEndpoint(message.getCallers());
  record.endpoints.entry_rpc = ReadEndpoint(message.getEntryRpc());
  record.endpoints.control_rpc = ReadEndpoint(message.getControlRpc());
  record.endpoints.gossip = ReadEndpoint(message.getGossip());
  record.endpoints.operators = ReadEndpoint(message.getOperators());
  return record;
}

void WriteNotice(const membership::Notice& notice, rpc::wire::Notice::Builder message) {
  message.setKind(static_cast<std::uint8_t>(notice.kind));
  message.setSubject(notice.subject);
  message.setDetail(notice.detail);
  message.setValue(notice.value);
  message.setStampMicros(notice.stamp_us);
  message.setLifetimeMillis(static_cast<std::uint32_t>(notice.lifetime.count()));
}

Result<membership::Notice> ReadNotice(rpc::wire::Notice::Reader message) {
  const auto kind = static_cast<membership::NoticeKind>(message.getKind());
  bool known = false;
  for (const auto& row : membership::kNoticeKindNames.rows) {
    known = known || row.value == kind;
  }
  if (!known) {
    return Error{ErrorCode::kInvalidArgument, "read notice", "",
                 "unknown notice kind " + std::to_string(message.getKind())};
  }
  return membership::Notice{kind,
                            ReadText(message.getSubject()),
                            ReadText(message.getDetail()),
                            message.getValue(),
                            message.getStampMicros(),
                            std::chrono::milliseconds(message.getLifetimeMillis())};
}

}  // namespace qh::messages
