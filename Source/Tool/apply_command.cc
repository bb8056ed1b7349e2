#include "Tool/apply_command.h"

#include <CLI/CLI.hpp>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

#include "Config/edit.h"
#include "Kernel/url_query.h"
#include "Tool/fetch_json.h"
#include "Tool/output.h"

namespace buckthorncart {
namespace {

std::string SideText(const nlohmann::ordered_json& value) {
  return value.is_null() ? "(none)" : CellText(value);
}

/// "change route proofs" and one line for each key that differs.
void PrintDifference(const nlohmann::ordered_json& difference) {
  std::cout << CellText(difference["action"]) << ' '
            << CellText(difference["object"]) << '\n';
  if (difference["action"] == NameOf(EditAction::kDelete)) return;
  for (const auto& change : difference["changes"]) {
    std::cout << "  " << CellText(change["key"]) << ": "
              << SideText(change["from"]) << " -> " << SideText(change["to"])
              << '\n';
  }
}

void PrintResult(const nlohmann::ordered_json& body,
                 const std::string& result) {
  if (result == "accepted") {
    std::cout << "accepted version " << body["version"] << " (operation "
              << CellText(body["operation"]) << ")\n";
    if (body.contains("missing")) {
      std::cout << "not yet held in: " << body["missing"].dump() << '\n';
    }
  } else if (result == "undecided") {
    std::cout << "undecided; ask again: " << CellText(body["advice"]) << '\n';
  } else {
    PrintFailure(FailureFromJson(body), OutputFormat::kTable);
  }
}

}  // namespace

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
  if (file_.empty()) {
    return Fail(Errc::kInvalidSetting, "apply", "a file or --text",
                "name a file, - for standard input, or use --text");
  }
  std::ostringstream text;
  if (file_ == "-") {
    text << std::cin.rdbuf();
    return text.str();
  }
  std::ifstream in(file_);
  if (!in || std::filesystem::is_directory(file_)) {
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
  return dry_run_ ? Preview(context, *text) : Apply(context, *text);
}

ExitStatus ApplyCommand::Preview(const CommandContext& context,
                                 const std::string& text) const {
  const auto body = FetchOrFail(context.client, "POST", "/v1/preview", text);
  if (!body) return ReportFailure(body.error(), context.format);
  if (context.format == OutputFormat::kJson) {
    std::cout << body->dump() << '\n';
    return ExitStatus::kDone;
  }
  const auto& differences = body->at("differences");
  std::cout << "would be accepted on version " << body->at("base") << ", "
            << differences.size() << " objects differ\n";
  for (const auto& difference : differences) PrintDifference(difference);
  return ExitStatus::kDone;
}

ExitStatus ApplyCommand::Apply(const CommandContext& context,
                               const std::string& text) const {
  std::string path = "/v1/changes?operation=" + PercentEncode(operation_);
  if (base_ != 0) path += "&base=" + std::to_string(base_);
  const auto answer = FetchJson(context.client, "POST", path, text);
  if (!answer) return ReportFailure(answer.error(), context.format);
  const auto& body = answer->body;
  const std::string result = body.value("result", "refused");
  if (context.format == OutputFormat::kJson) {
    std::cout << body.dump() << '\n';
  } else {
    PrintResult(body, result);
  }
  if (result == "undecided") return ExitStatus::kUndecided;
  return result == "accepted" ? ExitStatus::kDone : ExitStatus::kRefused;
}

}  // namespace buckthorncart
