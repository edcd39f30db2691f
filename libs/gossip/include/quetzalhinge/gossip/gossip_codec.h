#pragma once

#include <string>
#include <string_view>

#include "quetzalhinge/base/error.h"
#include "quetzalhinge/membership/gossip_message.h"

namespace qh::gossip {

/** Returns the message in Cap'n Proto, at most membership::EncodedBytes(message) bytes. */
std::string EncodeGossip(const membership::GossipMessage& message);

/** Parses what EncodeGossip() returned; kProtocol on another form. */
Result<membership::GossipMessage> DecodeGossip(std::string_view bytes);

}  // namespace qh::gossip
