#pragma once

#include "quetzalhinge/settings/settings_reader.h"

namespace qh::settings {

/** What the machine allows one process. */
struct ProcessLimits {
  /** Memory above which the process is killed, in MiB. */
  double memory_mb = 260;
  /** Open files, sockets and pipes together. */
  int max_descriptors = 4100;
};

/** Smallest memory and number of descriptors with which the programs can work. */
inline constexpr double kMinMemoryMb = 32;
inline constexpr int kMinDescriptors = 256;

/** Reads [limits] memory_mb and max_descriptors and checks their ranges. */
ProcessLimits ReadProcessLimits(SettingsReader& reader);

}  // namespace qh::settings
