#include "Tool/daemons_command.h"

#include <CLI/CLI.hpp>
#include <iostream>

#include "Tool/fetch_json.h"
#include "Tool/output.h"

namespace buckthorncart {

CLI::App* DaemonsCommand::Register(CLI::App& app) {
  return app.add_subcommand("daemons", "List daemons and backend servers");
}

ExitStatus DaemonsCommand::Run(const CommandContext& context) {
  const auto body = FetchOrFail(context.client, "GET", "/v1/daemons");
  if (!body) return ReportFailure(body.error(), context.format);
  if (context.format == OutputFormat::kJson) {
    std::cout << body->dump() << '\n';
  } else {
    PrintObjects(body->at("daemons"));
  }
  return ExitStatus::kDone;
}

}  // namespace buckthorncart
