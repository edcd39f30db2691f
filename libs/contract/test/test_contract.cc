#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "quetzalhinge/contract/contract_change.h"
#include "quetzalhinge/contract/contract_ini.h"
#include "quetzalhinge/contract/contract_json.h"

namespace qh::contract {
namespace {

constexpr const char* kSemarang =
    "[contract]\ncustomer = semarang\n"
    "[limits]\nrequests_per_second = 400\nburst = 80\nrequests_in_progress = 60\n"
    "[priority]\nclass = high          ; low, normal, high\n"
    "[service katalog]\ndeadline_ms = 2000\nidempotent = GET /, HEAD /\n"
    "[service pesanan]\ndeadline_ms = 5000\nidempotent = GET /stock, POST /search/\n";

Contract ParseValid(const std::string& text) {
  return std::get<Contract>(ParseContractIni("semarang.ini", text));
}

TEST_CASE("A contract is parsed from INI text") {
  const Contract contract = ParseValid(kSemarang);
  CHECK(contract.customer == "semarang");
  CHECK(contract.limits.requests_per_second == 400);
  CHECK(contract.limits.max_response_bytes == 4'194'304);
  CHECK(contract.priority == PriorityClass::kHigh);
  REQUIRE(contract.FindService("pesanan") != nullptr);
  CHECK(contract.FindService("pesanan")->deadline == std::chrono::milliseconds(5000));

  SECTION("its JSON form preserves all fields") {
    const Result<Contract> copy = ContractFromJson(ToJson(contract));
    REQUIRE(IsOk(copy));
    CHECK(ValueOf(copy) == contract);
  }
  SECTION("a JSON form with missing, unknown or invalid fields is refused") {
    // Guards against limits that are silently dropped, truncated to an integer or defaulted.
    const std::vector<nlohmann::json> patches{
        {{"op", "remove"}, {"path", "/limits/burst"}},
        {{"op", "add"}, {"path", "/limits/brust"}, {"value", 1}},
        {{"op", "replace"}, {"path", "/limits/burst"}, {"value", 1.5}},
        {{"op", "replace"}, {"path", "/limits/burst"}, {"value", true}},
        {{"op", "replace"}, {"path", "/limits/burst"}, {"value", UINT64_MAX}},
        {{"op", "replace"}, {"path", "/limits/retry_share"}, {"value", 2}},
        {{"op", "replace"}, {"path", "/priority"}, {"value", "urgent"}},
        {{"op", "replace"}, {"path", "/services"}, {"value", nlohmann::json::array()}},
        {{"op", "replace"}, {"path", "/services/0/deadline_ms"}, {"value", 600001}},
        {{"op", "replace"}, {"path", "/services/0/name"}, {"value", "pesanan"}},
        {{"op", "replace"}, {"path", "/services/0/idempotent"}, {"value", {"GET"}}},
    };
    for (const nlohmann::json& patch : patches) {
      CAPTURE(patch.dump());
      CHECK_FALSE(IsOk(ContractFromJson(ToJson(contract).patch(nlohmann::json::array({patch})))));
    }
  }
  SECTION("changes and removals can be restored from their JSON form") {
    ContractChange change{7, 3, "semarang", "op-1", "dewi", 12, nullptr};
    REQUIRE(IsOk(ContractChangeFromJson(ToJson(change))));
    CHECK(ValueOf(ContractChangeFromJson(ToJson(change))).IsRemoval());
    change.contract = std::make_shared<const Contract>(contract);
    const Result<ContractChange> copy = ContractChangeFromJson(ToJson(change));
    REQUIRE(IsOk(copy));
    CHECK(ToJson(ValueOf(copy)) == ToJson(change));
    change.customer = "solo";
    CHECK_FALSE(IsOk(ContractChangeFromJson(ToJson(change))));
  }
}

TEST_CASE("Every problem of a contract is reported with its line") {
  const auto result = ParseContractIni("c.ini",
                                       "[contract]\ncustomer = a b\n"
                                       "[limits]\nrequests_per_second = 0\nburst = 0\n"
                                       "retry_share = nan\nmax_bdy_bytes = 1\n"
                                       "[priority]\nclass = urgent\n"
                                       "[service kat/alog]\ndeadline_ms = 0\n"
                                       "idempotent = GET /, POST, GET /../x\n");
  const auto* problems = std::get_if<ContractProblems>(&result);
  REQUIRE(problems != nullptr);
  std::vector<int> lines;
  for (const settings::SettingsProblem& problem : *problems) {
    UNSCOPED_INFO(ToString(problem));
    lines.push_back(problem.line);
  }
  CHECK(lines == std::vector<int>{0, 2, 4, 5, 6, 7, 9, 10, 11, 12, 12});
}

TEST_CASE("A contract without services is refused") {
  const std::string text(kSemarang);
  const auto result = ParseContractIni("c.ini", text.substr(0, text.find("[service")));
  REQUIRE(std::holds_alternative<ContractProblems>(result));
  CHECK(std::get<ContractProblems>(result).size() == 1);
}

TEST_CASE("A request is idempotent only if the contract lists its route as idempotent") {
  // Guards against sending a non-idempotent request twice (guarantee P4).
  struct Row {
    const char* service;
    const char* method;
    const char* target;
    bool is_idempotent;
  };
  const std::vector<Row> rows{
      {"katalog", "GET", "/", true},
      {"katalog", "GET", "/a/../b", true},
      {"katalog", "POST", "/", false},
      {"katalog", "get", "/", false},
      {"katalog", "GET", "*", false},
      {"gudang", "GET", "/", false},
      {"pesanan", "GET", "/stock", true},
      {"pesanan", "GET", "/stock?id=../7", true},
      {"pesanan", "GET", "/stock/7/", true},
      {"pesanan", "GET", "/stockpile", false},
      {"pesanan", "GET", "/stock/../orders", false},
      {"pesanan", "GET", "/stock/..;x/orders", false},
      {"pesanan", "GET", "/stock/..", false},
      {"pesanan", "GET", "/stock//orders", false},
      {"pesanan", "GET", "/stock/%2e%2E/orders", false},
      {"pesanan", "GET", "/stock/..%2Forders", false},
      {"pesanan", "GET", "/stock/%5corders", false},
      {"pesanan", "GET", "/stock\\..\\orders", false},
      {"pesanan", "GET", "/stock/%", true},
      {"pesanan", "POST", "/search", false},
      {"pesanan", "POST", "/search/x", true},
  };
  const Contract contract = ParseValid(kSemarang);
  for (const Row& row : rows) {
    CAPTURE(row.service, row.method, row.target);
    CHECK(contract.IsIdempotent(row.service, row.method, row.target) == row.is_idempotent);
  }
}

}  // namespace
}  // namespace qh::contract
