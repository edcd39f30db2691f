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

/** Faults of a FakeEntry; some violate a guarantee to callers, others do not. */
struct EntryFaults {
  bool executes_twice = false;
  bool not_run_after_execution = false;
  bool swaps_responses = false;
  bool never_responds = false;
  bool overloaded = false;
  /** Number of requests that are executed but whose connection is closed without a response. */
  int lost_responses = 0;
};

/** A minimal entry VM: serves addresses, forwards calls to one worker, stores responses by key. */
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
  std::vector<IpEndpoint> listed_addresses;

 private:
  void OnRequest(const ExchangePtr& exchange) {
    const HttpRequest& request = exchange->Request();
    if (request.path.starts_with("/v1/addresses")) {
      json addresses = json::array();
      for (const IpEndpoint& endpoint : listed_addresses) {
        addresses.push_back({{"ip", endpoint.ip},
                             {"port", endpoint.port},
                             {"key_prefix", "vm.1.2." + std::to_string(endpoint.port)}});
      }
      exchange->Respond({200, {}, json{{"ttl_ms", 100}, {"addresses", addresses}}.dump(), false});
      return;
    }
    const std::string key(http::FindHeader(request.headers, "idempotency-key").value_or(""));
    const auto stored = m_stored.find(key);
    if (faults.never_responds) {
      m_pending.push_back(exchange);
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
    if (faults.swaps_responses) {
      forwarded.body = std::string(forwarded.body) + "of another caller";
    }
    if (faults.executes_twice) {
      m_worker.Start(forwarded, std::chrono::seconds(30), [](const HttpCallResult&) {});
    }
    m_worker.Start(forwarded, std::chrono::seconds(30),
                   [this, exchange, key](const HttpCallResult& result) {
                     OnWorkerResponse(*exchange, key, result);
                   });
  }

  void OnWorkerResponse(HttpExchange& exchange, const std::string& key,
                        const HttpCallResult& result) {
    REQUIRE(std::holds_alternative<HttpResponse>(result));
    HttpResponse response = std::get<HttpResponse>(result);
    if (response.status == 503) {
      RespondNotRun(exchange, "overloaded");
      return;
    }
    response.headers.push_back({"x-qh-outcome", "ran"});
    m_stored[key] = response;
    if (faults.not_run_after_execution) {
      RespondNotRun(exchange, "rate_limited");
    } else if (faults.lost_responses > 0) {
      --faults.lost_responses;
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
  std::vector<ExchangePtr> m_pending;
  int m_next_id = 1;
};

/** One stand-in worker, two fake entry VMs and a scenario to run against them. */
struct LoadFixture {
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

  LoadFixture() : group(loop, GroupOptions()) {
    REQUIRE(IsOk(group.Start()));
    const IpEndpoint worker = group.Workers().front()->LocalEndpoint();
    first = std::make_unique<FakeEntry>(loop, worker);
    second = std::make_unique<FakeEntry>(loop, worker);
    first->listed_addresses = second->listed_addresses = {first->Endpoint(), second->Endpoint()};
    topology = {
        group.ControlEndpoint(), {first->Endpoint(), second->Endpoint()}, {{"katalog", worker}}};
  }

  json Run() {
    LoadRun run(loop, scenario, topology);
    std::optional<LoadResult> result;
    run.Start([&](const LoadResult& load_result) {
      result = load_result;
      loop.Stop();
    });
    loop.Run();
    REQUIRE(result.has_value());
    const json report = MakeJsonReport(scenario, run.Ledger(), *result);
    UNSCOPED_INFO(MakeTextReport(report));
    return report;
  }
};

// Guards against violations that qh-load does not report, and against correct behaviour (lost
// responses, overload, refused connections) that it reports as a violation.
TEST_CASE("A run accounts for every call") {
  LoadFixture fixture;
  const auto violations = [](const json& report, const char* name) {
    return report["account"][name]["count"].get<std::uint64_t>();
  };

  SECTION("and is clean without violations") {
    const json report = fixture.Run();
    CHECK(report["clean"] == true);
    CHECK(report["account"]["started"] > 20);
    CHECK(report["account"]["keyed run once"] > 5);
    CHECK(report["classes"][0].contains("added_p50_us"));
  }
  SECTION("and retries a key at the same address when the response is lost") {
    fixture.first->faults.lost_responses = 5;
    const json report = fixture.Run();
    CHECK(report["clean"] == true);
    CHECK(report["account"]["keyed unknown, ran"] == 0);
  }
  SECTION("and uses the next address when one responds with 503 or refuses the connection") {
    fixture.first->faults.overloaded = true;
    CHECK(fixture.Run()["codes"].value("entry not-run overloaded", 0) == 0);
    fixture.first->faults.overloaded = false;
    fixture.second->listed_addresses.front() = {"127.0.0.1", 1};
    fixture.first->listed_addresses.front() = {"127.0.0.1", 1};
    const json report = fixture.Run();
    CHECK(report["clean"] == true);
    CHECK(report["classes"][0]["outcomes"]["not-run"] == 0);
  }
  SECTION("and detects calls that ran twice") {
    fixture.first->faults.executes_twice = true;
    const json report = fixture.Run();
    CHECK(report["clean"] == false);
    CHECK(violations(report, "ran twice") > 0);
  }
  SECTION("and detects calls that ran although their outcome is not-run") {
    fixture.first->faults.not_run_after_execution = true;
    const json report = fixture.Run();
    CHECK(report["clean"] == false);
    CHECK(violations(report, "not-run but ran") > 0);
  }
  SECTION("and detects responses to another request") {
    fixture.first->faults.swaps_responses = true;
    const json report = fixture.Run();
    CHECK(report["clean"] == false);
    CHECK(violations(report, "wrong answers") > 0);
  }
  SECTION("and reports calls that never end") {
    fixture.first->faults.never_responds = true;
    fixture.scenario.drain_limit = milliseconds(50);
    const json report = fixture.Run();
    CHECK(report["clean"] == false);
    CHECK(report["account"]["ended"] < report["account"]["started"]);
  }
  SECTION("and is not clean when the execution counts of the workers cannot be read") {
    fixture.topology.worker_control = {"127.0.0.1", 1};
    CHECK(fixture.Run()["clean"] == false);
  }
}

TEST_CASE("The planned calls depend only on the scenario and its seed") {
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
