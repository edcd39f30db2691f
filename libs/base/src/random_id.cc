#include "quetzalhinge/base/random_id.h"

#include <string_view>

namespace qh {

RandomGenerator MakeSeededGenerator() {
  std::random_device device;
  std::seed_seq seed{device(), device(), device(), device()};
  return RandomGenerator(seed);
}

std::string ToHex(std::uint64_t value) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  constexpr int kHexDigits = 16;
  std::string text(kHexDigits, '0');
  for (int i = kHexDigits - 1; i >= 0; --i) {
    text[static_cast<std::size_t>(i)] = kDigits[value & 0xf];
    value >>= 4;
  }
  return text;
}

std::string MakeRandomId(RandomGenerator& generator) { return ToHex(generator()); }

}  // namespace qh
