#pragma once

#include <cstdint>
#include <random>

namespace qh::test {

/** Random choices; the seed makes a run's choices repeatable, though not its timing. */
class Chance {
 public:
  explicit Chance(std::uint64_t seed) : m_generator(seed) {}
  int Below(int bound) {
    return static_cast<int>(m_generator() % static_cast<std::uint64_t>(bound));
  }

 private:
  std::mt19937_64 m_generator;
};

}  // namespace qh::test
