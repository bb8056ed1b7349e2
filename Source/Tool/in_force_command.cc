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
/// Longest wait of one request, so that it ends before the tool's timeout.
constexpr Duration kStep = 1s;

bool IsEverywhere(const nlohmann::ordered_json& body) {
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
      app.add_subcommand("in-force", "Tell where a version is in force");
  command->add_option("version", version_, "version; 0 for the current one")
      ->capture_default_str();
  command->add_option("--wait", wait_seconds_, "longest wait, seconds")
      ->check(CLI::Range(0U, kMaxWaitSeconds))
      ->capture_default_str();
  return command;
}

Result<nlohmann::ordered_json> InForceCommand::Await(
    const CommandContext& context) const {
  const bool progress = wait_seconds_ > 0 && isatty(STDERR_FILENO) == 1;
  const Time end = Loop::Now() + std::chrono::seconds(wait_seconds_);
  uint64_t version = version_;
  while (true) {
    const Duration left = std::max(end - Loop::Now(), Duration::zero());
    const std::string path =
        "/v1/in-force?version=" + std::to_string(version) +
        "&wait-ms=" + std::to_string(ToMilliseconds(std::min(left, kStep)));
    auto body = FetchOrFail(context.client, "GET", path);
    if (!body) return body;
    // Later steps ask about the version that was current at the first one.
    version = body->value("version", version);
    if (progress) PrintProgress(*body);
    if (!IsEverywhere(*body) && Loop::Now() < end) continue;
    if (progress) std::cerr << '\n';
    return body;
  }
}

ExitStatus InForceCommand::Run(const CommandContext& context) {
  const auto body = Await(context);
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
  return IsEverywhere(*body) ? ExitStatus::kDone : ExitStatus::kUndecided;
}

}  // namespace buckthorncart
