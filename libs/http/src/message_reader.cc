#include "quetzalhinge/http/message_reader.h"

#include <http_parser.h>

#include <algorithm>
#include <cctype>
#include <utility>

#include "framing_check.h"
#include "head_syntax_check.h"
#include "line_end_check.h"
#include "quetzalhinge/base/enum_table.h"
#include "status_code_check.h"

namespace qh::http {
namespace {

constexpr EnumTable<ReadFault, 8> kFaultNames{{{
    {ReadFault::kMalformed, "malformed"},
    {ReadFault::kMalformedHead, "malformed_head"},
    {ReadFault::kMalformedChunk, "malformed_chunk"},
    {ReadFault::kAmbiguousFraming, "ambiguous_framing"},
    {ReadFault::kHeadTooLarge, "head_too_large"},
    {ReadFault::kBodyTooLarge, "body_too_large"},
    {ReadFault::kNoMemory, "no_memory"},
    {ReadFault::kCutShort, "cut_short"},
}}};

constexpr int kFirstFinalStatus = 200;

/**
 * Checks the framing fields more strictly than http_parser, which accepts a list of transfer
 * codings that ends with "chunked".
 */
bool HasUnambiguousFraming(const HttpHeaders& headers) {
  std::string lines = "\n";
  for (const HttpHeader& header : headers) {
    if (header.name == "content-length" || header.name == "transfer-encoding") {
      lines += header.name + ": " + header.value + "\n";
    }
  }
  return CheckFraming(lines) == Framing::kUnambiguous;
}

/** Maps an error of http_parser to the reason for rejecting the message. */
ReadFault FaultOf(http_errno error) {
  switch (error) {
    case HPE_HEADER_OVERFLOW:
      return ReadFault::kHeadTooLarge;
    case HPE_INVALID_CONTENT_LENGTH:
    case HPE_UNEXPECTED_CONTENT_LENGTH:
    case HPE_INVALID_TRANSFER_ENCODING:
      return ReadFault::kAmbiguousFraming;
    default:
      return ReadFault::kMalformed;
  }
}

}  // namespace

const char* ToString(ReadFault fault) noexcept { return kFaultNames.NameOf(fault); }

struct MessageReader::Impl {
  MessageKind kind;
  ReaderLimits limits;
  http_parser parser{};
  HeadSyntaxCheck head_syntax;
  LineEndCheck line_ends;
  StatusCodeCheck status_code;
  /** Start of the bytes that `line_ends` has not read. Valid within Parse(). */
  const char* unchecked = nullptr;
  HttpRequest request;
  HttpResponse response;
  /** The memory of the message that is being read, if any of it is reserved. */
  std::shared_ptr<MemoryReservation> memory;
  std::function<void()> on_revoked;
  std::size_t head_bytes = 0;
  /** Memory of the fields of the complete head. */
  std::size_t field_bytes = 0;
  bool is_response_to_head = false;
  bool reading_value = false;
  bool started = false;
  bool head_complete = false;
  bool complete = false;
  bool keeps_connection = false;
  std::optional<ReadFault> fault;

  Impl(MessageKind message_kind, const ReaderLimits& reader_limits) : kind(message_kind) {
    SetLimits(reader_limits);
    Restart();
  }
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  void SetLimits(const ReaderLimits& reader_limits) { limits = reader_limits; }

  /** Reserves `bytes` for the message. Returns false if there is no memory for it. */
  bool Reserve(std::size_t bytes) {
    if (limits.memory_budget == nullptr) {
      return true;
    }
    if (memory == nullptr) {
      memory =
          std::make_shared<MemoryReservation>(limits.memory_budget, kind, [this] { Revoke(); });
    }
    return memory->Resize(bytes);
  }

  ReadFault NoMemoryFault() const {
    if (kind == MessageKind::kRequest) {
      return ReadFault::kNoMemory;
    }
    return head_complete ? ReadFault::kBodyTooLarge : ReadFault::kHeadTooLarge;
  }

  /** Rejects the message, whose bytes are needed for others. */
  void Revoke() {
    Reject(NoMemoryFault());
    if (on_revoked != nullptr) {
      on_revoked();
    }
  }

  /** Rejects the message and frees its memory. */
  void Reject(ReadFault reason) {
    fault = reason;
    complete = false;
    FreeMessage();
  }

  void FreeMessage() {
    // Moved out, because assigning an empty string keeps the memory of the old one.
    const HttpRequest freed_request = std::exchange(request, {});
    const HttpResponse freed_response = std::exchange(response, {});
    memory.reset();
  }

  /** Returns the memory of the path and the fields that have been read. */
  std::size_t FieldMemory() {
    std::size_t bytes = request.path.size();
    for (const HttpHeader& header : Headers()) {
      bytes += sizeof(header) + header.name.size() + header.value.size();
    }
    return bytes;
  }

