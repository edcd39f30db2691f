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
/** Time that callers of late answers give; the worker answers after `kLateAnswer`. */
constexpr milliseconds kShortDeadline{150};
constexpr milliseconds kLateAnswer{400};

std::string Head(const ScriptedRequest& request, const std::string& framing) {
  return "HTTP/1.1 200 OK\r\nx-qh-request-id: " + request.request_id + "\r\n" + framing +
         "\r\n\r\n";
}

std::string WithLength(const ScriptedRequest& request, const std::string& body,
                       std::size_t stated) {
  return Head(request, "content-length: " + std::to_string(stated)) + body;
}

/** The answer's text names its request, so that an answer to another one is recognized. */
std::string TextFor(const ScriptedRequest& request) {
  return "answer to " + request.path + " " + std::string(200, 'x') + " end";
}

/** Answers by the first part of the path after the service, such as /cut-length. */
bool Answer(const ScriptedRequest& request, const ScriptedWriter& write) {
  const std::string& path = request.path;
  const std::string text = TextFor(request);
  const auto is = [&](const char* name) { return path.find(name) != std::string::npos; };
  if (is("/whole-length")) {
    return write(WithLength(request, text, text.size()));
  }
  if (is("/whole-chunked")) {
    return write(Head(request, "transfer-encoding: chunked") + "5\r\n" + text.substr(0, 5) +
                 "\r\n" + "c8\r\n" + text.substr(5, 200) + "\r\n") &&
           write([&] {
             const std::string rest = text.substr(205);
             std::string size(1, "0123456789abcdef"[rest.size() % 16]);
             if (rest.size() >= 16) {
               size.insert(0, 1, "0123456789abcdef"[rest.size() / 16]);
             }
             return size + "\r\n" + rest + "\r\n0\r\n\r\n";
           }());
  }
  if (is("/slow")) {
    const std::string bytes = WithLength(request, text, text.size());
    for (std::size_t start = 0; start < bytes.size(); start += 64) {
      std::this_thread::sleep_for(milliseconds(10));
      if (!write(bytes.substr(start, 64))) {
        return false;
      }
    }
    return true;
  }
  if (is("/cut-length")) {
    write(WithLength(request, text.substr(0, 100), text.size()));
    return false;
  }
  if (is("/cut-head")) {
    write(Head(request, "content-length: 5").substr(0, 30));
    return false;
  }
  if (is("/cut-chunked")) {
    write(Head(request, "transfer-encoding: chunked") + "5\r\n" + text.substr(0, 5) + "\r\n");
    return false;
  }
  if (is("/cut-in-chunk")) {
    write(Head(request, "transfer-encoding: chunked") + "c8\r\n" + text.substr(0, 50));
    return false;
  }
  if (is("/no-length")) {
    write(Head(request, "content-type: text/plain") + text);
    return false;
  }
  if (is("/other-request")) {
    ScriptedRequest other = request;
    other.request_id = "0123456789abcdef";
    return write(WithLength(other, text, text.size()));
  }
  if (is("/late")) {
    std::this_thread::sleep_for(kLateAnswer);
    return write(WithLength(request, text, text.size()));
  }
  if (is("/twice")) {
    // The second answer would be taken for the answer to the next request on the connection.
    const std::string answer = WithLength(request, text, text.size());
    return write(answer + answer);
  }
  return write(WithLength(request, "unknown path", 12));
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
        m_worker("127." + std::to_string(subnet) + ".9.1", 7000, Answer) {
    m_deployment.StartAndServe(kCustomer);
    m_deployment.ChangeVmList({{"add",
                                {{{"name", "panduan-0"},
                                  {"role", "worker"},
                                  {"service", "panduan"},
                                  {"zone", "zone-0"},
                                  {"ip", "127." + std::to_string(subnet) + ".9.1"},
                                  {"port", 7000},
                                  {"state", "live"}}}}});
    REQUIRE(m_deployment.Until([&] { return Get("/whole-length").status == 200; }));
  }

  CallAnswer Get(const std::string& path, milliseconds deadline = milliseconds(5000)) {
    return Call("GET", path, deadline, "");
  }

  /** Sends a request that is not idempotent, so that it is not repeated by the entry. */
  CallAnswer Post(const std::string& path, milliseconds deadline = milliseconds(5000)) {
    return Call("POST", path, deadline,
                m_deployment.KeyPrefix(0, kCustomer, "panduan") + "." + std::to_string(++m_number));
  }

  TestDeployment& Deployment() { return m_deployment; }
  ScriptedWorker& Worker() { return m_worker; }

 private:
  CallAnswer Call(const std::string& method, const std::string& path, milliseconds deadline,
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

// Guards against a short, foreign or late answer that is delivered as a success.
TEST_CASE("A worker's answer is delivered whole or as an error") {
  ScriptedDeployment scripted(62);

  struct Row {
    const char* path;
    /** Code of the error; empty if the answer is whole. */
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
                              {"/other-request", "answer_cut"}};
  for (const Row& row : rows) {
    CAPTURE(row.path);
    const CallAnswer answer = scripted.Post(row.path);
    CAPTURE(answer.failure, answer.body);
    CHECK(answer.code == row.code);
    if (row.code == std::string()) {
      CHECK(answer.outcome == "ran");
      const ScriptedRequest last = scripted.Worker().Requests().back();
      CHECK(answer.body == TextFor(last));
      CHECK(http::FindHeader(answer.headers, "x-qh-request-id") == last.request_id);
    } else {
      CHECK(answer.status == 502);
      CHECK(answer.outcome == "unknown");
    }
  }

  SECTION("a connection that timed out gets no other request, and its answer is dropped") {
    for (int i = 0; i < 3; ++i) {
      const CallAnswer late = scripted.Post("/late?" + std::to_string(i), kShortDeadline);
      CHECK(late.code == "deadline_exceeded");
      CHECK(late.outcome == "unknown");
      // The late answers arrive while these are in progress.
      for (int j = 0; j < 10; ++j) {
        const std::string path = "/whole-length?" + std::to_string(i) + "-" + std::to_string(j);
        const CallAnswer next = scripted.Get(path);
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
  SECTION("an answer that comes twice is not taken for the next request's") {
    for (int i = 0; i < 5; ++i) {
      const CallAnswer twice = scripted.Get("/twice?" + std::to_string(i));
      CHECK(twice.status == 200);
      const std::string path = "/whole-length?after-" + std::to_string(i);
      const CallAnswer next = scripted.Get(path);
      CAPTURE(next.code);
      CHECK(next.status == 200);
      CHECK(next.body.find(path + " ") != std::string::npos);
    }
  }
}

// Guards against answers that are swapped between callers while answers are late, slow or cut.
TEST_CASE("Each of many callers at once gets the answer to its own request") {
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
  int whole = 0;
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
      deployment.SendLater(
          deployment.Callers(i % 3), request, [&, query](const CallAnswer& answer) {
            --in_progress;
            if (answer.outcome == "ran" && answer.status == 200) {
              ++whole;
              const Result<std::string> checked = standin::CheckAnswerBody(answer.body, query, "");
              CAPTURE(query, answer.body);
              REQUIRE(IsOk(checked));
              CHECK(http::FindHeader(answer.headers, "x-qh-request-id") == ValueOf(checked));
            } else {
              ++failed;
              CHECK((answer.outcome == "unknown" || answer.outcome == "not-run"));
            }
          });
    }
    REQUIRE(deployment.Until([&] { return in_progress == 0; }));
  }
  std::cout << "whole answers " << whole << ", errors " << failed << std::endl;
  CHECK(whole > 0);
}

}  // namespace
}  // namespace qh::test
