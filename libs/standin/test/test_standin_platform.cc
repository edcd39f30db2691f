#include "quetzalhinge/standin/standin_platform.h"
#include "test_peer.h"

namespace qh::standin {
namespace {

using nlohmann::json;

VmRecord MakeVm(const std::string& name) {
  VmRecord vm;
  vm.name = name;
  vm.zone = "jawa-barat";
  vm.ip = "127.0.1.1";
  vm.port = 8000;
  return vm;
}

json Transaction(const std::string& key, int version, const json& value) {
  return {{"conditions", {{{"key", key}, {"version", version}}}},
          {"writes", {{{"key", key}, {"value", value}}}}};
}

TEST_CASE("The platform serves its table, its objects and its VM list") {
  net::EventLoop loop;
  StandinPlatform platform(loop, {{"127.0.0.1", 0}, {MakeVm("jb-1"), MakeVm("jb-2")}, {}});
  REQUIRE(IsOk(platform.Start()));
  TestPeer peer(loop, platform.LocalEndpoint());

  SECTION("a row is written once under the condition that it is absent") {
    CHECK(peer.Get("/v1/table/rows/head").status == 404);
    const json write = Transaction("head", 0, {{"revision", 1}});
    CHECK(peer.Post("/v1/table/transactions", write).status == 200);
    const auto second = peer.Post("/v1/table/transactions", write);
    CHECK(second.status == 409);
    CHECK(json::parse(second.body.Bytes()) ==
          json{{"applied", false}, {"key", "head"}, {"version", 1}});
    CHECK(json::parse(peer.Get("/v1/table/rows/head").body.Bytes()) ==
          json{{"key", "head"}, {"version", 1}, {"value", {{"revision", 1}}}});
  }
  SECTION("no write of a transaction is applied if one condition fails") {
    json two = Transaction("a", 0, 1);
    two["conditions"].push_back({{"key", "b"}, {"version", 7}});
    two["writes"].push_back({{"key", "b"}, {"value", 2}});
    CHECK(peer.Post("/v1/table/transactions", two).status == 409);
    CHECK(peer.Get("/v1/table/rows/a").status == 404);
  }
  SECTION("rows are listed by prefix in key order, with pagination and percent-encoded keys") {
    for (const char* key : {"log/2", "log/1", "other", "log/3"}) {
      peer.Post("/v1/table/transactions", Transaction(key, 0, key));
    }
    const json rows =
        json::parse(peer.Get("/v1/table/rows?prefix=log%2F&after=log/1&limit=1").body.Bytes());
    REQUIRE(rows["rows"].size() == 1);
    CHECK(rows["rows"][0]["key"] == "log/2");
    CHECK(peer.Get("/v1/table/rows/log%2F3").status == 200);
  }
  SECTION("an object is returned unchanged") {
    peer.Call({"PUT", "/v1/objects/a", {}, "bytes"});
    CHECK(peer.Get("/v1/objects/a").body == "bytes");
    CHECK(peer.Get("/v1/objects/b").status == 404);
  }
  SECTION("a write whose response is lost has been applied") {
    peer.Post("/standin/faults", {{"lose_answers", 1}});
    const auto lost =
        peer.Call({"POST", "/v1/table/transactions", {}, Transaction("a", 0, 1).dump()});
    REQUIRE(std::holds_alternative<http::HttpCallFailure>(lost));
    CHECK(std::get<http::HttpCallFailure>(lost).stage == http::CallStage::kSent);
    CHECK(peer.Get("/v1/table/rows/a").status == 200);
    CHECK(peer.Post("/v1/table/transactions", Transaction("a", 1, 2)).status == 200);
  }
  SECTION("during an outage, requests get 503 or no response; afterwards they succeed") {
    peer.Post("/standin/faults", {{"down", true}});
    CHECK(peer.Get("/v1/vms").status == 503);
    peer.Post("/standin/faults", {{"down", false}, {"silent", true}});
    CHECK(std::holds_alternative<http::HttpCallFailure>(
        peer.Call({"GET", "/v1/vms", {}, ""}, std::chrono::milliseconds(50))));
    peer.Post("/standin/faults", {{"silent", false}, {"delay_ms", 5}});
    CHECK(peer.Get("/v1/vms").status == 200);
  }
  SECTION("state changes, additions and removals of VMs appear in the list, unless it is frozen") {
    peer.Post("/standin/vms", {{"state", {{"jb-1", "leaving"}}},
                               {"remove", {"jb-2"}},
                               {"add", {ToJson(MakeVm("jb-3"))}}});
    const json list = json::parse(peer.Get("/v1/vms").body.Bytes())["vms"];
    REQUIRE(list.size() == 2);
    CHECK(list[0]["state"] == "leaving");
    CHECK(list[1]["name"] == "jb-3");
    peer.Post("/standin/faults", {{"frozen_vm_list", true}});
    peer.Post("/standin/vms", {{"remove", {"jb-1"}}});
    CHECK(json::parse(peer.Get("/v1/vms").body.Bytes())["vms"].size() == 2);
    peer.Post("/standin/faults", {{"frozen_vm_list", false}});
    CHECK(json::parse(peer.Get("/v1/vms").body.Bytes())["vms"].size() == 1);
  }
  SECTION("a malformed control request is refused and has no effect") {
    CHECK(peer.Post("/standin/faults", {{"down", "yes"}}).status == 400);
    CHECK(peer.Get("/v1/vms").status == 200);
  }
}

TEST_CASE("A change of the VM list appears only after the lag") {
  net::EventLoop loop;
  StandinPlatform platform(loop,
                           {{"127.0.0.1", 0}, {MakeVm("jb-1")}, std::chrono::milliseconds(300)});
  REQUIRE(IsOk(platform.Start()));
  TestPeer peer(loop, platform.LocalEndpoint());
  peer.Post("/standin/vms", {{"remove", {"jb-1"}}});
  const TimePoint removed = loop.Now();
  REQUIRE(
      RunUntil(loop, [&] { return json::parse(peer.Get("/v1/vms").body.Bytes())["vms"].empty(); }));
  // Only a lower bound can be checked on a busy machine. It is below the lag of 300 ms, because
  // part of the lag passes before the response to the POST arrives.
  CHECK(loop.Now() - removed >= std::chrono::milliseconds(100));
}

}  // namespace
}  // namespace qh::standin
