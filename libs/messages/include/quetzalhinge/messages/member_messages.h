#pragma once

#include <capnp/blob.h>

#include <string>

#include "processes.capnp.h"
#include "quetzalhinge/base/error.h"
#include "quetzalhinge/base/ip_endpoint.h"
#include "quetzalhinge/membership/member_record.h"
#include "quetzalhinge/membership/notice.h"

namespace qh::messages {

/** Returns a copy of a Cap'n Proto text. */
std::string ReadText(capnp::Text::Reader text);

void WriteEndpoint(const IpEndpoint& endpoint, rpc::wire::Endpoint::Builder message);
IpEndpoint ReadEndpoint(rpc::wire::Endpoint::Reader message);

void WriteMember(const membership::MemberRecord& record, rpc::wire::Member::Builder message);
membership::MemberRecord ReadMember(rpc::wire::Member::Reader message);

void WriteNotice(const membership::Notice& notice, rpc::wire::Notice::Builder message);

/** Reads a notice. Error: kInvalidArgument if its kind is unknown. */
Result<membership::Notice> ReadNotice(rpc::wire::Notice::Reader message);

}  // namespace qh::messages
