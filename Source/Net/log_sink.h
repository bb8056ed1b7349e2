#pragma once
/// \file
/// Writes log records to standard output.

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

/// Formats each record as one line of `key=value` pairs or as a JSON object. No
/// log file is written.
class LogSink {
 public:
  LogSink(LogFormat format, LogLevel min_level);
  ~LogSink();
  LogSink(const LogSink&) = delete;
  LogSink& operator=(const LogSink&) = delete;
  /// Appends a record to the output buffer, which `Flush` writes.
  void Write(const LogRecord& record) const;
  /// Writes as much as standard output accepts without blocking. Lines that
  /// exceed the output buffer are dropped and counted.
  static void Flush();
  static uint64_t DroppedLines();
  /// Returns a record as one line without its end. Bytes that are not UTF-8 are
  /// replaced.
  std::string FormatLine(const LogRecord& record) const;

 private:
  LogFormat format_;
  LogLevel min_level_;
};

}  // namespace buckthorncart
