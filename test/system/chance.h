#pragma once

#include <cstdint>
#include <random>

namespace qh::test {

/** Source of random choices. The same seed gives the same choices, but not the same timing. */
class Chance {
 public:
  explicit Chance(std::uint64_t seed) : m_generator(seed) {}
  /** Returns a random integer from 0 to `bound` - 1. */
  int Below(int bound) {
    return static_cast<int>(m_generator() % static_cast<std::uint64_t>(bound));
  }

 private:
  std::mt19937_64 m_generator;
};

}  // namespace qh::test