  void Restart() {
    http_parser_init(&parser, kind == MessageKind::kRequest ? HTTP_REQUEST : HTTP_RESPONSE);
    parser.data = this;
    RestartChecks();
    FreeMessage();
    head_bytes = 0;
    field_bytes = 0;
    reading_value = false;
    started = false;
    head_complete = false;
    complete = false;
    keeps_connection = false;
    fault.reset();
  }

  void RestartChecks() {
    head_syntax.Restart();
    line_ends.Restart();
    status_code.Restart();
  }

  /** Checks the bytes up to `end` that no check of line ends has read; they are not body data. */
  void CheckLineEndsUpTo(const char* end) {
    line_ends.Read({unchecked, static_cast<std::size_t>(end - unchecked)});
    unchecked = end;
  }

  HttpHeaders& Headers() {
    return kind == MessageKind::kRequest ? request.headers : response.headers;
  }
  Body& MessageBody() { return kind == MessageKind::kRequest ? request.body : response.body; }

  static Impl& From(http_parser* parser) { return *static_cast<Impl*>(parser->data); }

  int Refuse(ReadFault reason) {
    fault = reason;
    return 1;
  }

  static int OnUrl(http_parser* parser, const char* text, std::size_t size) {
    From(parser).request.path.append(text, size);
    return 0;
  }

  static int OnHeaderField(http_parser* parser, const char* text, std::size_t size) {
    Impl& impl = From(parser);
    if (impl.head_complete) {
      // Trailer fields after a chunked body are discarded.
      return 0;
    }
    HttpHeaders& headers = impl.Headers();
    if (headers.empty() || impl.reading_value) {
      if (headers.size() >= impl.limits.max_head_fields) {
        return impl.Refuse(ReadFault::kHeadTooLarge);
      }
      headers.emplace_back();
      impl.reading_value = false;
    }
    for (std::size_t i = 0; i < size; ++i) {
      headers.back().name += static_cast<char>(std::tolower(static_cast<unsigned char>(text[i])));
    }
    return 0;
  }

  static int OnHeaderValue(http_parser* parser, const char* text, std::size_t size) {
    Impl& impl = From(parser);
    if (!impl.head_complete) {
      impl.reading_value = true;
      impl.Headers().back().value.append(text, size);
    }
    return 0;
  }

  /** Returns 1 if no body follows, as http_parser requires, and -1 if the message is rejected. */
  static int OnHeadComplete(http_parser* parser) {
    Impl& impl = From(parser);
    impl.head_complete = true;
    impl.field_bytes = impl.FieldMemory();
    impl.response.status = parser->status_code;
    if (impl.kind == MessageKind::kRequest) {
      impl.request.method = http_method_str(static_cast<http_method>(parser->method));
      if (parser->upgrade != 0) {
        // Protocol upgrades and tunnels are not supported; the request is handled like any other.
        parser->upgrade = 0;
      }
    }
    if (impl.kind == MessageKind::kRequest && !HasUnambiguousFraming(impl.request.headers)) {
      impl.fault = ReadFault::kAmbiguousFraming;
      return -1;
    }
    if (impl.kind == MessageKind::kResponse &&
        (!impl.status_code.HasThreeDigits() || !IsValidStatus(impl.response.status))) {
      impl.fault = ReadFault::kMalformed;
      return -1;
    }
    const bool has_length = (parser->flags & F_CONTENTLENGTH) != 0;
    if (has_length && parser->content_length > impl.limits.max_body_bytes) {
      impl.fault = ReadFault::kBodyTooLarge;
      return -1;
    }
    if (has_length) {
      impl.MessageBody().SetMaxSize(parser->content_length);
    }
    return impl.is_response_to_head ? 1 : 0;
  }

  static int OnBody(http_parser* parser, const char* bytes, std::size_t size) {
    Impl& impl = From(parser);
    impl.CheckLineEndsUpTo(bytes);
    impl.line_ends.OnBodyData();
    impl.unchecked = bytes + size;
    Body& body = impl.MessageBody();
    const std::size_t body_bytes = body.size() + size;
    if (body_bytes > impl.limits.max_body_bytes) {
      impl.Reject(ReadFault::kBodyTooLarge);
      return 1;
    }
    const std::size_t capacity = body.CapacityFor(body_bytes);
    if (capacity > body.capacity() && !impl.Reserve(impl.field_bytes + capacity)) {
      impl.Reject(impl.NoMemoryFault());
      return 1;
    }
    body.Append({bytes, size});
    return 0;
  }

  /** Pauses the parser, so that Parse() returns at the end of the message. */
  static int OnMessageComplete(http_parser* parser) {
    Impl& impl = From(parser);
    http_parser_pause(parser, 1);
    if (impl.kind == MessageKind::kResponse && impl.response.status < kFirstFinalStatus) {
      impl.RestartChecks();
      impl.FreeMessage();
      impl.head_complete = false;
      impl.reading_value = false;
      return 0;
    }
    impl.complete = impl.KeepMemoryWithBody();
    impl.keeps_connection = http_should_keep_alive(parser) != 0;
    return 0;
  }

