#pragma once

#include <cstdint>
#include <random>
#include <string>

namespace qh {

/** Random generator, passed as an argument so that tests can use a fixed seed. */
using RandomGenerator = std::mt19937_64;

/** Returns a generator that is seeded by the operating system. */
RandomGenerator MakeSeededGenerator();

/** Returns `value` as 16 lower-case hexadecimal digits. */
std::string ToHex(std::uint64_t value);

/** Returns a random identifier of 16 lower-case hexadecimal digits. */
std::string MakeRandomId(RandomGenerator& generator);

}  // namespace qh
