#include "Tool/in_force_command.h"

#include <unistd.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <iostream>

#include "Net/loop.h"
#include "Tool/fetch_json.h"
#include "Tool/output.h"

namespace buckthorncart {
namespace {

constexpr uint32_t kMaxWaitSeconds = 600;
/// Longest wait of one poll, so that it ends before the timeout of the tool.
constexpr Duration kMaxPollWait = 1s;

bool IsInForceEverywhere(const nlohmann::ordered_json& body) {
  return body.value("in_force_everywhere", false);
}

void PrintProgress(const nlohmann::ordered_json& body) {
  std::cerr << "\rversion " << body["version"] << " in force on "
            << body["in_force"] << " of " << body["daemons"] << " daemons"
            << std::flush;
}

}  // namespace

CLI::App* InForceCommand::Register(CLI::App& app) {
  CLI::App* command =
      app.add_subcommand("in-force", "Show where a version is in force");
  command->add_option("version", version_, "version; 0 for the current one")
      ->capture_default_str();
  command->add_option("--wait", wait_seconds_, "maximum wait, seconds")
      ->check(CLI::Range(0U, kMaxWaitSeconds))
      ->capture_default_str();
  return command;
}

Result<nlohmann::ordered_json> InForceCommand::PollUntilInForce(
    const CommandContext& context) const {
  const bool progress = wait_seconds_ > 0 && isatty(STDERR_FILENO) == 1;
  const Time end = Loop::Now() + std::chrono::seconds(wait_seconds_);
  uint64_t version = version_;
  while (true) {
    const Duration left = std::max(end - Loop::Now(), Duration::zero());
    const std::string path =
        "/v1/in-force?version=" + std::to_string(version) + "&wait-ms=" +
        std::to_string(ToMilliseconds(std::min(left, kMaxPollWait)));
    auto body = FetchOrFail(context.client, "GET", path);
    if (!body) return body;
    // Version 0 resolves to the current version in the first poll; later polls
    // ask about the same version.
    version = body->value("version", version);
    if (progress) PrintProgress(*body);
    if (!IsInForceEverywhere(*body) && Loop::Now() < end) continue;
    if (progress) std::cerr << '\n';
    return body;
  }
}

ExitStatus InForceCommand::Run(const CommandContext& context) {
  const auto body = PollUntilInForce(context);
  if (!body) return ReportFailure(body.error(), context.format);
  if (context.format == OutputFormat::kJson) {
    std::cout << body->dump() << '\n';
  } else {
    std::cout << "version " << body->at("version") << " in force on "
              << body->at("in_force") << " of " << body->at("daemons")
              << " daemons\n";
    PrintNames("behind", body->at("behind"));
    PrintNames("unreachable", body->at("unreachable"));
    PrintNames("gone", body->at("gone"));
  }
  return IsInForceEverywhere(*body) ? ExitStatus::kDone
                                    : ExitStatus::kUndecided;
}

}  // namespace buckthorncart
