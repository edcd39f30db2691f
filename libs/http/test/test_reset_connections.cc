#include <catch2/catch.hpp>
#include <optional>
#include <string>

#include "quetzalhinge/http/client_connection.h"
#include "quetzalhinge/http/http_client.h"
#include "quetzalhinge/testing/raw_peer.h"
#include "scripted_peer.h"

namespace qh::http {
namespace {

const std::string kHead = "HTTP/1.1 200 OK\r\n";
const std::string kBody(20'000, 'x');

/** A call to a worker that does not read the body of the request. */
class UploadCall {
 public:
  explicit UploadCall(std::size_t upload_bytes) : m_connection(m_loop, m_worker.Endpoint(), {}) {
    ClientRequest request;
    request.request = {"POST", "/", {}, std::string(upload_bytes, 'u')};
    request.timeout = 60s;
    m_connection.Start(request, [this](HttpCallResult value) { m_result = std::move(value); });
    m_worker.Accept();
    RunUntil(m_loop, [&] { return m_worker.HasReceived(); });
  }

  test::RawPeer& Worker() { return m_worker; }

  /** Returns the response, or null if the call fails. */
  const HttpResponse* AwaitResponse() {
    RunUntil(m_loop, [&] { return m_result.has_value(); });
    return std::get_if<HttpResponse>(&*m_result);
  }

 private:
  net::EventLoop m_loop;
  test::RawPeer m_worker;
  ClientConnection m_connection;
  std::optional<HttpCallResult> m_result;
};

}  // namespace

// Guards against a caller that gets a part of a body as the whole one, because the reset of a
// connection counts as the end of a response without a length.
SCENARIO("A response without a length ends with its connection, but not with a reset") {
  const std::size_t upload_bytes = GENERATE(0, 200'000, 4'000'000);
  CAPTURE(upload_bytes);
  UploadCall call(upload_bytes);
  call.Worker().Send(kHead + "\r\n" + kBody);

  WHEN("the worker resets the connection") {
    call.Worker().Reset();
    THEN("the call fails") { CHECK(call.AwaitResponse() == nullptr); }
  }
  WHEN("the worker closes the connection with the request unread") {
    call.Worker().Close();
    THEN("the call fails, since the kernel resets such a connection") {
      CHECK(call.AwaitResponse() == nullptr);
    }
  }
  WHEN("the worker closes its sending side") {
    call.Worker().FinishSending();
    THEN("the response is complete, whether or not the request was read") {
      const HttpResponse* response = call.AwaitResponse();
      REQUIRE(response != nullptr);
      CHECK(response->body == kBody);
      CHECK(response->ends_with_connection);
    }
  }
}

// Guards against a caller that gets a part of a body as the whole one.
SCENARIO("The client of qh-entry returns no response that a reset has ended") {
  const std::string framing =
      GENERATE("", "content-length: 30000\r\n", "transfer-encoding: chunked\r\n");
  const std::string body = framing.starts_with("transfer") ? "4e20\r\n" + kBody + "\r\n" : kBody;
  CAPTURE(framing);
  net::EventLoop loop;
  test::RawPeer worker;
  HttpClient client(loop, worker.Endpoint(), {});
  std::optional<HttpCallResult> result;
  const auto call =
      client.Start({"POST", "/", {}, std::string(GENERATE(0, 200'000, 4'000'000), 'u')}, 60s,
                   [&](HttpCallResult value) { result = std::move(value); });
  worker.Accept();
  RunUntil(loop, [&] { return worker.HasReceived(); });
  worker.Send(kHead + framing + "\r\n" + body);
  worker.Reset();
  RunUntil(loop, [&] { return result.has_value(); });
  CHECK(std::holds_alternative<HttpCallFailure>(*result));
}

}  // namespace qh::http
