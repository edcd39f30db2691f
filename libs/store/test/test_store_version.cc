#include <catch2/catch.hpp>

#include "quetzalhinge/store/store_version.h"

namespace qh::store {

SCENARIO("Versions of a store are ordered over all of its histories") {
  const std::uint64_t lost = *MakeVersion(1, 530);
  const std::uint64_t after_loss = *MakeVersion(2, 412);
  CHECK(after_loss > lost);
  CHECK(*MakeVersion(2, 413) > after_loss);
  CHECK(*MakeVersion(1, kMaxChange) < *MakeVersion(2, 0));
  CHECK(EraOf(after_loss) == 2);
  CHECK(ChangeOf(after_loss) == 412);
  CHECK(FormatVersion(after_loss) == "2.412");

  GIVEN("a store that does not state its history") {
    THEN("its versions are the numbers of its changes") { CHECK(MakeVersion(0, 412) == 412); }
  }
  GIVEN("numbers that are too large for a version") {
    CHECK_FALSE(MakeVersion(kMaxEra + 1, 0).has_value());
    CHECK_FALSE(MakeVersion(0, kMaxChange + 1).has_value());
    CHECK(MakeVersion(kMaxEra, kMaxChange).has_value());
  }
}

}  // namespace qh::store
