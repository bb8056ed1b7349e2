#include "Net/log_sink.h"

#include <easylogging++.h>
#include <unistd.h>

#include <nlohmann/json.hpp>

#include "Net/line_buffer.h"
#include "Net/loop.h"

// NOLINTNEXTLINE
INITIALIZE_EASYLOGGINGPP

namespace buckthorncart {
namespace {

/// Lines of this process on their way to standard output.
LineBuffer& Output() {
  static LineBuffer buffer(STDOUT_FILENO);
  return buffer;
}

/// Sends the lines of the logging library to the buffer of the process.
class StandardOutputDispatch : public el::LogDispatchCallback {
 protected:
  void handle(const el::LogDispatchData* data) noexcept override {  // NOLINT
    Output().Add(data->logMessage()->message());
  }
};

std::string Quoted(const std::string& value) {
  const bool plain =
      !value.empty() && value.find_first_of(" =\"\n") == std::string::npos;
  return plain ? value : nlohmann::json(value).dump();
}

}  // namespace

LogSink::LogSink(LogFormat format, LogLevel lowest)
    : format_(format), lowest_(lowest) {
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

void LogSink::Flush() { Output().Flush(); }

uint64_t LogSink::DroppedLines() { return Output().Dropped(); }

void LogSink::Write(const LogRecord& change) const {
  if (change.level < lowest_) return;
  const std::string line = FormatLine(change);
  if (change.level == LogLevel::kWarning) {
    LOG(WARNING) << line;
  } else {
    LOG(INFO) << line;
  }
}

std::string LogSink::FormatLine(const LogRecord& change) const {
  const std::string time = std::to_string(Loop::WallMilliseconds());
  const std::string level(NameOf(change.level));
  const std::string topic(NameOf(change.topic));
  if (format_ == LogFormat::kJson) {
    nlohmann::ordered_json line = {
        {"time_ms", time}, {"level", level}, {"change", topic}};
    for (const auto& [key, value] : change.fields) line[key] = value;
    return line.dump();
  }
  std::string line = "time_ms=" + time + " level=" + level + " change=" + topic;
  for (const auto& [key, value] : change.fields) {
    line += " " + key + "=" + Quoted(value);
  }
  return line;
}

}  // namespace buckthorncart
