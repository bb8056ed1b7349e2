#pragma once
/// \file
/// Writes changes of state to standard error.

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
  void Write(const LogChange& change) const;

 private:
  std::string FormatLine(const LogChange& change) const;

  LogFormat format_;
  LogLevel lowest_;
};

}  // namespace buckthorncart
