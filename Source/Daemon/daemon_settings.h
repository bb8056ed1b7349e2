#pragma once
/// \file
/// Settings of `buckthorncartd` from flags and environment variables.

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
  /// Unset for the platform inside the process.
  Address platform;
  std::string trace_path;
  LogFormat log_format = LogFormat::kText;
  LogLevel log_level = LogLevel::kInfo;
  int fd_limit = 2'048;
  /// Check the settings and exit.
  bool check = false;
};

/// What to do after the command line has been read.
struct ParsedSettings {
  DaemonSettings settings;
  /// Set when the process must end at once, after `--help` or an error.
  bool exit = false;
  int exit_status = 0;
};

/// Reads flags and `BUCKTHORNCART_…` variables; a flag wins. Prints help and
/// errors itself.
ParsedSettings ParseDaemonSettings(int argc, char** argv);

}  // namespace buckthorncart
