#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "quetzalhinge/base/error.h"
#include "quetzalhinge/base/time.h"

namespace qh::auth {

/** The content of a datagram that passed the authentication and replay checks. */
struct OpenedDatagram {
  std::string sender;
  /**
   * Time stamp by the sender's wall clock, increased where necessary so that each datagram of a
   * sender has a later stamp than the one before.
   */
  UnixMicros sent_us = 0;
  /** Time of receipt minus `sent_us`, at least 0. Includes the offset between the two clocks. */
  std::chrono::microseconds age{0};
  std::string payload;
};

/** Settings of a MessageAuthenticator. */
struct AuthenticatorOptions {
  /** Maximum difference between a stamp and the receiver's wall clock, in either direction. */
  std::chrono::milliseconds max_age{2000};
};

/**
 * Authenticates data with HMAC-SHA-256 and the deployment's secret key, and protects datagrams
 * against forgery and replay.
 *
 * A receiver accepts a datagram only if its stamp is later than that of the last datagram from the
 * same sender and within `max_age` of the receiver's wall clock. Datagrams that arrive out of order
 * are therefore rejected too; gossip tolerates this loss. VMs whose wall clocks differ by more than
 * `max_age` reject each other's datagrams.
 */
class MessageAuthenticator {
 public:
  static constexpr std::size_t kMacBytes = 32;
  static constexpr std::size_t kMinKeyBytes = 16;
  static constexpr std::size_t kMaxSenderBytes = 64;

  /**
   * @param keys at least one, each of at least kMinKeyBytes. The first one signs and all of them
   *     verify, so that a key can be rotated while messages with the old one are in transit.
   * Errors: kInvalidArgument if there is no key, or a key is too short.
   */
  static Result<MessageAuthenticator> Create(std::vector<std::string> keys,
                                             AuthenticatorOptions options = {});

  /**
   * Returns the HMAC of `data`, of kMacBytes bytes.
   * @param purpose domain separation: a MAC for one purpose never verifies for another
   */
  std::string Mac(std::string_view purpose, std::string_view data) const;

  /**
   * Returns whether `mac` is the HMAC of `data` or a prefix of it of at least 8 bytes. Compares in
   * constant time.
   */
  bool Verify(std::string_view purpose, std::string_view data, std::string_view mac) const;

  /**
   * Returns an authenticated datagram with `payload`, longer by OverheadBytes(sender.size()).
   * @param sender 1 to kMaxSenderBytes bytes; a longer name is truncated
   */
  std::string Seal(std::string_view sender, std::string_view payload, UnixMicros now_us);

  /**
   * Checks a datagram and returns its content. Errors: kProtocol (too short or unknown version),
   * kUnauthenticated (wrong MAC), kTimeout (stamp not within max_age), kConflict (stamp not later
   * than the last one from this sender: replayed or out of order).
   */
  Result<OpenedDatagram> Open(std::string_view datagram, UnixMicros now_us);

  /** Returns the number of bytes that Seal() adds. */
  static constexpr std::size_t OverheadBytes(std::size_t sender_bytes) noexcept {
    return kMacBytes + kHeaderBytes + sender_bytes;
  }

 private:
  /** Version (1), length of the sender name (1), stamp (8). */
  static constexpr std::size_t kHeaderBytes = 10;

  MessageAuthenticator(std::vector<std::string> keys, AuthenticatorOptions options);
  Result<OpenedDatagram> CheckReplay(OpenedDatagram datagram, UnixMicros now_us);
  void EvictOldSenders(UnixMicros now_us);

  std::vector<std::string> m_keys;
  AuthenticatorOptions m_options;
  UnixMicros m_last_stamp_us = 0;
  std::unordered_map<std::string, UnixMicros> m_last_received_us;
  std::size_t m_evict_at_size;
};

}  // namespace qh::auth
