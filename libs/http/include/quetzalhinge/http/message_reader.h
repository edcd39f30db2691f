#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>

#include "quetzalhinge/http/http_message.h"
#include "quetzalhinge/http/memory_budget.h"

namespace qh::http {

/** Why a message is rejected. */
enum class ReadFault {
  kMalformed,
  /** A line of the head is malformed: a name that is no token, a folded line, CR without LF. */
  kMalformedHead,
  /** A line or the data of a chunk has a malformed end. */
  kMalformedChunk,
  /** The head gives the length of the body in two ways, or in an unsupported one. */
  kAmbiguousFraming,
  /** The head has too many bytes or too many fields. */
  kHeadTooLarge,
  kBodyTooLarge,
  /**
   * There is no memory for the request now. A response that is rejected for this reason counts as
   * too large.
   */
  kNoMemory,
  /** The connection closed before the message was complete. */
  kCutShort,
};

/** Returns the stable name of `fault`. */
const char* ToString(ReadFault fault) noexcept;

/** Sizes above which a message is rejected. */
struct ReaderLimits {
  /** Includes the heads of interim (1xx) responses. */
  std::size_t max_head_bytes = 16 * 1024;
  std::size_t max_head_fields = 128;
  std::size_t max_body_bytes = 64 * 1024 * 1024;
  /**
   * Limits the messages of several readers together, from the first byte of a message to the end of
   * the last copy of its body; null without such a limit.
   */
  std::shared_ptr<MemoryBudget> memory_budget;
};

/**
 * Incremental parser for the HTTP/1.1 messages of one connection, one message at a time. It does
 * not consume bytes after the end of a message; the caller decides whether they are allowed.
 */
class MessageReader {
 public:
  MessageReader(MessageKind kind, const ReaderLimits& limits);
  ~MessageReader();
  MessageReader(const MessageReader&) = delete;
  MessageReader& operator=(const MessageReader&) = delete;

  /**
   * Sets the callback for when the current message is rejected because the memory budget needs its
   * bytes for others. It runs while another reader reads.
   */
  void OnRevoked(std::function<void()> callback);

  /** Parses up to the end of the current message and returns the number of consumed bytes. */
  std::size_t Read(std::string_view bytes);

  /** Signals the end of the connection, which completes a response whose body has no length. */
  void ReadEnd();

  /**
   * Prepares for the next message.
   * @param is_response_to_head whether the message answers a HEAD request and thus has no body
   */
  void Restart(bool is_response_to_head = false);

  /** Replaces the limits. To be called between two messages. */
  void SetLimits(const ReaderLimits& limits);

  /** Returns whether any byte of the current message has been read. */
  bool IsStarted() const noexcept;

  /** Returns whether the head of the current message has been read. */
  bool IsHeadComplete() const noexcept;

  /** Returns whether the current message has been read completely. */
  bool IsComplete() const noexcept;

  /** Returns why the message was rejected, or nullopt. */
  std::optional<ReadFault> Fault() const noexcept;

  /** Returns whether the connection can be reused after the complete message. */
  bool KeepsConnection() const noexcept;

  /** Returns the request. Valid once IsHeadComplete(). */
  HttpRequest& Request() noexcept;

  /** Returns the response. Valid once IsHeadComplete(). Interim (1xx) responses are skipped. */
  HttpResponse& Response() noexcept;

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace qh::http
