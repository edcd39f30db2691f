#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <vector>

#include "quetzalhinge/http/message_reader.h"

namespace qh::http {

namespace {

/** Passes `bytes` one at a time up to the end of the message; returns the number consumed. */
std::size_t ReadByteByByte(MessageReader& reader, const std::string& bytes) {
  std::size_t used = 0;
  while (used < bytes.size() && !reader.IsComplete() && !reader.Fault().has_value()) {
    used += reader.Read(bytes.substr(used, 1));
  }
  return used;
}

}  // namespace

SCENARIO("A reader parses one message of a connection at a time") {
  GIVEN("requests") {
    MessageReader reader(MessageKind::kRequest, {});
    const std::string first = "POST /a?b=c HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc";
    THEN("bytes after a message are not consumed") {
      CHECK(reader.Read(first + "GET /next") == first.size());
      REQUIRE(reader.IsComplete());
      CHECK(reader.Request().method == "POST");
      CHECK(reader.Request().path == "/a?b=c");
      CHECK(reader.Request().body == "abc");
      CHECK(FindHeader(reader.Request().headers, "host") == "x");
      CHECK(reader.KeepsConnection());
    }
    THEN("a message received byte by byte is the same") {
      CHECK(ReadByteByByte(reader, first) == first.size());
      REQUIRE(reader.IsComplete());
      CHECK(reader.Request().body == "abc");
    }
    THEN("chunks are joined and trailer fields are discarded") {
      reader.Read(
          "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
          "2\r\nab\r\n1\r\nc\r\n0\r\nX-Trailer: y\r\n\r\n");
      REQUIRE(reader.IsComplete());
      CHECK(reader.Request().body == "abc");
      CHECK_FALSE(FindHeader(reader.Request().headers, "x-trailer").has_value());
    }
    THEN("content-length with transfer-encoding is rejected") {
      reader.Read(
          "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n"
          "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
      CHECK(reader.Fault() == ReadFault::kAmbiguousFraming);
    }
    THEN("two different lengths are rejected") {
      reader.Read(
          "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabc");
      CHECK(reader.Fault() == ReadFault::kAmbiguousFraming);
    }
    THEN("a list of transfer codings is rejected although it ends with chunked") {
      reader.Read("POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n");
      CHECK(reader.Fault() == ReadFault::kAmbiguousFraming);
    }
    THEN("a connection that closes within the message is a fault") {
      reader.Read("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nab");
      reader.ReadEnd();
      CHECK(reader.Fault() == ReadFault::kCutShort);
    }
  }
  GIVEN("small limits") {
    MessageReader reader(MessageKind::kRequest, {64, 2, 4});
    THEN("a head above the size limit is rejected") {
      ReadByteByByte(reader, "GET / HTTP/1.1\r\nHost: " + std::string(100, 'x') + "\r\n\r\n");
      CHECK(reader.Fault() == ReadFault::kHeadTooLarge);
    }
    THEN("too many fields are rejected") {
      reader.Read("GET / HTTP/1.1\r\na: 1\r\nb: 2\r\nc: 3\r\n\r\n");
      CHECK(reader.Fault() == ReadFault::kHeadTooLarge);
    }
    THEN("a content-length above the limit is rejected before the body arrives") {
      reader.Read("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\n");
      CHECK(reader.Fault() == ReadFault::kBodyTooLarge);
    }
    THEN("a chunked body above the limit is rejected") {
      reader.Read("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n");
      CHECK(reader.Fault() == ReadFault::kBodyTooLarge);
    }
  }
  GIVEN("responses") {
    MessageReader reader(MessageKind::kResponse, {});
    THEN("an interim response is skipped") {
      reader.Read("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n");
      REQUIRE(reader.IsComplete());
      CHECK(reader.Response().status == 204);
    }
    THEN("a response without a length is complete when the connection closes, and is marked") {
      reader.Read("HTTP/1.1 200 OK\r\n\r\nabc");
      CHECK_FALSE(reader.IsComplete());
      reader.ReadEnd();
      REQUIRE(reader.IsComplete());
      CHECK(reader.Response().body == "abc");
      CHECK(reader.Response().ends_with_connection);
      CHECK_FALSE(reader.KeepsConnection());
    }
    THEN("a response that is truncated between two chunks is not complete") {
      reader.Read("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n");
      reader.ReadEnd();
      CHECK(reader.Fault() == ReadFault::kCutShort);
    }
    THEN("the response to a HEAD request has no body") {
      reader.Restart(true);
      reader.Read("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n");
      CHECK(reader.IsComplete());
    }
    THEN("bytes that are not an HTTP response are rejected") {
      reader.Read("garbage garbage\r\n\r\n");
      CHECK(reader.Fault() == ReadFault::kMalformed);
    }
  }
}

// Guards against a caller that waits until its deadline, or gets another response, because a status
// such as 000 was taken for an interim response.
SCENARIO("A reader rejects a response without a valid status code") {
  const std::string fields = "content-length: 2\r\n\r\nok";
  const auto status_line = [](const std::string& status) {
    return "HTTP/1.1 " + status + " text\r\n";
  };
  for (const std::string status : {"000", "0", "20", "99", "099", "101", "600", "999", "00200",
                                   "0200", "1000", "2000", "", "-20", "2x0"}) {
    CAPTURE(status);
    const std::string response = status_line(status) + fields;
    MessageReader at_once(MessageKind::kResponse, {});
    at_once.Read(response + status_line("200") + fields);
    CHECK(at_once.Fault() == ReadFault::kMalformed);
    MessageReader byte_by_byte(MessageKind::kResponse, {});
    ReadByteByByte(byte_by_byte, response);
    CHECK(byte_by_byte.Fault() == ReadFault::kMalformed);
    MessageReader after_interim(MessageKind::kResponse, {});
    after_interim.Read(status_line("103") + "\r\n" + response);
    CHECK(after_interim.Fault() == ReadFault::kMalformed);
  }
  for (const std::string status : {"200", "299", "404", "503", "599"}) {
    CAPTURE(status);
    const std::string interim = status_line("100") + "\r\n" + status_line("103") + "\r\n";
    MessageReader at_once(MessageKind::kResponse, {});
    at_once.Read(interim + status_line(status) + fields);
    REQUIRE(at_once.IsComplete());
    CHECK(at_once.Response().status == std::stoi(status));
    MessageReader byte_by_byte(MessageKind::kResponse, {});
    ReadByteByByte(byte_by_byte, interim + status_line(status) + fields);
    REQUIRE(byte_by_byte.IsComplete());
    CHECK(byte_by_byte.Response().status == std::stoi(status));
  }
}

// Guards against a caller that gets a response with a malformed line, or with a body that the
// worker did not send, because http_parser accepts blanks in the names of fields and any byte after
// CR.
SCENARIO("A reader rejects a head with a malformed line") {
  using namespace std::string_literals;
  const auto kind = GENERATE(MessageKind::kResponse, MessageKind::kRequest);
  const std::string first_line =
      kind == MessageKind::kResponse ? "HTTP/1.1 200 OK\r\n" : "POST / HTTP/1.1\r\n";
  const auto check_rejected = [&](const std::string& message) {
    CAPTURE(message);
    MessageReader at_once(kind, {});
    at_once.Read(message);
    CHECK(at_once.Fault() == ReadFault::kMalformedHead);
    MessageReader byte_by_byte(kind, {});
    ReadByteByByte(byte_by_byte, message);
    CHECK(byte_by_byte.Fault() == ReadFault::kMalformedHead);
  };

  GIVEN("a name that is not a token") {
    for (const std::string& name : {"x bad"s,
                                    "x-bad "s,
                                    " x-bad"s,
                                    "x\tbad"s,
                                    "x-bad\t"s,
                                    "\tx-bad"s,
                                    "x\rbad"s,
                                    "x-bad\r"s,
                                    "\rx-bad"s,
                                    "x\nbad"s,
                                    "x\0bad"s,
                                    "\0"s,
                                    "x\001bad"s,
                                    "x\177bad"s,
                                    "x(bad"s,
                                    "x/bad"s,
                                    "x\200bad"s,
                                    ""s,
                                    "content-length "s,
                                    " content-length"s,
                                    "\rcontent-length"s,
                                    "content-length\t"s,
                                    "transfer-encoding "s,
                                    "content length"s}) {
      const std::string line = name + ": 1\r\n";
      const std::string length = "content-length: 2\r\n";
      check_rejected(first_line + line + length + "\r\nok");
      check_rejected(first_line + length + line + "\r\nok");
      check_rejected(first_line + "x-other: y\r\n" + line + "\r\nok");
    }
  }
  GIVEN("a line without a colon") {
    check_rejected(first_line + "x-bad\r\ncontent-length: 2\r\n\r\nok");
  }
  GIVEN("a CR that does not end a line") {
    for (const std::string line : {"x:\rycontent-length: 1\r\n", "x: y\rcontent-length: 1\r\n",
                                   "x: y\r\r\n", "\rx", "\r\r\n"}) {
      check_rejected(first_line + line + "content-length: 2\r\n\r\nok");
    }
    check_rejected(first_line.substr(0, first_line.size() - 2) +
                   "\rxcontent-length: 1\r\ncontent-length: 2\r\n\r\nok");
  }
  GIVEN("sound lines") {
    const std::string line =
        GENERATE("!#$%&'*+-.^_`|~0189azAZ: y\r\n", "x:\r\n", "x: \r\n", "x:y\r\n",
                 "x: a\tb \200\377 \t\r\n", "x: a: b\r\n", "x: y\n");
    const std::string message = first_line + line + "content-length: 2\r\n\r\nok";
    CAPTURE(message);
    MessageReader at_once(kind, {});
    CHECK(at_once.Read(message) == message.size());
    CHECK(at_once.IsComplete());
    MessageReader byte_by_byte(kind, {});
    CHECK(ReadByteByByte(byte_by_byte, message) == message.size());
    CHECK(byte_by_byte.IsComplete());
  }
}

// Guards against a caller that gets a body that the worker did not send, because http_parser
// accepts any two bytes after a chunk and any byte after CR.
SCENARIO("A reader rejects a chunked body with a malformed line end") {
  const auto kind = GENERATE(MessageKind::kResponse, MessageKind::kRequest);
  const std::string head =
      (kind == MessageKind::kResponse ? "HTTP/1.1 200 OK\r\n" : "POST / HTTP/1.1\r\n") +
      std::string("transfer-encoding: chunked\r\n\r\n");
  for (const std::string body :
       {"2\r\nokXX0\r\n\r\n", "2\r\nok\n\n0\r\n\r\n", "2\r\nok\rX0\r\n\r\n", "2\rXok\r\n0\r\n\r\n",
        "2;a\rXok\r\n0\r\n\r\n", "2\r\nok\r\n0\rX\r\n", "2\r\nok\r\n0\r\n\rX",
        "1\r\noXX1\r\nk\r\n0\r\n\r\n"}) {
    CAPTURE(body);
    MessageReader at_once(kind, {});
    at_once.Read(head + body);
    CHECK(at_once.Fault() == ReadFault::kMalformedChunk);
    CHECK_FALSE(at_once.IsComplete());
    MessageReader byte_by_byte(kind, {});
    ReadByteByByte(byte_by_byte, head + body);
    CHECK(byte_by_byte.Fault() == ReadFault::kMalformedChunk);
  }
  for (const std::string body :
       {"2\r\nok\r\n0\r\n\r\n", "1\r\no\r\n1\r\nk\r\n00\r\n\r\n",
        "02 ;a=\"b c\"\r\nok\r\n0;a\r\n\r\n", "2\r\nok\r\n0\r\nx: y\r\nz:\r\n\r\n"}) {
    CAPTURE(body);
    MessageReader at_once(kind, {});
    CHECK(at_once.Read(head + body + "next") == head.size() + body.size());
    CHECK(at_once.IsComplete());
    MessageReader byte_by_byte(kind, {});
    CHECK(ReadByteByByte(byte_by_byte, head + body) == head.size() + body.size());
    CHECK(byte_by_byte.IsComplete());
  }
  THEN("a malformed end of a trailer field is rejected") {
    MessageReader reader(kind, {});
    reader.Read(head + "2\r\nok\r\n0\r\nx: y\rX\r\n\r\n");
    CHECK(reader.Fault() == ReadFault::kMalformed);
  }
  THEN("a body may have any bytes") {
    const std::string bytes = "\r\r\n\nx\r";
    MessageReader reader(kind, {});
    reader.Read(head + "6\r\n" + bytes + "\r\n0\r\n\r\n");
    REQUIRE(reader.IsComplete());
    CHECK((kind == MessageKind::kResponse ? reader.Response().body : reader.Request().body) ==
          bytes);
  }
}

SCENARIO("A reader accepts sound responses in all their forms") {
  const std::string response = GENERATE("HTTP/1.1 200\r\ncontent-length: 2\r\n\r\nok",
                                        "HTTP/1.1 200 \r\ncontent-length: 2\r\n\r\nok",
                                        "\r\nHTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok",
                                        "HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\nHTTP/1.1 "
                                        "200 OK\r\ncontent-length: 2\r\n\r\nok",
                                        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
                                        "2;name=\"a b\"\r\nok\r\n0\r\nx-trailer: y\r\n\r\n");
  CAPTURE(response);
  MessageReader at_once(MessageKind::kResponse, {});
  CHECK(at_once.Read(response) == response.size());
  REQUIRE(at_once.IsComplete());
  CHECK(at_once.Response().body == "ok");
  MessageReader byte_by_byte(MessageKind::kResponse, {});
  CHECK(ReadByteByByte(byte_by_byte, response) == response.size());
  REQUIRE(byte_by_byte.IsComplete());
  CHECK(byte_by_byte.Response().body == "ok");
}

// Guards against a process that runs out of memory because several peers send bodies without end.
SCENARIO("Several readers share a limit on the memory for bodies") {
  ReaderLimits limits;
  limits.memory_budget = std::make_shared<MemoryBudget>(100'000);
  const std::string head = "HTTP/1.1 200 OK\r\n\r\n";
  std::vector<std::unique_ptr<MessageReader>> endless;
  for (int i = 0; i < 5; ++i) {
    endless.push_back(std::make_unique<MessageReader>(MessageKind::kResponse, limits));
    endless.back()->Read(head);
  }
  // The last one may use the whole budget.
  for (int block = 0; block < 101; ++block) {
    for (const auto& reader : endless) {
      reader->Read(std::string(1000, 'x'));
    }
  }
  THEN("bodies that do not fit are rejected") {
    CHECK(limits.memory_budget->Reserved() <= 100'000);
    for (const auto& reader : endless) {
      CHECK(reader->Fault() == ReadFault::kBodyTooLarge);
    }
  }
  THEN("their memory is freed") {
    for (const auto& reader : endless) {
      CHECK(reader->Response().body.capacity() < 100);
    }
  }
  THEN("small bodies are still read") {
    MessageReader reader(MessageKind::kResponse, limits);
    reader.Read("HTTP/1.1 200 OK\r\nContent-Length: 9000\r\n\r\n" + std::string(9000, 'x'));
    CHECK(reader.IsComplete());
  }
  THEN("the memory is free again after the messages") {
    endless[0]->Restart();
    endless.erase(endless.begin() + 1, endless.end());
    CHECK(limits.memory_budget->Reserved() == 0);
  }
}

// Guards against a process that runs out of memory because many peers send without end, each of
// them little for a long time.
SCENARIO("Many readers of small messages share a limit on the memory") {
  constexpr std::size_t kBudget = 100'000;
  ReaderLimits limits;
  limits.memory_budget = std::make_shared<MemoryBudget>(kBudget);
  std::vector<std::unique_ptr<MessageReader>> endless;
  const auto body_bytes = [&] {
    std::size_t bytes = 0;
    for (const auto& reader : endless) {
      bytes += reader->Response().body.capacity();
    }
    return bytes;
  };
  int revoked = 0;
  const std::string start = GENERATE("HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nX: ");
  for (int i = 0; i < 100; ++i) {
    endless.push_back(std::make_unique<MessageReader>(MessageKind::kResponse, limits));
    endless.back()->OnRevoked([&] { ++revoked; });
    endless.back()->Read(start + std::string(5000, 'x'));
    CHECK(limits.memory_budget->Reserved() <= kBudget);
    CHECK(body_bytes() <= 2 * kBudget);
  }
  THEN("a message that does not fit is rejected in favour of a smaller one") {
    const std::size_t rejected_before = limits.memory_budget->RejectedMessages();
    MessageReader reader(MessageKind::kResponse, limits);
    reader.Read("HTTP/1.1 200 OK\r\nContent-Length: 4900\r\n\r\n" + std::string(4900, 'x'));
    CHECK(reader.IsComplete());
    CHECK(limits.memory_budget->RejectedMessages() > rejected_before);
    CHECK(revoked == 1);
  }
  THEN("a reader whose message was rejected reads the next one") {
    for (const auto& reader : endless) {
      reader->Restart();
    }
    CHECK(limits.memory_budget->Reserved() == 0);
    endless.front()->Read("HTTP/1.1 204 x\r\n\r\n");
    CHECK(endless.front()->IsComplete());
  }
}

// Guards against a response that looks complete although its sender stopped within the head.
SCENARIO("A response that ends at any byte before its end is not complete") {
  const std::string head = "HTTP/1.1 200 OK\r\nX-Signature: s\r\n";
  const std::string with_length = head + "Content-Length: 12\r\n\r\nhello, world";
  const std::string chunked =
      head + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n7\r\n, world\r\n0\r\n\r\n";
  const std::string without_length = head + "\r\nhello, world";
  const auto ends_after = [](const std::string& bytes) {
    MessageReader reader(MessageKind::kResponse, {});
    reader.Read(bytes);
    const bool is_complete = reader.IsComplete();
    reader.ReadEnd();
    return is_complete || reader.IsComplete();
  };
  for (const std::string& response : {with_length, chunked}) {
    REQUIRE(ends_after(response));
    for (std::size_t size = 0; size < response.size(); ++size) {
      CAPTURE(response.substr(0, size));
      CHECK_FALSE(ends_after(response.substr(0, size)));
    }
  }
  for (std::size_t size = 0; size < head.size() + 2; ++size) {
    CAPTURE(without_length.substr(0, size));
    CHECK_FALSE(ends_after(without_length.substr(0, size)));
  }
}

// Guards against a sender that goes on for ever: its bytes must neither fill the memory nor keep
// the reader busy.
SCENARIO("A reader stops at bytes without end") {
  ReaderLimits limits;
  limits.max_body_bytes = 100'000;
  const std::string start = "HTTP/1.1 200 OK\r\n";
  const std::string chunked = start + "Transfer-Encoding: chunked\r\n\r\n";
  struct Endless {
    const char* where;
    std::string first;
    std::string repeated;
  };
  const std::vector<Endless> cases{
      {"status text", "HTTP/1.1 200 O", "O"},
      {"field name", start, "x"},
      {"field value", start + "X: ", "x"},
      {"fields", start, "X: y\r\n"},
      {"blank lines before the head", "", "\r\n"},
      {"interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
      {"body without a length", start + "\r\n", "body"},
      {"chunks", chunked, "4\r\nbody\r\n"},
      {"chunk size", chunked, "0"},
      {"chunk extension", chunked + "4;", "x"},
      {"trailer field", chunked + "0\r\nX: ", "x"},
      {"trailer fields", chunked + "0\r\n", "X: y\r\n"},
  };
  for (const Endless& endless : cases) {
    CAPTURE(endless.where);
    MessageReader reader(MessageKind::kResponse, limits);
    reader.Read(endless.first);
    std::string block;
    while (block.size() < 8000) {
      block += endless.repeated;
    }
    std::size_t total = 0;
    while (total < 1'000'000 && !reader.Fault().has_value()) {
      reader.Read(block);
      total += block.size();
    }
    CHECK(reader.Fault().has_value());
  }
}

}  // namespace qh::http
