#pragma once

#include <string>
#include <vector>

#include "deployment.h"

namespace qh::deployment {

/** A file to write. The path is relative to the output folder. */
struct GeneratedFile {
  std::string path;
  std::string text;
};

/**
 * Returns the files of a deployment: vm-<name>.ini for each entry VM, platform.ini, workers.ini,
 * contracts/<customer>.ini, operator.token, and topology.ini for qh-load.
 */
std::vector<GeneratedFile> GenerateFiles(const Deployment& deployment);

}  // namespace qh::deployment
