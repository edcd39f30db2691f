#pragma once

#include <string>
#include <vector>

#include "quetzalhinge/base/random_id.h"

namespace qh::fuzz {

/**
 * Generates fuzz inputs by mutating well-formed samples: bytes and bits are changed, parts are
 * erased, duplicated, moved or truncated, tokens are inserted, and numbers are replaced by extreme
 * ones. The same seed gives the same inputs.
 */
class InputMutator {
 public:
  /** @param samples well-formed inputs, not empty */
  InputMutator(std::vector<std::string> samples, std::uint64_t seed);

  /** Returns a random sample with zero to four mutations. */
  std::string Next();

  /** Returns a random number from 0 to `bound` - 1. */
  std::size_t Draw(std::size_t bound);

 private:
  void Mutate(std::string& input);
  void ReplaceNumber(std::string& input, std::size_t position);

  std::vector<std::string> m_samples;
  RandomGenerator m_random;
};

}  // namespace qh::fuzz
