#include <catch2/catch.hpp>
#include <deque>
#include <random>
#include <string>
#include <vector>

#include "quetzalhinge/gateway/attempt_verdict.h"
#include "quetzalhinge/gateway/gateway_settings.h"
#include "quetzalhinge/gateway/retry_budgets.h"

namespace qh::gateway {

namespace {

CallHeaders Names() {
  return {"x-id", "x-left", "x-signature", "x-expect", "x-worker", "x-load", "x-not-run"};
}

AttemptVerdict Classify(int status, const http::HttpHeaders& headers) {
  return ClassifyResponse({status, headers, "", false}, Names());
}

}  // namespace

SCENARIO("A response is classified by what it proves about the execution") {
  const http::HttpHeader signature{"x-signature", "s"};
  const http::HttpHeader not_run{"x-not-run", "1"};
  CHECK(Classify(200, {signature}) == AttemptVerdict::kServed);
  CHECK(Classify(200, {}) == AttemptVerdict::kMayHaveRun);
  CHECK(Classify(200, {signature, {"content-encoding", "gzip"}}) == AttemptVerdict::kMayHaveRun);
  CHECK(Classify(500, {signature}) == AttemptVerdict::kFailed);
  CHECK(Classify(404, {signature}) == AttemptVerdict::kFailed);
  CHECK(Classify(503, {not_run}) == AttemptVerdict::kNotRun);
  CHECK(Classify(421, {}) == AttemptVerdict::kNotRun);

  SECTION("a status that implies 'not run' is no proof without the worker's header") {
    for (const int status : {408, 429, 503}) {
      CHECK(GuaranteesNotRun(status));
      CHECK(Classify(status, {signature}) == AttemptVerdict::kMayHaveRun);
    }
  }
  SECTION("of failed requests, only one that was never sent has certainly not run") {
    http::HttpCallFailure failure;
    failure.stage = http::CallStage::kNotConnected;
    CHECK(ClassifyFailure(failure) == AttemptVerdict::kNotRun);
    failure.stage = http::CallStage::kSent;
    CHECK(ClassifyFailure(failure) == AttemptVerdict::kMayHaveRun);
    failure.stage = http::CallStage::kResponseStarted;
    CHECK(ClassifyFailure(failure) == AttemptVerdict::kMayHaveRun);
  }
}

SCENARIO("The retries of all VMs together stay within the limit in every window") {
  // Guards against bursts: every VM saves retries at a low rate, then all requests fail at once.
  constexpr int kVms = 15;
  constexpr int kSlack = 58;
  constexpr double kShare = 0.2;
  constexpr int kWindowSeconds = 10;
  std::vector<RetryBudgets> vms;
  for (int i = 0; i < kVms; ++i) {
    vms.emplace_back(RetryBudgetOptions{kShare, kSlack}, "front-" + std::to_string(i));
    vms.back().SetVmCount(kVms);
  }
  std::mt19937 random(20261204);
  std::deque<std::pair<int, int>> window;  // requests and retries of each second
  int requests = 0;
  int retry_count = 0;
  for (int second = 0; second < 120; ++second) {
    const bool failing = second % 30 >= 20;
    const int rate = second % 30 < 15 ? 5 : 150;
    int sent = 0;
    int retried = 0;
    for (int i = 0; i < rate; ++i) {
      RetryBudgets& vm = vms[random() % kVms];
      vm.OnFirstAttempt("katalog");
      ++sent;
      retried += failing && vm.TryTake("katalog") ? 1 : 0;
    }
    window.emplace_back(sent, retried);
    requests += sent;
    retry_count += retried;
    if (window.size() > kWindowSeconds) {
      requests -= window.front().first;
      retry_count -= window.front().second;
      window.pop_front();
    }
    CHECK(retry_count <= kShare * requests + kSlack);
  }
}

SCENARIO("The retries stay within the limit if there are more VMs than retries in the slack") {
  // Guards against one saved retry per VM: all VMs save up, then each sends a request that fails.
  constexpr int kVms = 300;
  constexpr double kSlack = 100;
  constexpr double kShare = 0.2;
  constexpr int kSavingRequests = 20;
  int retry_count = 0;
  for (int i = 0; i < kVms; ++i) {
    RetryBudgets vm({kShare, kSlack}, "front-" + std::to_string(i));
    vm.SetVmCount(kVms);
    for (int request = 0; request < kSavingRequests; ++request) {
      vm.OnFirstAttempt("katalog");
    }
    // The window starts here; the requests above are before it.
    vm.OnFirstAttempt("katalog");
    retry_count += vm.TryTake("katalog") ? 1 : 0;
  }
  CHECK(retry_count <= kShare * kVms + kSlack);
  CHECK(retry_count > 0);
}

SCENARIO("The settings parser reports all problems") {
  const std::string good =
      "[vm]\nname = vm-1\nzone = z\nregion = r\n"
      "[listen]\ncallers = 127.0.0.1:1\nready = 127.0.0.1:2\naddresses = 127.0.0.1:3\n"
      "internal_ip = 127.0.0.1\ninternal_port = 4\n"
      "[store]\nendpoint = 127.0.0.1:5\n"
      "[gossip]\ndeployment_key = 0123456789abcdef\n";
  const auto problems = [](const std::string& text) {
    return ParseGatewaySettings(settings::ParseIni("vm.ini", text)).problems.size();
  };
  CHECK(problems(good) == 0);
  CHECK(problems(good + "[stop]\ngrace = 2.5s\n") == 0);
  CHECK(problems(good + "[stop]\ngrace = 6\n") == 1);
  // Limits that are scaled for a fleet of another size are not always whole numbers.
  CHECK(problems(good + "[retries]\nslack = 21.70212765957447\n") == 0);
  CHECK(problems(good + "[retries]\nslack = -1\n") == 1);
  CHECK(problems(good + "[retries]\nshare = 1.5\nslak = 3\n") == 2);
  const std::string store = "endpoint = 127.0.0.1:5\n";
  const auto with_apply_within = [&](const std::string& value) {
    std::string text = good;
    return text.insert(text.find(store), "apply_within = " + value + "\n");
  };
  CHECK(problems(with_apply_within("2000ms")) == 0);
  CHECK(problems(with_apply_within("100ms")) == 1);
  CHECK(problems(good + "[limits]\nmemory_mb = 260\nmax_descriptors = 4100\n") == 0);
  CHECK(problems(good + "[limits]\nmemory_mb = 8\nmax_descriptors = 100\n") == 2);
  CHECK(problems("[vm]\nname = vm-1\n") > 5);
  CHECK(problems(good + "[gossip2]\n") == 1);
}

}  // namespace qh::gateway
