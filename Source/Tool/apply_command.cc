#include "Tool/apply_command.h"

#include <CLI/CLI.hpp>
#include <fstream>
#include <iostream>
#include <sstream>

#include "Kernel/url_query.h"
#include "Tool/fetch_json.h"
#include "Tool/output.h"

namespace buckthorncart {

CLI::App* ApplyCommand::Register(CLI::App& app) {
  CLI::App* command =
      app.add_subcommand("apply", "Issue a change of the configuration");
  command->add_option("file", file_,
                      "file of statements, - for standard input");
  command->add_option("-e,--text", text_, "statements, instead of a file");
  command->add_option("--operation", operation_,
                      "operation id, to ask again without doing it twice");
  command->add_option("--base", base_,
                      "version that the change was written against");
  command->add_flag("--dry-run", dry_run_, "only tell what would change");
  return command;
}

Result<std::string> ApplyCommand::ReadText() const {
  if (!text_.empty()) return text_;
  std::ostringstream text;
  if (file_ == "-") {
    text << std::cin.rdbuf();
    return text.str();
  }
  std::ifstream in(file_);
  if (!in) {
    return Fail(Errc::kInvalidSetting, "file " + file_,
                "a readable file of statements", "name a file or use --text");
  }
  text << in.rdbuf();
  return text.str();
}

ExitStatus ApplyCommand::Run(const CommandContext& context) {
  const auto text = ReadText();
  if (!text) {
    PrintFailure(text.error(), context.format);
    return ExitStatus::kUsage;
  }
  std::string path =
      "/v1/changes?dry-run=" + std::string(dry_run_ ? "yes" : "no") +
      "&operation=" + PercentEncode(operation_);
  if (base_ != 0) path += "&base=" + std::to_string(base_);
  const auto answer = FetchJson(context.client, "POST", path, *text);
  if (!answer) {
    PrintFailure(answer.error(), context.format);
    return answer.error().code == Errc::kTimeout ? ExitStatus::kUndecided
                                                 : ExitStatus::kRefused;
  }
  const auto& body = answer->body;
  const std::string result = body.value("result", "refused");
  if (context.format == OutputFormat::kJson) {
    std::cout << body.dump() << '\n';
  } else if (result == "accepted") {
    std::cout << "accepted version " << body["version"] << " (operation "
              << CellText(body["operation"]) << ")\n";
    if (body.contains("missing")) {
      std::cout << "not yet held in: " << body["missing"].dump() << '\n';
    }
  } else if (result == "would-accept") {
    std::cout << "would be accepted on version " << body["base"] << ": "
              << body["edits"] << " edits\n";
  } else if (result == "undecided") {
    std::cout << "undecided; ask again: " << CellText(body["advice"]) << '\n';
  } else {
    PrintFailure(FailureFromJson(body), context.format);
  }
  if (result == "undecided") return ExitStatus::kUndecided;
  return result == "accepted" || result == "would-accept"
             ? ExitStatus::kDone
             : ExitStatus::kRefused;
}

}  // namespace buckthorncart
