#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace qh::test {

/** Returns a listening socket; throws std::runtime_error if the address cannot be taken. */
int ListenRaw(const std::string& ip, std::uint16_t port);

/** Returns a connected socket; throws std::runtime_error if the connection is refused. */
int ConnectRaw(const std::string& ip, std::uint16_t port);

/** Writes all bytes; returns whether that succeeded. */
bool WriteAll(int socket, const std::string& bytes);

/** Appends what arrives next to `buffer`; returns false at the end of the stream. */
bool ReadSome(int socket, std::string& buffer);

/** Reads until the peer closes or nothing has come for `limit`; returns what came. */
std::string ReadUntilClosed(int socket, std::chrono::milliseconds limit);

/** Returns the value of a field (lower-case name) in the text of a head; empty if absent. */
std::string RawField(const std::string& head, const std::string& name);

}  // namespace qh::test
