#pragma once

#include <cstddef>
#include <memory>
#include <optional>
#include <string_view>

#include "quetzalhinge/http/http_message.h"

namespace qh::http {

/** What a MessageReader reads. */
enum class MessageKind { kRequest, kResponse };

/** Why a message cannot be read. */
enum class ReadFault {
  kMalformed,
  /** The head describes the body's length in two ways, or in one that cannot be trusted. */
  kAmbiguousFraming,
  /** Too many bytes, or too many fields. */
  kHeadTooLarge,
  kBodyTooLarge,
  /** The connection ended before the message did. */
  kCutShort,
};

/** Returns the stable name of `fault`. */
const char* ToString(ReadFault fault) noexcept;

/** Sizes beyond which a message is refused. */
struct ReaderLimits {
  std::size_t max_head_bytes = 16 * 1024;
  std::size_t max_head_fields = 128;
  std::size_t max_body_bytes = 64 * 1024 * 1024;
};

/**
 * Reads HTTP/1.1 messages from the bytes of one connection, one at a time. Bytes after the end of a
 * message are left to the caller, who decides whether anything may follow.
 */
class MessageReader {
 public:
  MessageReader(MessageKind kind, const ReaderLimits& limits);
  ~MessageReader();
  MessageReader(const MessageReader&) = delete;
  MessageReader& operator=(const MessageReader&) = delete;

  /** Reads up to the end of the current message and returns how many bytes that took. */
  std::size_t Read(std::string_view bytes);

  /** Tells that the connection ended; completes a response whose body has no length. */
  void ReadEnd();

  /** Prepares for the next message. `is_response_to_head`: its response has no body. */
  void Restart(bool is_response_to_head = false);

  /** Applies other limits from the next message on. */
  void SetLimits(const ReaderLimits& limits);

  /** Returns whether a byte of the current message has been read. */
  bool IsStarted() const noexcept;

  /** Returns whether the head of the current message has been read. */
  bool IsHeadComplete() const noexcept;

  /** Returns whether the current message has been read completely. */
  bool IsComplete() const noexcept;

  /** Returns why the message cannot be read, or nothing. */
  std::optional<ReadFault> Fault() const noexcept;

  /** Returns whether the connection may carry another message after this one. */
  bool KeepsConnection() const noexcept;

  /** Returns the request whose head is complete. */
  HttpRequest& Request() noexcept;

  /** Returns the response whose head is complete. Interim (1xx) responses are skipped. */
  HttpResponse& Response() noexcept;

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace qh::http
