#include "Tool/metrics_command.h"

#include <CLI/CLI.hpp>
#include <iostream>
#include <sstream>

#include "Base/json_text.h"
#include "Tool/operator_client.h"
#include "Tool/output.h"

namespace buckthorncart {
namespace {

/// Converts the samples of a page in the Prometheus text format whose names
/// start with `prefix` to a JSON object.
nlohmann::ordered_json SamplesOf(const std::string& page,
                                 const std::string& prefix) {
  nlohmann::ordered_json samples = nlohmann::ordered_json::object();
  std::istringstream lines(page);
  std::string name;
  std::string value;
  for (std::string line; std::getline(lines, line);) {
    if (line.starts_with('#')) continue;
    std::istringstream words(line);
    if (!(words >> name >> value) || !name.starts_with(prefix)) continue;
    auto number = ParseJson<nlohmann::ordered_json>(value);
    if (number.is_number()) samples[name] = std::move(number);
  }
  return samples;
}

}  // namespace

CLI::App* MetricsCommand::Register(CLI::App& app) {
  CLI::App* command =
      app.add_subcommand("metrics", "Show the metrics of one daemon");
  command->add_option("prefix", prefix_,
                      "only metrics whose names start with this");
  command->add_flag("--raw", raw_,
                    "print the page in the Prometheus text format");
  return command;
}

ExitStatus MetricsCommand::Run(const CommandContext& context) {
  const auto answer = context.client.Fetch({"GET", "/metrics", {}, ""});
  if (!answer) return ReportFailure(answer.error(), context.format);
  if (raw_) {
    std::cout << answer->body;
    return ExitStatus::kDone;
  }
  const nlohmann::ordered_json samples = SamplesOf(answer->body, prefix_);
  if (context.format == OutputFormat::kJson) {
    std::cout << FormatJson(samples) << '\n';
    return ExitStatus::kDone;
  }
  std::vector<std::vector<std::string>> rows;
  for (const auto& [name, value] : samples.items()) {
    rows.push_back({name, CellText(value)});
  }
  PrintTable({"metric", "value"}, rows);
  return ExitStatus::kDone;
}

}  // namespace buckthorncart
