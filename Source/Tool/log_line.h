#pragma once
/// \file
/// Parser of the lines of a daemon's log.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace buckthorncart {

/// A parsed line of a daemon's log.
struct LogLine {
  /// Wall-clock time, milliseconds since the epoch.
  uint64_t time_ms = 0;
  /// Process that wrote the line, or the log file if the line has no process.
  std::string daemon;
  std::string event;
  std::vector<std::pair<std::string, std::string>> fields;

  /// Value of a field, or empty if there is no such field.
  std::string_view Field(std::string_view key) const;
};

/// Parses a line in text or JSON format. Of a prefix that a log collector
/// added, only the last word is kept, as the name of the process; without a
/// prefix the name is `file`. Returns no value for lines that are not of a
/// daemon's log.
std::optional<LogLine> ParseLogLine(std::string_view text,
                                    const std::string& file);

}  // namespace buckthorncart
