#include "Tool/apply_command.h"

#include <CLI/CLI.hpp>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

#include "Base/json_text.h"
#include "Config/edit.h"
#include "Kernel/url_query.h"
#include "Tool/fetch_json.h"
#include "Tool/output.h"

namespace buckthorncart {
namespace {

/// Text of the old or new value of a key; null means that the key is absent.
std::string ValueText(const nlohmann::ordered_json& value) {
  return value.is_null() ? "(none)" : CellText(value);
}

/// Prints the edit, such as "change route proofs", and a line for each key that
/// differs.
void PrintDifference(const nlohmann::ordered_json& difference) {
  std::cout << CellText(difference["action"]) << ' '
            << CellText(difference["object"]) << '\n';
  if (difference["action"] == NameOf(EditAction::kDelete)) return;
  for (const auto& change : difference["changes"]) {
    std::cout << "  " << CellText(change["key"]) << ": "
              << ValueText(change["from"]) << " -> " << ValueText(change["to"])
              << '\n';
  }
}

void PrintResult(const nlohmann::ordered_json& body,
                 const std::string& result) {
  if (result == "accepted") {
    std::cout << "accepted version " << body["version"] << " (operation "
              << CellText(body["operation"]) << ")\n";
    if (body.contains("missing")) {
      std::cout << "not yet replicated to: " << FormatJson(body["missing"])
                << '\n';
    }
  } else if (result == "undecided") {
    std::cout << "undecided; settle it with: " << CellText(body["advice"])
              << '\n';
  } else {
    PrintFailure(FailureFromJson(body), OutputFormat::kTable);
  }
}

}  // namespace

CLI::App* ApplyCommand::Register(CLI::App& app) {
  CLI::App* command =
      app.add_subcommand("apply", "Apply a change of the configuration");
  command->add_option("file", file_,
                      "file of statements; - for standard input");
  command->add_option("-e,--text", text_, "statements, instead of a file");
  command->add_option(
      "--operation", operation_,
      "operation id; retries with the same id apply the change once");
  command->add_option("--base", base_, "version on which the change is based");
  command->add_flag("--dry-run", dry_run_, "only show what would change");
  return command;
}

Result<std::string> ApplyCommand::ReadText() const {
  if (!text_.empty()) return text_;
  if (file_.empty()) {
    return Fail(Errc::kInvalidSetting, "apply", "a file or --text",
                "give a file, - for standard input, or --text");
  }
  std::ostringstream text;
  if (file_ == "-") {
    text << std::cin.rdbuf();
    return text.str();
  }
  std::ifstream in(file_);
  if (!in || std::filesystem::is_directory(file_)) {
    return Fail(Errc::kInvalidSetting, "file " + file_,
                "a readable file of statements",
                "give a readable file or use --text");
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
    std::cout << FormatJson(body) << '\n';
  } else {
    PrintResult(body, result);
  }
  if (result == "undecided") return ExitStatus::kUndecided;
  return result == "accepted" ? ExitStatus::kDone : ExitStatus::kRefused;
}

}  // namespace buckthorncart
