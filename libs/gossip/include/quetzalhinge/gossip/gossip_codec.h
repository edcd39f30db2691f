#pragma once

#include <string>
#include <string_view>

#include "quetzalhinge/base/error.h"
#include "quetzalhinge/membership/gossip_message.h"

namespace qh::gossip {

/** Encodes a message in Cap'n Proto, in at most membership::EncodedBytes(message) bytes. */
std::string EncodeGossip(const membership::GossipMessage& message);

/** Decodes a message from EncodeGossip(). Error: kProtocol if the bytes are malformed. */
Result<membership::GossipMessage> DecodeGossip(std::string_view bytes);

}  // namespace qh::gossip
