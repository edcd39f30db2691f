#pragma once

#include <string>
#include <vector>

#include "deployment.h"

namespace qh::deployment {

/** One file with its path below the output folder. */
struct GeneratedFile {
  std::string path;
  std::string text;
};

/**
 * Returns all files of a deployment: vm-<name>.ini for each entry VM, platform.ini, workers.ini,
 * contracts/<customer>.ini, operator.token, and topology.ini for qh-load.
 */
std::vector<GeneratedFile> MakeFiles(const Deployment& deployment);

}  // namespace qh::deployment
