#include "Net/log_sink.h"

#include <easylogging++.h>
#include <unistd.h>

#include <nlohmann/json.hpp>

#include "Base/json_text.h"
#include "Net/line_buffer.h"
#include "Net/loop.h"

// NOLINTNEXTLINE
INITIALIZE_EASYLOGGINGPP

namespace buckthorncart {
namespace {

/// Returns the buffer of the lines that this process writes to standard output.
LineBuffer& OutputBuffer() {
  static LineBuffer buffer(STDOUT_FILENO);
  return buffer;
}

/// Passes the lines of the logging library to the output buffer.
class StandardOutputDispatch : public el::LogDispatchCallback {
 protected:
  void handle(const el::LogDispatchData* data) noexcept override {  // NOLINT
    OutputBuffer().Add(data->logMessage()->message());
  }
};

std::string QuoteIfNeeded(const std::string& value) {
  const bool plain =
      !value.empty() && value.find_first_of(" =\"\n") == std::string::npos;
  return plain ? value : FormatJson(nlohmann::json(value));
}

}  // namespace

LogSink::LogSink(LogFormat format, LogLevel min_level)
    : format_(format), min_level_(min_level) {
  el::Configurations configurations;
  configurations.setToDefault();
  configurations.setGlobally(el::ConfigurationType::ToFile, "false");
  configurations.setGlobally(el::ConfigurationType::ToStandardOutput, "false");
  el::Loggers::reconfigureAllLoggers(configurations);
  el::Helpers::uninstallLogDispatchCallback<
      el::base::DefaultLogDispatchCallback>("DefaultLogDispatchCallback");
  el::Helpers::installLogDispatchCallback<StandardOutputDispatch>(
      "StandardOutputDispatch");
}

LogSink::~LogSink() { Flush(); }

void LogSink::Flush() { OutputBuffer().Flush(); }

uint64_t LogSink::DroppedLines() { return OutputBuffer().DroppedLines(); }

void LogSink::Write(const LogRecord& record) const {
  if (record.level < min_level_) return;
  const std::string line = FormatLine(record);
  if (record.level == LogLevel::kWarning) {
    LOG(WARNING) << line;
  } else {
    LOG(INFO) << line;
  }
}

std::string LogSink::FormatLine(const LogRecord& record) const {
  const std::string time = std::to_string(Loop::WallMilliseconds());
  const std::string level(NameOf(record.level));
  const std::string topic(NameOf(record.topic));
  if (format_ == LogFormat::kJson) {
    nlohmann::ordered_json line = {
        {"time_ms", time}, {"level", level}, {"change", topic}};
    for (const auto& [key, value] : record.fields) line[key] = value;
    return FormatJson(line);
  }
  std::string line = "time_ms=" + time + " level=" + level + " change=" + topic;
  for (const auto& [key, value] : record.fields) {
    line += " " + key + "=" + QuoteIfNeeded(value);
  }
  return line;
}

}  // namespace buckthorncart
