#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <optional>

#include "../src/arrival_plan.h"
#include "../src/load_run.h"
#include "../src/report.h"
#include "quetzalhinge/http/http_client.h"
#include "quetzalhinge/http/http_server.h"
#include "quetzalhinge/standin/standin_worker_group.h"

namespace qh::load {
namespace {

using http::HttpCallResult;
using http::HttpExchange;
using http::HttpRequest;
using http::HttpResponse;
using nlohmann::json;
using std::chrono::milliseconds;
using ExchangePtr = std::shared_ptr<HttpExchange>;

const std::string kScenario =
    "[load]\nseed = 7\ndirect_share = 0.2\n"
    "[phase only]\nduration = 300 ms\nrate = 200\n"
    "[mix read]\nservice = katalog\npath = /price\ncustomers = semarang, bandung\n"
    "[mix order]\nservice = katalog\nmethod = POST\npath = /order\ncustomers = semarang\n"
    "body_bytes = 64\ndeadline = 1 s\n";

Scenario MakeScenario() {
  const ScenarioResult result = ParseScenario(settings::ParseIni("s.ini", kScenario));
  REQUIRE(result.problems.empty());
  return result.scenario;
}

/** Faults of a FakeEntry, each of which breaks one promise or none. */
struct EntryFaults {
  bool runs_twice = false;
  bool says_not_run_after_running = false;
  bool swaps_answers = false;
  bool never_answers = false;
  bool overloaded = false;
  /** Requests that are run but whose connection is then closed. */
  int lose_answers = 0;
};

/** An entry VM reduced to what callers see: addresses, forwarding to one worker, stored answers. */
class FakeEntry {
 public:
  FakeEntry(net::EventLoop& loop, const IpEndpoint& worker)
      : m_server(loop, {{"127.0.0.1", 0}, 1 << 20, std::chrono::seconds(10)},
                 [this](const ExchangePtr& exchange) { OnRequest(exchange); }),
        m_worker(loop, worker, {}) {
    REQUIRE(IsOk(m_server.Start()));
  }

  IpEndpoint Endpoint() const { return m_server.LocalEndpoint(); }

  EntryFaults faults;
  std::vector<IpEndpoint> listed;

 private:
  void OnRequest(const ExchangePtr& exchange) {
    const HttpRequest& request = exchange->Request();
    if (request.path.starts_with("/v1/addresses")) {
      json addresses = json::array();
      for (const IpEndpoint& endpoint : listed) {
        addresses.push_back({{"ip", endpoint.ip},
                             {"port", endpoint.port},
                             {"key_prefix", "vm.1.2." + std::to_string(endpoint.port)}});
      }
      exchange->Respond({200, {}, json{{"ttl_ms", 100}, {"addresses", addresses}}.dump(), false});
      return;
    }
    const std::string key(http::FindHeader(request.headers, "idempotency-key").value_or(""));
    const auto stored = m_stored.find(key);
    if (faults.never_answers) {
      m_unanswered.push_back(exchange);
    } else if (faults.overloaded) {
      RespondNotRun(*exchange, "overloaded");
    } else if (!key.empty() && stored != m_stored.end()) {
      exchange->Respond(stored->second);
    } else {
      Forward(exchange, key);
    }
  }

  void Forward(const ExchangePtr& exchange, const std::string& key) {
    HttpRequest forwarded = exchange->Request();
    forwarded.path.erase(0, std::string("/svc/katalog").size());
    const std::string id = "request-" + std::to_string(m_next_id++);
    forwarded.headers.push_back({"x-qh-request-id", id});
    if (faults.swaps_answers) {
      forwarded.body += "of another caller";
    }
    if (faults.runs_twice) {
      m_worker.Start(forwarded, std::chrono::seconds(30), [](const HttpCallResult&) {});
    }
    m_worker.Start(forwarded, std::chrono::seconds(30),
                   [this, exchange, key](const HttpCallResult& result) {
                     OnWorkerAnswer(*exchange, key, result);
                   });
  }

  void OnWorkerAnswer(HttpExchange& exchange, const std::string& key,
                      const HttpCallResult& result) {
    REQUIRE(std::holds_alternative<HttpResponse>(result));
    HttpResponse response = std::get<HttpResponse>(result);
    if (response.status == 503) {
      RespondNotRun(exchange, "overloaded");
      return;
    }
    response.headers.push_back({"x-qh-outcome", "ran"});
    m_stored[key] = response;
    if (faults.says_not_run_after_running) {
      RespondNotRun(exchange, "rate_limited");
    } else if (faults.lose_answers > 0) {
      --faults.lose_answers;
      exchange.Abort("");
    } else {
      exchange.Respond(response);
    }
  }

  static void RespondNotRun(HttpExchange& exchange, const char* code) {
    exchange.Respond({code == std::string("rate_limited") ? 429 : 503,
                      {{"x-qh-outcome", "not-run"}, {"x-qh-request-id", "refused"}},
                      json{{"code", code}, {"outcome", "not-run"}}.dump(),
                      false});
  }

  http::HttpServer m_server;
  http::HttpClient m_worker;
  std::map<std::string, HttpResponse> m_stored;
  std::vector<ExchangePtr> m_unanswered;
  int m_next_id = 1;
};

/** One worker, two entry VMs and a run between them. */
struct Setup {
  net::EventLoop loop;
  standin::StandinWorkerGroup group;
  Scenario scenario = MakeScenario();
  std::unique_ptr<FakeEntry> first;
  std::unique_ptr<FakeEntry> second;
  Topology topology;

