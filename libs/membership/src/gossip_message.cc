#include "quetzalhinge/membership/gossip_message.h"

#include <string>

namespace qh::membership {
namespace {

constexpr std::size_t kWordBytes = 8;
/** Numbers (8 words) and pointers to 3 strings. */
constexpr std::size_t kRecordFixedBytes = 11 * kWordBytes;
/** Numbers (3 words) and pointers to 2 strings. */
constexpr std::size_t kNoticeFixedBytes = 5 * kWordBytes;
/** A struct of one word and one byte in the list of ages. */
constexpr std::size_t kDigestBytes = kWordBytes + 1;
/**
 * Segment table, root pointer, one data word, 5 pointers, 3 tags of composite lists and the padding
 * of the list of ages.
 */
constexpr std::size_t kMessageFixedBytes = 12 * kWordBytes;

std::size_t TextBytes(const std::string& text) noexcept {
  const std::size_t with_terminator = text.size() + 1;
  return (with_terminator + kWordBytes - 1) / kWordBytes * kWordBytes;
}

}  // namespace

std::size_t EncodedBytes(const MemberRecord& record) noexcept {
  return kRecordFixedBytes + TextBytes(record.vm) + TextBytes(record.zone) +
         TextBytes(record.entry_incarnation);
}

std::size_t EncodedBytes(const Notice& notice) noexcept {
  return kNoticeFixedBytes + TextBytes(notice.subject) + TextBytes(notice.detail);
}

std::size_t EncodedBytes(const HeartbeatDigest& /*digest*/) noexcept { return kDigestBytes; }

std::size_t EncodedBytes(const GossipMessage& message) noexcept {
  std::size_t bytes = kMessageFixedBytes + EncodedBytes(message.sender);
  for (const Notice& notice : message.notices) {
    bytes += EncodedBytes(notice);
  }
  for (const HeartbeatDigest& digest : message.heartbeats) {
    bytes += EncodedBytes(digest);
  }
  for (const MemberRecord& record : message.records) {
    bytes += EncodedBytes(record);
  }
  return bytes;
}

}  // namespace qh::membership
