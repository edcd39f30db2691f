#include <catch2/catch.hpp>
#include <string>

#include "quetzalhinge/gateway/row_copy.h"

namespace qh::gateway {

using namespace std::chrono_literals;

namespace {

store::StoredRow MakeRow(const std::string& key, std::uint64_t version,
                         const std::string& value = "value") {
  return {key, value, version, false};
}

store::StoredRow MakeRemoval(const std::string& key, std::uint64_t version) {
  return {key, "", version, true};
}

}  // namespace

SCENARIO("A row copy returns the changes since any version that it still knows") {
  RowCopy copy;
  copy.Apply({{MakeRow("a", 3), MakeRow("b", 5)}, 10}, true);

  THEN("there are no changes since its own version") {
    REQUIRE(copy.ChangesSince(10).has_value());
    CHECK(copy.ChangesSince(10)->rows.empty());
  }
  THEN("removals before its first read are unknown") {
    CHECK_FALSE(copy.ChangesSince(9).has_value());
  }
  WHEN("a row becomes too large to relay") {
    store::StoredRow large = MakeRow("a", 12);
    large.value.assign(kMaxRelayedBytes + 1, 'x');
    copy.Apply({{large}, 12}, false);
    THEN("it is among the changes, and its value is omitted") {
      const auto changes = copy.ChangesSince(10);
      REQUIRE(changes.has_value());
      REQUIRE(changes->rows.size() == 1);
      CHECK(changes->rows[0].version == 12);
      CHECK(copy.HasOmittedValue(*changes));
      CHECK(copy.HasOmittedValue(copy.All()));
    }
    THEN("other rows are still relayed") {
      copy.Apply({{MakeRow("b", 13)}, 13}, false);
      CHECK_FALSE(copy.HasOmittedValue(*copy.ChangesSince(12)));
    }
    THEN("it is relayed again when it is small enough") {
      copy.Apply({{MakeRow("a", 14)}, 14}, false);
      CHECK_FALSE(copy.HasOmittedValue(copy.All()));
      CHECK(copy.All().rows[0].value == MakeRow("a", 14).value);
    }
  }
  WHEN("rows are changed and removed") {
    copy.Apply({{MakeRow("a", 12), MakeRemoval("b", 13)}, 14}, false);
    THEN("both are among the changes, in order of version") {
      const auto changes = copy.ChangesSince(11);
      REQUIRE(changes->rows.size() == 2);
      CHECK(changes->rows[0].key == "a");
      CHECK(changes->rows[1].removed);
      CHECK(copy.NewestChange() == 13);
    }
    THEN("a row that was added again is not reported as removed") {
      copy.Apply({{MakeRow("b", 15)}, 15}, false);
      const auto changes = copy.ChangesSince(11);
      REQUIRE(changes->rows.size() == 2);
      CHECK_FALSE(changes->rows[0].removed);
      CHECK_FALSE(changes->rows[1].removed);
    }
  }
  THEN("encoded rows are decoded to the same rows") {
    const RelayedRows sent{copy.All(), 250ms, 900ms, 40ms};
    const auto received = DecodeRows("peer", EncodeRows(sent));
    REQUIRE(IsOk(received));
    CHECK(ValueOf(received).rows.rows.size() == 2);
    CHECK(ValueOf(received).rows.version == 10);
    CHECK(ValueOf(received).age == Duration(250ms));
    CHECK(ValueOf(received).held == Duration(900ms));
    CHECK(ValueOf(received).since_outage == Duration(40ms));
  }
  THEN("malformed text is an error") { CHECK_FALSE(IsOk(DecodeRows("peer", "{\"version\":1}"))); }
}

}  // namespace qh::gateway