  static standin::StandinWorkerGroupOptions GroupOptions() {
    standin::StandinWorkerOptions worker;
    worker.listen = {"127.0.0.1", 0};
    worker.slots = 50;
    worker.queue_length = 1000;
    worker.routes = {{"/", 1, 0, 0, 0}};
    return {{"127.0.0.1", 0}, {worker}};
  }

  Setup() : group(loop, GroupOptions()) {
    REQUIRE(IsOk(group.Start()));
    const IpEndpoint worker = group.Workers().front()->LocalEndpoint();
    first = std::make_unique<FakeEntry>(loop, worker);
    second = std::make_unique<FakeEntry>(loop, worker);
    first->listed = second->listed = {first->Endpoint(), second->Endpoint()};
    topology = {
        group.ControlEndpoint(), {first->Endpoint(), second->Endpoint()}, {{"katalog", worker}}};
  }

  json Run() {
    LoadRun run(loop, scenario, topology);
    std::optional<LoadResult> result;
    run.Start([&](const LoadResult& done) {
      result = done;
      loop.Stop();
    });
    loop.Run();
    REQUIRE(result.has_value());
    const json report = MakeJsonReport(scenario, run.Ledger(), *result);
    UNSCOPED_INFO(MakeTextReport(report));
    return report;
  }
};

TEST_CASE("A run accounts for every call") {
  Setup setup;
  const auto violations = [](const json& report, const char* name) {
    return report["account"][name]["count"].get<std::uint64_t>();
  };

  SECTION("and is clean when every promise is kept") {
    const json report = setup.Run();
    CHECK(report["clean"] == true);
    CHECK(report["account"]["started"] > 20);
    CHECK(report["account"]["keyed run once"] > 5);
    CHECK(report["classes"][0].contains("added_p50_us"));
  }
  SECTION("and sends a key again to the same address when the answer is lost") {
    setup.first->faults.lose_answers = 5;
    const json report = setup.Run();
    CHECK(report["clean"] == true);
    CHECK(report["account"]["keyed unknown, ran"] == 0);
  }
  SECTION("and takes the next address when one answers 503 or refuses the connection") {
    setup.first->faults.overloaded = true;
    CHECK(setup.Run()["codes"].value("entry not-run overloaded", 0) == 0);
    setup.first->faults.overloaded = false;
    setup.second->listed.front() = {"127.0.0.1", 1};
    setup.first->listed.front() = {"127.0.0.1", 1};
    const json report = setup.Run();
    CHECK(report["clean"] == true);
    CHECK(report["classes"][0]["outcomes"]["not-run"] == 0);
  }
  SECTION("and finds work that ran twice") {
    setup.first->faults.runs_twice = true;
    const json report = setup.Run();
    CHECK(report["clean"] == false);
    CHECK(violations(report, "ran twice") > 0);
  }
  SECTION("and finds work that ran although its caller was told that it did not") {
    setup.first->faults.says_not_run_after_running = true;
    const json report = setup.Run();
    CHECK(report["clean"] == false);
    CHECK(violations(report, "not-run but ran") > 0);
  }
  SECTION("and finds answers that belong to another request") {
    setup.first->faults.swaps_answers = true;
    const json report = setup.Run();
    CHECK(report["clean"] == false);
    CHECK(violations(report, "wrong answers") > 0);
  }
  SECTION("and counts calls that never end, instead of forgetting them") {
    setup.first->faults.never_answers = true;
    setup.scenario.drain_limit = milliseconds(50);
    const json report = setup.Run();
    CHECK(report["clean"] == false);
    CHECK(report["account"]["ended"] < report["account"]["started"]);
  }
  SECTION("and is not clean when the workers' counts cannot be read") {
    setup.topology.worker_control = {"127.0.0.1", 1};
    CHECK(setup.Run()["clean"] == false);
  }
}

TEST_CASE("The plan of calls depends only on the scenario and its seed") {
  Scenario scenario = MakeScenario();
  ArrivalPlan first(scenario, "run");
  ArrivalPlan second(scenario, "run");
  std::size_t calls = 0;
  while (const auto call = first.Next()) {
    const auto same = second.Next();
    REQUIRE(same.has_value());
    CHECK(same->start == call->start);
    CHECK(same->id == call->id);
    CHECK(same->customer == call->customer);
    CHECK(call->start < milliseconds(300));
    ++calls;
  }
  CHECK(calls > 20);
}

TEST_CASE("The rate follows the shape of the phase") {
  Phase phase{"p", PhaseShape::kSwing, milliseconds(4000), 100, 300, milliseconds(2000)};
  CHECK(RateAt(phase, milliseconds(0)) == Approx(100));
  CHECK(RateAt(phase, milliseconds(1000)) == Approx(300));
  CHECK(RateAt(phase, milliseconds(2000)) == Approx(100));
  phase.shape = PhaseShape::kRamp;
  CHECK(RateAt(phase, milliseconds(2000)) == Approx(200));
  phase.shape = PhaseShape::kSteady;
  CHECK(RateAt(phase, milliseconds(3000)) == Approx(100));
}

}  // namespace
}  // namespace qh::load
