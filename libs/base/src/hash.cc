#include "quetzalhinge/base/hash.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace qh {

std::uint64_t HashBytes(std::string_view data, std::uint64_t seed) noexcept {
  return XXH3_64bits_withSeed(data.data(), data.size(), seed);
}

std::uint64_t HashParts(std::initializer_list<std::string_view> parts) noexcept {
  std::uint64_t hash = 0;
  for (const std::string_view part : parts) {
    hash = HashBytes(part, hash + part.size());
  }
  return hash;
}

}  // namespace qh
