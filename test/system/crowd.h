#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "quetzalhinge/base/ip_endpoint.h"
#include "quetzalhinge/net/event_loop.h"

namespace qh::test {

/** What one client of a crowd sends: the head, the block any number of times, then the tail. */
struct CrowdMessage {
  std::string head;
  std::string block;
  std::uint64_t blocks = 0;
  std::string tail;
  /** Number of blocks in one write. */
  std::uint64_t blocks_per_write = 1;
};

/**
 * Clients that send as fast as the server reads, and then keep their connections open. A client
 * whose connection the server closes does not return.
 */
class Crowd {
 public:
  /** Returns the message of the client `number`, from 0. */
  using MessageOf = std::function<CrowdMessage(int number)>;

  /** @param reads_responses whether the clients read what the server sends */
  Crowd(net::EventLoop& loop, const IpEndpoint& server, int clients, const MessageOf& message_of,
        bool reads_responses = true);
  ~Crowd();
  Crowd(const Crowd&) = delete;
  Crowd& operator=(const Crowd&) = delete;

  /**
   * Returns whether each client has sent its message or lost its connection, or none of them has
   * made progress for some time.
   */
  bool HasSettled() const;

  /** Returns the number of clients whose connections are open. */
  int OpenClients() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

/** Returns the message of a client that stops one byte before the end of a body with a length. */
CrowdMessage UnfinishedBody(const std::string& head_without_length, std::size_t body_bytes,
                            std::size_t bytes_per_write);

/** Returns the message of a client that sends chunks but not the last, empty one. */
CrowdMessage UnfinishedChunks(const std::string& head_without_length, std::size_t body_bytes,
                              std::size_t chunk_bytes);

}  // namespace qh::test
