#include <catch2/catch.hpp>
#include <iostream>
#include <mutex>
#include <set>
#include <thread>

#include "quetzalhinge/standin/answer_check.h"
#include "scripted_worker.h"
#include "test_deployment.h"

namespace qh::test {
namespace {

using std::chrono::milliseconds;

constexpr const char* kCustomer = "semarang";
/** Deadline of calls whose response the worker delays by kLateResponseDelay. */
constexpr milliseconds kShortDeadline{150};
constexpr milliseconds kLateResponseDelay{400};

std::string MakeResponseHead(const ScriptedRequest& request, const std::string& framing) {
  return "HTTP/1.1 200 OK\r\nx-qh-request-id: " + request.request_id + "\r\n" + framing +
         "\r\n\r\n";
}

std::string MakeResponse(const ScriptedRequest& request, const std::string& body,
                         std::size_t content_length) {
  return MakeResponseHead(request, "content-length: " + std::to_string(content_length)) + body;
}

/** Returns a body that contains the path of its request, so that a foreign response is detected. */
std::string BodyFor(const ScriptedRequest& request) {
  return "answer to " + request.path + " " + std::string(200, 'x') + " end";
}

/** Script of the worker; the path, such as /cut-length, selects the response. */
bool Respond(const ScriptedRequest& request, const ScriptedWriter& write) {
  const std::string& path = request.path;
  const std::string text = BodyFor(request);
  const auto path_contains = [&](const char* name) { return path.find(name) != std::string::npos; };
  if (path_contains("/whole-length")) {
    return write(MakeResponse(request, text, text.size()));
  }
  if (path_contains("/whole-chunked")) {
    return write(MakeResponseHead(request, "transfer-encoding: chunked") + "5\r\n" +
                 text.substr(0, 5) + "\r\n" + "c8\r\n" + text.substr(5, 200) + "\r\n") &&
           write([&] {
             const std::string rest = text.substr(205);
             std::string size(1, "0123456789abcdef"[rest.size() % 16]);
             if (rest.size() >= 16) {
               size.insert(0, 1, "0123456789abcdef"[rest.size() / 16]);
             }
             return size + "\r\n" + rest + "\r\n0\r\n\r\n";
           }());
  }
  if (path_contains("/slow")) {
    const std::string bytes = MakeResponse(request, text, text.size());
    for (std::size_t start = 0; start < bytes.size(); start += 64) {
      std::this_thread::sleep_for(milliseconds(10));
      if (!write(bytes.substr(start, 64))) {
        return false;
      }
    }
    return true;
  }
  if (path_contains("/cut-length")) {
    write(MakeResponse(request, text.substr(0, 100), text.size()));
    return false;
  }
  if (path_contains("/cut-head")) {
    write(MakeResponseHead(request, "content-length: 5").substr(0, 30));
    return false;
  }
  if (path_contains("/cut-chunked")) {
    write(MakeResponseHead(request, "transfer-encoding: chunked") + "5\r\n" + text.substr(0, 5) +
          "\r\n");
    return false;
  }
  if (path_contains("/cut-in-chunk")) {
    write(MakeResponseHead(request, "transfer-encoding: chunked") + "c8\r\n" + text.substr(0, 50));
    return false;
  }
  if (path_contains("/no-length")) {
    write(MakeResponseHead(request, "content-type: text/plain") + text);
    return false;
  }
  if (path_contains("/status-000")) {
    // The space separates the status from "HTTP/1.1".
    std::string response = MakeResponse(request, text, text.size());
    return write(response.replace(response.find(" 200"), 4, " 000"));
  }
  if (path_contains("/folded-line")) {
    return write(MakeResponseHead(request, "x-other: y\r\n x-folded: 1\r\ncontent-length: " +
                                               std::to_string(text.size())) +
                 text);
  }
  if (path_contains("/blank-in-name")) {
    return write(MakeResponseHead(request, "content-length : 5") + text);
  }
  if (path_contains("/other-request")) {
    ScriptedRequest other = request;
    other.request_id = "0123456789abcdef";
    return write(MakeResponse(other, text, text.size()));
  }
  if (path_contains("/late")) {
    std::this_thread::sleep_for(kLateResponseDelay);
    return write(MakeResponse(request, text, text.size()));
  }
  if (path_contains("/twice")) {
    // The second copy must not be read as the response to the next request on the connection.
    const std::string response = MakeResponse(request, text, text.size());
    return write(response + response);
  }
  return write(MakeResponse(request, "unknown path", 12));
}

class ScriptedDeployment {
 public:
  explicit ScriptedDeployment(int subnet)
      : m_deployment([subnet] {
          DeploymentOptions options;
          options.subnet = subnet;
          options.vms = 1;
          options.services = {{"katalog", 1, 3}, {"panduan", 0, 3}};
          return options;
        }()),
        m_worker("127." + std::to_string(subnet) + ".9.1", 7000, Respond) {
    m_deployment.StartAndServe(kCustomer);
    m_deployment.ChangeVmList({{"add",
                                {{{"name", "panduan-0"},
                                  {"role", "worker"},
                                  {"service", "panduan"},
                                  {"zone", "zone-0"},
                                  {"ip", "127." + std::to_string(subnet) + ".9.1"},
                                  {"port", 7000},
                                  {"state", "live"}}}}});
    REQUIRE(m_deployment.WaitUntil([&] { return Get("/whole-length").status == 200; }));
  }

