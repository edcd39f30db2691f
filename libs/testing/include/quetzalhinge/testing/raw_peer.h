#pragma once

#include <string>

#include "quetzalhinge/base/ip_endpoint.h"

namespace qh::test {

/**
 * A TCP server for one connection whose end the test controls. Its functions block for a short time
 * and throw std::runtime_error on failure, so a test calls them between two runs of its event loop.
 */
class RawPeer {
 public:
  /** Starts listening on a free port of 127.0.0.1. */
  RawPeer();
  ~RawPeer();
  RawPeer(const RawPeer&) = delete;
  RawPeer& operator=(const RawPeer&) = delete;

  IpEndpoint Endpoint() const;

  /** Accepts the connection that a client has established or is establishing. */
  void Accept();

  /** Returns whether bytes have been received. They stay unread. */
  bool HasReceived() const;

  void Send(const std::string& bytes);

  /** Closes the sending side (FIN). */
  void FinishSending();

  /** Closes the connection with a reset (RST), also if all received bytes were read. */
  void Reset();

  /** Closes the connection. The kernel sends a reset, and no FIN, if received bytes are unread. */
  void Close();

 private:
  int m_listener = -1;
  int m_connection = -1;
};

}  // namespace qh::test
