#pragma once
/// \file
/// Writes changes of state to standard output.

#include <cstdint>
#include <string>

#include "Base/enum_names.h"
#include "Kernel/effect.h"

namespace buckthorncart {

enum class LogFormat : uint8_t { kText, kJson };

template <>
struct EnumNames<LogFormat> {
  static constexpr std::string_view kNames[] = {"text", "json"};
};

template <>
struct EnumNames<LogLevel> {
  static constexpr std::string_view kNames[] = {"info", "warning"};
};

/// One line for each change, as `key=value` pairs or as a JSON object. No file
/// is written.
class LogSink {
 public:
  LogSink(LogFormat format, LogLevel lowest);
  ~LogSink();
  LogSink(const LogSink&) = delete;
  LogSink& operator=(const LogSink&) = delete;
  /// Adds a line to those that the next `Flush` writes.
  void Write(const LogRecord& change) const;
  /// Writes what standard output takes without blocking; what it does not take
  /// in time is dropped and counted.
  static void Flush();
  static uint64_t DroppedLines();

 private:
  std::string FormatLine(const LogRecord& change) const;

  LogFormat format_;
  LogLevel lowest_;
};

}  // namespace buckthorncart