  CallResponse Get(const std::string& path, milliseconds deadline = milliseconds(5000)) {
    return Call("GET", path, deadline, "");
  }

  /** Sends a request that is not idempotent, so that the entry does not retry it. */
  CallResponse Post(const std::string& path, milliseconds deadline = milliseconds(5000)) {
    return Call(
        "POST", path, deadline,
        m_deployment.FetchKeyPrefix(0, kCustomer, "panduan") + "." + std::to_string(++m_number));
  }

  TestDeployment& Deployment() { return m_deployment; }
  ScriptedWorker& Worker() { return m_worker; }

 private:
  CallResponse Call(const std::string& method, const std::string& path, milliseconds deadline,
                    const std::string& key) {
    http::HttpRequest request =
        TestDeployment::MakeCall(kCustomer, method, "panduan" + path, "", key);
    request.headers.push_back({"x-qh-deadline-ms", std::to_string(deadline.count())});
    return m_deployment.Send(m_deployment.Callers(0), request);
  }

  TestDeployment m_deployment;
  ScriptedWorker m_worker;
  int m_number = 0;
};

// Guards against a truncated, foreign or late response of a worker, or one with status 000 or a
// malformed line, that the caller receives as an answer.
TEST_CASE("A worker's response is delivered complete or as an error") {
  ScriptedDeployment scripted(62);

  struct Row {
    const char* path;
    /** Expected error code; empty if the response is complete. */
    const char* code;
  };
  const std::vector<Row> rows{{"/whole-length", ""},
                              {"/whole-chunked", ""},
                              {"/slow", ""},
                              {"/cut-length", "answer_cut"},
                              {"/cut-head", "worker_failed"},
                              {"/cut-chunked", "answer_cut"},
                              {"/cut-in-chunk", "answer_cut"},
                              {"/no-length", "answer_cut"},
                              {"/status-000", "answer_cut"},
                              {"/folded-line", "answer_cut"},
                              {"/blank-in-name", "worker_failed"},
                              {"/other-request", "answer_cut"}};
  for (const Row& row : rows) {
    CAPTURE(row.path);
    const CallResponse response = scripted.Post(row.path);
    CAPTURE(response.failure, response.body);
    CHECK(response.code == row.code);
    if (row.code == std::string()) {
      CHECK(response.outcome == "ran");
      const ScriptedRequest last = scripted.Worker().Requests().back();
      CHECK(response.body == BodyFor(last));
      CHECK(http::FindHeader(response.headers, "x-qh-request-id") == last.request_id);
    } else {
      CHECK(response.status == 502);
      CHECK(response.outcome == "unknown");
    }
  }

  SECTION("a connection on which a call timed out is not reused, and its response is dropped") {
    for (int i = 0; i < 3; ++i) {
      const CallResponse late = scripted.Post("/late?" + std::to_string(i), kShortDeadline);
      CHECK(late.code == "deadline_exceeded");
      CHECK(late.outcome == "unknown");
      // The delayed responses arrive during these calls.
      for (int j = 0; j < 10; ++j) {
        const std::string path = "/whole-length?" + std::to_string(i) + "-" + std::to_string(j);
        const CallResponse next = scripted.Get(path);
        CHECK(next.status == 200);
        CHECK(next.body.find(path + " ") != std::string::npos);
        scripted.Deployment().RunFor(milliseconds(40));
      }
    }
    std::set<int> timed_out;
    for (const ScriptedRequest& request : scripted.Worker().Requests()) {
      CAPTURE(request.path);
      CHECK_FALSE(timed_out.contains(request.connection));
      if (request.path.find("/late") != std::string::npos) {
        timed_out.insert(request.connection);
      }
    }
    CHECK(timed_out.size() == 3);
  }
  SECTION("a duplicate response is not read as the response to the next request") {
    for (int i = 0; i < 5; ++i) {
      const CallResponse twice = scripted.Get("/twice?" + std::to_string(i));
      CHECK(twice.status == 200);
      const std::string path = "/whole-length?after-" + std::to_string(i);
      const CallResponse next = scripted.Get(path);
      CAPTURE(next.code);
      CHECK(next.status == 200);
      CHECK(next.body.find(path + " ") != std::string::npos);
    }
  }
}

// Guards against responses that are swapped between callers while responses are delayed, slow or
// truncated.
TEST_CASE("Each of many concurrent callers gets the response to its own request") {
  DeploymentOptions options;
  options.subnet = 63;
  options.services = {{"katalog", 3, 10}};
  options.fault_proxy = true;
  TestDeployment deployment(options);
  deployment.StartAndServe(kCustomer);

  const std::vector<nlohmann::json> faults{{{"delay_ms", 0}},
                                           {{"delay_ms", 30}},
                                           {{"delay_ms", 0}, {"bytes_per_second", 20000}},
                                           {{"bytes_per_second", 0}, {"cut_answers_after", 300}},
                                           {{"cut_answers_after", 0}, {"lose_answers", 20}},
                                           {{"lose_answers", 0}, {"cut_open", true}}};
  int number = 0;
  int complete = 0;
  int failed = 0;
  for (const nlohmann::json& fault : faults) {
    CAPTURE(fault.dump());
    for (int i = 0; i < 3; ++i) {
      nlohmann::json one = fault;
      one["route"] = "katalog-" + std::to_string(i);
      deployment.SetProxyFaults(one);
    }
    int in_progress = 0;
    for (int i = 0; i < 60; ++i) {
      const std::string query = "n=" + std::to_string(++number);
      http::HttpRequest request =
          TestDeployment::MakeCall(kCustomer, "GET", "katalog/a?" + query, "");
      request.headers.push_back({"x-qh-deadline-ms", i % 3 == 0 ? "60" : "3000"});
      ++in_progress;
      deployment.SendAsync(
          deployment.Callers(i % 3), request, [&, query](const CallResponse& response) {
            --in_progress;
            if (response.outcome == "ran" && response.status == 200) {
              ++complete;
              const Result<std::string> checked =
                  standin::CheckResponseBody(response.body, query, "");
              CAPTURE(query, response.body);
              REQUIRE(IsOk(checked));
              CHECK(http::FindHeader(response.headers, "x-qh-request-id") == ValueOf(checked));
            } else {
              ++failed;
              CHECK((response.outcome == "unknown" || response.outcome == "not-run"));
            }
          });
    }
    REQUIRE(deployment.WaitUntil([&] { return in_progress == 0; }));
  }
  std::cout << "complete responses " << complete << ", errors " << failed << std::endl;
  CHECK(complete > 0);
}

}  // namespace
}  // namespace qh::test
