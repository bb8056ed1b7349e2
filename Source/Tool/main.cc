/// \file
/// `buckthorncart`, the operators' command-line tool.

#include <CLI/CLI.hpp>
#include <iostream>
#include <memory>
#include <vector>

#include "Base/version.h"
#include "Tool/apply_command.h"
#include "Tool/command.h"
#include "Tool/daemons_command.h"
#include "Tool/explain_command.h"
#include "Tool/in_force_command.h"
#include "Tool/metrics_command.h"
#include "Tool/operation_command.h"
#include "Tool/operator_client.h"
#include "Tool/output.h"
#include "Tool/report_command.h"
#include "Tool/show_command.h"

namespace buckthorncart {
namespace {

std::vector<std::unique_ptr<Command>> CreateCommands() {
  std::vector<std::unique_ptr<Command>> commands;
  commands.push_back(std::make_unique<ApplyCommand>());
  commands.push_back(std::make_unique<ShowCommand>());
  commands.push_back(std::make_unique<InForceCommand>());
  commands.push_back(std::make_unique<OperationCommand>());
  commands.push_back(std::make_unique<DaemonsCommand>());
  commands.push_back(std::make_unique<ReportCommand>());
  commands.push_back(std::make_unique<MetricsCommand>());
  commands.push_back(std::make_unique<ExplainCommand>());
  return commands;
}

ExitStatus UsageError(const Failure& failure) {
  PrintFailure(failure, OutputFormat::kTable);
  return ExitStatus::kUsage;
}

ExitStatus RunTool(int argc, char** argv) {
  CLI::App app("buckthorncart, the operators' tool");
  app.set_version_flag("--version", std::string(kVersion));
  app.require_subcommand(1);
  app.fallthrough();
  std::vector<std::string> daemons = {"127.0.0.1:7402"};
  app.add_option("--daemon", daemons,
                 "IP:PORT of operators' interfaces of daemons, tried in order")
      ->delimiter(',')
      ->allow_extra_args(false)
      ->envname("BUCKTHORNCART_DAEMON")
      ->capture_default_str();
  uint32_t timeout_ms = 15'000;
  app.add_option("--timeout", timeout_ms, "maximum wait for an answer, ms")
      ->envname("BUCKTHORNCART_TIMEOUT")
      ->check(CLI::Range(1U, 3'600'000U))
      ->capture_default_str();
  std::string format_name = "table";
  app.add_option("--format", format_name, NamesOf<OutputFormat>())
      ->envname("BUCKTHORNCART_FORMAT")
      ->capture_default_str();
  const auto commands = CreateCommands();
  std::vector<CLI::App*> registered;
  registered.reserve(commands.size());
  for (const auto& command : commands) {
    registered.push_back(command->Register(app));
  }
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    if (error.get_exit_code() == 0) {
      app.exit(error);
      return ExitStatus::kDone;
    }
    std::string subject = error.what();
    for (const std::string& word : app.remaining()) {
      if (subject.find(word) == std::string::npos) subject += ", not " + word;
    }
    return UsageError({Errc::kInvalidSetting, subject,
                       "a command and flags as --help lists them",
                       "run buckthorncart --help"});
  }
  const auto format = ParseEnum<OutputFormat>(format_name);
  if (!format) {
    return UsageError({Errc::kInvalidSetting, "--format " + format_name,
                       NamesOf<OutputFormat>(), "use one of these values"});
  }
  std::vector<Address> addresses;
  for (const std::string& text : daemons) {
    const auto address = Address::Parse(text);
    if (!address) return UsageError(address.error());
    addresses.push_back(*address);
  }
  const OperatorClient client(addresses, std::chrono::milliseconds(timeout_ms));
  for (size_t i = 0; i < commands.size(); ++i) {
    if (!registered[i]->parsed()) continue;
    return commands[i]->Run({client, *format});
  }
  return ExitStatus::kUsage;
}

}  // namespace
}  // namespace buckthorncart

int main(int argc, char** argv) {
  return static_cast<int>(buckthorncart::RunTool(argc, argv));
}
