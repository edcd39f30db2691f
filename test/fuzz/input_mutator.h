#pragma once

#include <string>
#include <vector>

#include "quetzalhinge/base/random_id.h"

namespace qh::fuzz {

/**
 * Spoils inputs that are well formed: bytes are changed, dropped, doubled, moved, cut off, and
 * numbers replaced by extreme ones. The same seed gives the same inputs.
 */
class InputMutator {
 public:
  /** @param samples well-formed inputs, not empty */
  InputMutator(std::vector<std::string> samples, std::uint64_t seed);

  /** Returns one of the samples with up to four changes, sometimes none. */
  std::string Next();

  /** Returns a number from 0 to `bound` - 1. */
  std::size_t Draw(std::size_t bound);

 private:
  void ChangeOnce(std::string& input);
  void ReplaceNumber(std::string& input, std::size_t position);

  std::vector<std::string> m_samples;
  RandomGenerator m_random;
};

}  // namespace qh::fuzz
