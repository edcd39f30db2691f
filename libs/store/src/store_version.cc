#include "quetzalhinge/store/store_version.h"

namespace qh::store {
namespace {

constexpr int kChangeBits = 48;

}  // namespace

std::optional<std::uint64_t> MakeVersion(std::uint64_t era, std::uint64_t change) noexcept {
  return era <= kMaxEra && change <= kMaxChange ? std::optional((era << kChangeBits) | change)
                                                : std::nullopt;
}

std::uint64_t EraOf(std::uint64_t version) noexcept { return version >> kChangeBits; }

std::uint64_t ChangeOf(std::uint64_t version) noexcept { return version & kMaxChange; }

std::string FormatVersion(std::uint64_t version) {
  return std::to_string(EraOf(version)) + "." + std::to_string(ChangeOf(version));
}

}  // namespace qh::store
