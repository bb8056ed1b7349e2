#include "Tool/in_force_command.h"

#include <CLI/CLI.hpp>
#include <iostream>

#include "Tool/fetch_json.h"
#include "Tool/output.h"

namespace buckthorncart {
namespace {

constexpr uint32_t kMaxWaitSeconds = 600;

void PrintNames(const char* title, const nlohmann::ordered_json& names) {
  for (const auto& name : names) {
    std::cout << title << ": " << CellText(name) << '\n';
  }
}

}  // namespace

CLI::App* InForceCommand::Register(CLI::App& app) {
  CLI::App* command =
      app.add_subcommand("in-force", "Tell where a version is in force");
  command->add_option("version", version_, "version; 0 for the current one")
      ->capture_default_str();
  command->add_option("--wait", wait_seconds_, "longest wait, seconds")
      ->check(CLI::Range(0U, kMaxWaitSeconds))
      ->capture_default_str();
  return command;
}

ExitStatus InForceCommand::Run(const CommandContext& context) {
  constexpr uint32_t kMsPerSecond = 1'000;
  const std::string path =
      "/v1/in-force?version=" + std::to_string(version_) +
      "&wait-ms=" + std::to_string(wait_seconds_ * kMsPerSecond);
  const auto answer = FetchJson(context.client, "GET", path);
  if (!answer) {
    PrintFailure(answer.error(), context.format);
    return ExitStatus::kRefused;
  }
  const auto& body = answer->body;
  if (body.contains("error")) {
    PrintFailure(FailureFromJson(body), context.format);
    return ExitStatus::kRefused;
  }
  const bool everywhere = body.value("in_force_everywhere", false);
  if (context.format == OutputFormat::kJson) {
    std::cout << body.dump() << '\n';
  } else {
    std::cout << "version " << body["version"] << " in force on "
              << body["in_force"] << " of " << body["daemons"] << " daemons\n";
    PrintNames("behind", body["behind"]);
    PrintNames("unreachable", body["unreachable"]);
    PrintNames("gone", body["gone"]);
  }
  return everywhere ? ExitStatus::kDone : ExitStatus::kUndecided;
}

}  // namespace buckthorncart
