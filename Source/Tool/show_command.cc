#include "Tool/show_command.h"

#include <CLI/CLI.hpp>
#include <iostream>

#include "Tool/fetch_json.h"
#include "Tool/output.h"

namespace buckthorncart {

CLI::App* ShowCommand::Register(CLI::App& app) {
  CLI::App* command = app.add_subcommand("show", "List what is in force");
  command
      ->add_option("words", words_,
                   "services | routes | rules, then where KEY=VALUE … at NAME")
      ->required();
  return command;
}

ExitStatus ShowCommand::Run(const CommandContext& context) {
  std::string text = "show";
  for (const std::string& word : words_) text += " " + word;
  const auto answer = FetchJson(context.client, "POST", "/v1/query", text);
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
    return ExitStatus::kDone;
  }
  std::cout << "version " << body["version"] << " on "
            << CellText(body["daemon"]) << '\n';
  PrintObjects(body.contains(words_.front()) ? body[words_.front()]
                                             : nlohmann::ordered_json::array());
  return ExitStatus::kDone;
}

}  // namespace buckthorncart
