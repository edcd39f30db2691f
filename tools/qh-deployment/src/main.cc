#include <cstdio>
#include <filesystem>
#include <fstream>

#include "deployment_files.h"
#include "quetzalhinge/logging/log.h"
#include "quetzalhinge/settings/command_line.h"
#include "quetzalhinge/standin/program.h"

namespace qh::deployment {
namespace {

constexpr const char* kProgram = "qh-deployment";

bool WriteFile(const std::filesystem::path& path, const std::string& text) {
  std::error_code error;
  std::filesystem::create_directories(path.parent_path(), error);
  std::ofstream output(path);
  output << text;
  output.close();
  return output.good();
}

int Run(int argc, const char** argv) {
  const settings::CommandLine command_line = settings::ParseCommandLineOrExit(
      {kProgram,
       "Generates the settings of all entry VMs and stand-ins, the contracts and the topology file "
       "for qh-load of the deployment that --settings describes (see examples/).",
       "",
       {{"out", "output folder, created if it does not exist (default deployment)", "FOLDER"}}},
      argc, argv);
  const DeploymentResult result =
      ParseDeployment(standin::ReadSettingsOrExit(kProgram, command_line));
  standin::ExitOnProblemsOrCheck(command_line, result.problems);

  logging::StartLogging(kProgram);
  const std::filesystem::path folder = command_line.ValueOr("out", "deployment");
  const std::vector<GeneratedFile> files = GenerateFiles(result.deployment);
  for (const GeneratedFile& file : files) {
    if (!WriteFile(folder / file.path, file.text)) {
      return standin::FailAtRunTime(
          "files", Error{ErrorCode::kUnavailable, "write", (folder / file.path).string(),
                         "cannot write the generated file"});
    }
  }
  std::printf("%zu files written to %s\n", files.size(), folder.string().c_str());
  return static_cast<int>(settings::ExitCode::kSuccess);
}

}  // namespace
}  // namespace qh::deployment

int main(int argc, const char** argv) { return qh::deployment::Run(argc, argv); }
