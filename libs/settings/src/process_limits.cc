#include "quetzalhinge/settings/process_limits.h"

namespace qh::settings {
namespace {

constexpr double kMaxMemoryMb = 1024.0 * 1024.0;
constexpr int kMaxDescriptors = 10'000'000;

}  // namespace

ProcessLimits ReadProcessLimits(SettingsReader& reader) {
  ProcessLimits limits;
  limits.memory_mb =
      reader.Number("limits", "memory_mb", kMinMemoryMb, kMaxMemoryMb, limits.memory_mb);
  limits.max_descriptors = static_cast<int>(reader.Integer(
      "limits", "max_descriptors", kMinDescriptors, kMaxDescriptors, limits.max_descriptors));
  return limits;
}

}  // namespace qh::settings
