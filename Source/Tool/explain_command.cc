#include "Tool/explain_command.h"

#include <CLI/CLI.hpp>
#include <fstream>
#include <iostream>

#include "Base/json_text.h"
#include "Tool/output.h"
#include "Tool/request_timeline.h"

namespace buckthorncart {
namespace {

constexpr const char* kStandardInput = "-";

void ReadLines(std::istream& in, const std::string& file,
               RequestTimeline& timeline) {
  for (std::string text; std::getline(in, text);) {
    auto line = ParseLogLine(text, file);
    if (line) timeline.Add(std::move(*line));
  }
}

/// Time of `line` relative to `first_ms`; negative for earlier lines.
int64_t MillisecondsSince(const LogLine& line, uint64_t first_ms) {
  return static_cast<int64_t>(line.time_ms) - static_cast<int64_t>(first_ms);
}

/// Time of the first line of the request. Lines about the state of a daemon may
/// be older.
uint64_t RequestStart(const std::vector<LogLine>& lines) {
  for (const LogLine& line : lines) {
    if (!line.Field("id").empty()) return line.time_ms;
  }
  return lines.front().time_ms;
}

void PrintJson(const std::vector<LogLine>& lines) {
  nlohmann::ordered_json list = nlohmann::ordered_json::array();
  for (const LogLine& line : lines) {
    nlohmann::ordered_json item = {
        {"since_ms", MillisecondsSince(line, RequestStart(lines))},
        {"daemon", line.daemon},
        {"event", line.event}};
    for (const auto& [key, value] : line.fields) item[key] = value;
    list.push_back(std::move(item));
  }
  std::cout << FormatJson(list) << '\n';
}

void PrintRows(const std::vector<LogLine>& lines) {
  std::vector<std::vector<std::string>> rows;
  for (const LogLine& line : lines) {
    std::string fields;
    for (const auto& [key, value] : line.fields) {
      fields += (fields.empty() ? "" : " ") + key + "=" + value;
    }
    rows.push_back(
        {std::to_string(MillisecondsSince(line, RequestStart(lines))),
         line.daemon, line.event, fields});
  }
  PrintTable({"ms", "daemon", "event", "fields"}, rows);
}

}  // namespace

CLI::App* ExplainCommand::Register(CLI::App& app) {
  CLI::App* command = app.add_subcommand(
      "explain", "Show a timeline of one request from daemon logs");
  command->add_option("id", id_, "id of the request")->required();
  command->add_option("file", files_, "log files; - for standard input")
      ->required();
  return command;
}

Result<void> ExplainCommand::ReadLogs(RequestTimeline& timeline) const {
  for (const std::string& file : files_) {
    if (file == kStandardInput) {
      ReadLines(std::cin, "-", timeline);
      continue;
    }
    std::ifstream in(file);
    if (!in) {
      return Fail(Errc::kInvalidSetting, "file " + file, "a readable log file",
                  "correct the file name, or use - for standard input");
    }
    ReadLines(in, file, timeline);
  }
  return {};
}

ExitStatus ExplainCommand::Run(const CommandContext& context) {
  RequestTimeline timeline(id_);
  const Result<void> read = ReadLogs(timeline);
  if (!read) {
    PrintFailure(read.error(), context.format);
    return ExitStatus::kUsage;
  }
  if (timeline.IsEmpty()) {
    return ReportFailure(
        {Errc::kUnknownObject, "request " + id_, "an id that the logs contain",
         "add the logs of all daemons; each daemon logs at most "
         "two served calls per second"},
        context.format);
  }
  const std::vector<LogLine> lines = timeline.Lines();
  if (context.format == OutputFormat::kJson) {
    PrintJson(lines);
  } else {
    PrintRows(lines);
  }
  return ExitStatus::kDone;
}

}  // namespace buckthorncart
