#include "Tool/operation_command.h"

#include <CLI/CLI.hpp>
#include <iostream>

#include "Base/json_text.h"
#include "Kernel/url_query.h"
#include "Tool/fetch_json.h"
#include "Tool/output.h"

namespace buckthorncart {

CLI::App* OperationCommand::Register(CLI::App& app) {
  CLI::App* command =
      app.add_subcommand("operation", "Show the result of an operation");
  command->add_option("id", id_, "operation id")->required();
  command->add_flag("--settle", settle_,
                    "withdraw it permanently unless it has been accepted");
  return command;
}

ExitStatus OperationCommand::Run(const CommandContext& context) {
  const std::string path =
      "/v1/operations/" + PercentEncode(id_) + (settle_ ? "?settle=yes" : "");
  const auto answer = FetchJson(context.client, "GET", path);
  if (!answer) {
    PrintFailure(answer.error(), context.format);
    return ExitStatus::kUndecided;
  }
  const auto& body = answer->body;
  if (context.format == OutputFormat::kJson)
    std::cout << FormatJson(body) << '\n';
  const std::string result = body.value("result", "");
  if (result == "accepted") {
    if (context.format == OutputFormat::kTable) {
      std::cout << "accepted version " << body["version"] << '\n';
    }
    return ExitStatus::kDone;
  }
  if (result == "withdrawn") {
    if (context.format == OutputFormat::kTable) {
      std::cout << "withdrawn; nothing was changed\n";
    }
    return ExitStatus::kRefused;
  }
  if (context.format == OutputFormat::kTable) {
    PrintFailure(FailureFromJson(body), context.format);
  }
  return ExitStatus::kUndecided;
}

}  // namespace buckthorncart
