#pragma once
/// \file
/// Settings of `buckthorncartd`, read from flags and environment variables.

#include <string>
#include <vector>

#include "Base/address.h"
#include "Base/result.h"
#include "Kernel/kernel_settings.h"
#include "Net/log_sink.h"
#include "Net/loop_driver.h"

namespace buckthorncart {

struct DaemonSettings {
  KernelSettings kernel;
  DriverSettings driver;
  /// Unset for the in-process platform (`memory:`).
  Address platform;
  /// Empty when no trace is recorded.
  std::string trace_path;
  LogFormat log_format = LogFormat::kText;
  LogLevel log_level = LogLevel::kInfo;
  int fd_limit = 2'048;
  /// Validate the settings and exit.
  bool check = false;
};

/// Result of parsing the command line.
struct ParsedSettings {
  DaemonSettings settings;
  /// True when the process must exit immediately: after `--help`, `--version`
  /// or an error.
  bool exit = false;
  int exit_status = 0;
};

/// Reads flags and `BUCKTHORNCART_…` environment variables; a flag overrides
/// its variable. Prints the help text and errors.
ParsedSettings ParseDaemonSettings(int argc, char** argv);

}  // namespace buckthorncart
