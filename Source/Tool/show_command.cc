#include "Tool/show_command.h"

#include <CLI/CLI.hpp>
#include <iostream>

#include "Tool/fetch_json.h"
#include "Tool/output.h"

namespace buckthorncart {
namespace {

void PrintDaemon(const nlohmann::ordered_json& answer,
                 const std::string& subject) {
  std::cout << "version " << answer["version"] << " on "
            << CellText(answer["daemon"])
            << (answer.value("ready", true) ? "" : " (not ready)") << '\n';
  PrintObjects(answer.value(subject, nlohmann::ordered_json::array()));
}

}  // namespace

CLI::App* ShowCommand::Register(CLI::App& app) {
  CLI::App* command = app.add_subcommand(
      "show", "List the services, routes, rules or daemons in force");
  command
      ->add_option("words", words_,
                   "services | routes | rules | daemons, then where "
                   "KEY=VALUE … at VM | DATA-CENTRE")
      ->required();
  return command;
}

ExitStatus ShowCommand::Run(const CommandContext& context) {
  std::string text = "show";
  for (const std::string& word : words_) text += " " + word;
  const auto body = FetchOrFail(context.client, "POST", "/v1/query", text);
  if (!body) return ReportFailure(body.error(), context.format);
  const auto missing = body->value("missing", nlohmann::ordered_json::array());
  if (context.format == OutputFormat::kJson) {
    std::cout << body->dump() << '\n';
  } else if (body->contains("at")) {
    for (const auto& answer : body->at("daemons")) {
      PrintDaemon(answer, words_.front());
    }
    PrintNames("did not answer", missing);
  } else {
    PrintDaemon(*body, words_.front());
  }
  return missing.empty() ? ExitStatus::kDone : ExitStatus::kUndecided;
}

}  // namespace buckthorncart
