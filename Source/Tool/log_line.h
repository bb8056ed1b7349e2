#pragma once
/// \file
/// One line of a daemon's log, read back.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace buckthorncart {

struct LogLine {
  /// Wall-clock time, milliseconds since the epoch.
  uint64_t time_ms = 0;
  /// Process that wrote the line, or the file that it stands in.
  std::string daemon;
  std::string event;
  std::vector<std::pair<std::string, std::string>> fields;

  /// Value of a field, or empty.
  std::string_view Field(std::string_view key) const;
};

/// Reads a line in either form that daemons write. What stands before it, as
/// collectors of logs add it, is dropped, but for a last word that names the
/// process; `file` stands for it where there is none. Nothing for other lines.
std::optional<LogLine> ParseLogLine(std::string_view text,
                                    const std::string& file);

}  // namespace buckthorncart
