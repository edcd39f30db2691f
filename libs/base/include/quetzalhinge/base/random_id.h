#pragma once

#include <cstdint>
#include <random>
#include <string>

namespace qh {

/** The random generator that decision modules take as an argument. */
using RandomGenerator = std::mt19937_64;

/** Returns a generator seeded from the operating system. */
RandomGenerator MakeSeededGenerator();

/** Returns `value` as 16 lower-case hexadecimal digits. */
std::string ToHex(std::uint64_t value);

/** Returns a random identifier of 16 lower-case hexadecimal digits. */
std::string MakeRandomId(RandomGenerator& generator);

}  // namespace qh
