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
  const auto answer = FetchJson(context.client, "GET", "/v1/daemons");
  if (!answer) {
    PrintFailure(answer.error(), context.format);
    return ExitStatus::kRefused;
  }
  const auto& body = answer->body;
  if (body.contains("error")) {
    PrintFailure(FailureFromJson(body), context.format);
    return ExitStatus::kRefused;
  }
  if (context.format == OutputFormat::kJson) {
    std::cout << body.dump() << '\n';
  } else {
    PrintObjects(body["daemons"]);
  }
  return ExitStatus::kDone;
}

}  // namespace buckthorncart
