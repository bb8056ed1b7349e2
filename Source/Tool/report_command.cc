#include "Tool/report_command.h"

#include <CLI/CLI.hpp>
#include <iostream>

#include "Kernel/url_query.h"
#include "Tool/fetch_json.h"
#include "Tool/output.h"

namespace buckthorncart {

CLI::App* ReportCommand::Register(CLI::App& app) {
  CLI::App* command = app.add_subcommand("report", "Print a report");
  command->require_subcommand(1);
  CLI::App* burn = command->add_subcommand(
      "burn",
      "Remaining error budget and burn rate of each service's objectives");
  burn->add_option("--service", service_, "name of the only service to report");
  return command;
}

ExitStatus ReportCommand::Run(const CommandContext& context) {
  std::string path = "/v1/report/burn";
  if (!service_.empty()) path += "?service=" + PercentEncode(service_);
  const auto body = FetchOrFail(context.client, "GET", path);
  if (!body) return ReportFailure(body.error(), context.format);
  const auto& missing = body->at("missing");
  if (context.format == OutputFormat::kJson) {
    std::cout << body->dump() << '\n';
  } else {
    std::cout << "counts of " << body->at("daemons") << " daemons\n";
    PrintNames("did not answer", missing);
    PrintObjects(body->at("burn"));
  }
  return missing.empty() ? ExitStatus::kDone : ExitStatus::kUndecided;
}

}  // namespace buckthorncart
