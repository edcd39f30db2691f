#include <catch2/catch.hpp>
#include <map>

#include "quetzalhinge/routes/route_table.h"

namespace qh::routes {

namespace {

Route MakeRoute(const std::string& name, const std::string& prefix, const std::string& service) {
  Route route;
  route.name = name;
  route.host = "shop.example";
  route.prefix = prefix;
  route.timeout = std::chrono::seconds(2);
  route.target_latency = std::chrono::milliseconds(600);
  route.targets = {{service, 1}};
  return route;
}

ServiceConfiguration MakeConfiguration(std::uint64_t version) {
  ServiceConfiguration configuration;
  configuration.version = version;
  configuration.services = {{"katalog", "/health", 220}, {"gudang", "/health", 220}};
  configuration.routes = {MakeRoute("prices", "/prices/", "katalog"),
                          MakeRoute("stock", "/prices/stock/", "gudang")};
  return configuration;
}

}  // namespace

SCENARIO("A route table finds routes and services in the active configuration") {
  GIVEN("a configuration with two nested prefixes") {
    RouteTable table;
    REQUIRE(table.Find("shop.example", "/prices/a") == nullptr);
    REQUIRE(table.Apply(MakeConfiguration(7)));

    WHEN("a path matches both") {
      THEN("the longest prefix wins") {
        CHECK(table.Find("shop.example", "/prices/stock/a")->name == "stock");
        CHECK(table.Find("shop.example", "/prices/a")->name == "prices");
      }
      THEN("the host may be written with a port and in capitals") {
        CHECK(table.Find("SHOP.example:8641", "/prices/a")->name == "prices");
      }
    }
    WHEN("no prefix matches") {
      THEN("there is no route") {
        CHECK(table.Find("shop.example", "/price") == nullptr);
        CHECK(table.Find("other.example", "/prices/a") == nullptr);
      }
    }
    WHEN("an older or the same version is applied") {
      THEN("it is ignored") {
        CHECK_FALSE(table.Apply(MakeConfiguration(7)));
        CHECK_FALSE(table.Apply(MakeConfiguration(6)));
        CHECK(table.Configuration().version == 7);
      }
    }
    WHEN("a later version removes a route") {
      ServiceConfiguration later = MakeConfiguration(9);
      later.routes.pop_back();
      REQUIRE(table.Apply(later));
      THEN("its requests match the shorter prefix") {
        CHECK(table.Find("shop.example", "/prices/stock/a")->name == "prices");
      }
    }
  }

  GIVEN("a route that is split 90 to 10") {
    RouteTable table;
    ServiceConfiguration configuration = MakeConfiguration(1);
    configuration.routes[0].targets = {{"katalog", 90}, {"gudang", 10}};
    REQUIRE(table.Apply(configuration));
    THEN("100 requests are divided exactly") {
      std::map<std::string, int> counts;
      for (int i = 0; i < 100; ++i) {
        ++counts[table.NextService(*table.Find("shop.example", "/prices/a"))];
      }
      CHECK(counts["katalog"] == 90);
      CHECK(counts["gudang"] == 10);
    }
    THEN("a new version with the same targets does not restart the sequence") {
      for (int i = 0; i < 5; ++i) {
        table.NextService(*table.Find("shop.example", "/prices/a"));
      }
      configuration.version = 2;
      REQUIRE(table.Apply(configuration));
      int gudang = 0;
      for (int i = 0; i < 5; ++i) {
        gudang += table.NextService(*table.Find("shop.example", "/prices/a")) == "gudang" ? 1 : 0;
      }
      CHECK(gudang == 1);
    }
  }

  GIVEN("invalid configurations") {
    const auto is_valid = [](const ServiceConfiguration& configuration) {
      return IsOk(CheckConfiguration(configuration));
    };
    ServiceConfiguration configuration = MakeConfiguration(1);
    REQUIRE(is_valid(configuration));
    SECTION("unknown service") { configuration.routes[0].targets = {{"none", 1}}; }
    SECTION("prefix without a slash at the end") { configuration.routes[0].prefix = "/prices"; }
    SECTION("no target") { configuration.routes[0].targets.clear(); }
    SECTION("weights of 0") { configuration.routes[0].targets[0].weight = 0; }
    SECTION("negative weight") { configuration.routes[0].targets.push_back({"gudang", -1}); }
    SECTION("no timeout") { configuration.routes[0].timeout = std::chrono::milliseconds(0); }
    SECTION("no attempt") { configuration.routes[0].max_attempts = 0; }
    SECTION("two routes with the same host and prefix") {
      configuration.routes[1].prefix = "/prices/";
    }
    SECTION("two services with the same name") { configuration.services[1].name = "katalog"; }
    CHECK_FALSE(is_valid(configuration));
  }
}

}  // namespace qh::routes
