#pragma once

#include <cstddef>

namespace qh::limits {

/** What the machine allows one process. */
struct ProcessLimits {
  /** Memory above which the process is killed, in MiB. */
  double memory_mb = 260;
  /** Open files, sockets and pipes together. */
  int max_descriptors = 4100;
};

/** Ranges of the settings that set ProcessLimits. */
inline constexpr double kMinMemoryMb = 32;
inline constexpr double kMaxMemoryMb = 1024.0 * 1024.0;
inline constexpr int kMinDescriptors = 256;
inline constexpr int kMaxDescriptors = 10'000'000;

}  // namespace qh::limits