  /** Hands the memory of the complete message over to its body. Returns false if there is none. */
  bool KeepMemoryWithBody() {
    if (limits.memory_budget == nullptr) {
      return true;
    }
    if (!Reserve(field_bytes + MessageBody().capacity())) {
      Reject(NoMemoryFault());
      return false;
    }
    memory->Complete();
    MessageBody().Keep(std::move(memory));
    return true;
  }

  /**
   * Parses up to the end of the current message, which may be an interim response, and returns the
   * number of consumed bytes.
   */
  std::size_t Parse(std::string_view bytes) {
    // The parser reads up to the malformed byte, so that the fault does not depend on how the
    // message is split into packets.
    const std::string_view parsed = bytes.substr(0, head_syntax.Read(bytes));
    status_code.Read(parsed);
    unchecked = parsed.data();
    const std::size_t used =
        parsed.empty() ? 0
                       : http_parser_execute(&parser, &Settings(), parsed.data(), parsed.size());
    const http_errno error = HTTP_PARSER_ERRNO(&parser);
    if (error == HPE_PAUSED) {
      http_parser_pause(&parser, 0);
    }
    if (!head_complete) {
      head_bytes += used;
      const std::size_t memory_bytes = head_bytes + Headers().size() * sizeof(HttpHeader);
      if (!fault.has_value() && (head_bytes > limits.max_head_bytes || !Reserve(memory_bytes))) {
        Reject(head_bytes > limits.max_head_bytes ? ReadFault::kHeadTooLarge : NoMemoryFault());
      }
    }
    if (error != HPE_OK && error != HPE_PAUSED && !fault.has_value()) {
      fault = FaultOf(error);
    }
    if (head_complete) {
      CheckLineEndsUpTo(parsed.data() + used);
    }
    if (!line_ends.IsValid()) {
      // Replaces a fault that the parser has found after the malformed end.
      Reject(ReadFault::kMalformedChunk);
    } else if (!head_syntax.IsValid() && !fault.has_value()) {
      Reject(ReadFault::kMalformedHead);
    }
    if (fault.has_value()) {
      complete = false;
    }
    return used;
  }

  static const http_parser_settings& Settings() {
    static const http_parser_settings settings = [] {
      http_parser_settings callbacks;
      http_parser_settings_init(&callbacks);
      callbacks.on_url = OnUrl;
      callbacks.on_header_field = OnHeaderField;
      callbacks.on_header_value = OnHeaderValue;
      callbacks.on_headers_complete = OnHeadComplete;
      callbacks.on_body = OnBody;
      callbacks.on_message_complete = OnMessageComplete;
      return callbacks;
    }();
    return settings;
  }
};

MessageReader::MessageReader(MessageKind kind, const ReaderLimits& limits)
    : m_impl(std::make_unique<Impl>(kind, limits)) {}
MessageReader::~MessageReader() = default;

std::size_t MessageReader::Read(std::string_view bytes) {
  std::size_t used = 0;
  while (used < bytes.size() && !m_impl->complete && !m_impl->fault.has_value()) {
    m_impl->started = true;
    used += m_impl->Parse(bytes.substr(used));
  }
  return used;
}

void MessageReader::ReadEnd() {
  if (m_impl->complete || m_impl->fault.has_value()) {
    return;
  }
  if (m_impl->started) {
    http_parser_execute(&m_impl->parser, &Impl::Settings(), nullptr, 0);
    m_impl->response.ends_with_connection = m_impl->complete;
  }
  if (!m_impl->complete) {
    m_impl->fault = ReadFault::kCutShort;
  }
  m_impl->keeps_connection = false;
}

void MessageReader::Restart(bool is_response_to_head) {
  m_impl->is_response_to_head = is_response_to_head;
  m_impl->Restart();
}

void MessageReader::SetLimits(const ReaderLimits& limits) { m_impl->SetLimits(limits); }
void MessageReader::OnRevoked(std::function<void()> callback) {
  m_impl->on_revoked = std::move(callback);
}
bool MessageReader::IsStarted() const noexcept { return m_impl->started; }
bool MessageReader::IsHeadComplete() const noexcept { return m_impl->head_complete; }
bool MessageReader::IsComplete() const noexcept { return m_impl->complete; }
std::optional<ReadFault> MessageReader::Fault() const noexcept { return m_impl->fault; }
bool MessageReader::KeepsConnection() const noexcept { return m_impl->keeps_connection; }
HttpRequest& MessageReader::Request() noexcept { return m_impl->request; }
HttpResponse& MessageReader::Response() noexcept { return m_impl->response; }

}  // namespace qh::http
