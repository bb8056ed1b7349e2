#pragma once
/// \file
/// A daemon on one loop, whatever its platform.

#include <string>

#include "Daemon/daemon_settings.h"
#include "Kernel/kernel.h"
#include "Net/http_translator.h"
#include "Net/log_sink.h"
#include "Net/loop.h"
#include "Net/loop_driver.h"
#include "Platform/platform_adapter.h"

namespace buckthorncart {

/// Exit statuses of a daemon.
inline constexpr int kFailureStatus = 1;
inline constexpr int kUsageStatus = 2;

class DaemonProcess {
 public:
  /// `program` names the process in messages; `translator` must outlive it.
  DaemonProcess(std::string program, const DaemonSettings& settings,
                HttpTranslator& translator);

  Loop& GetLoop() { return loop_; }
  const LogSink& Log() const { return log_; }
  /// Takes the replies of the platform adapter.
  PlatformReplyHandler ReplyHandler();
  /// Runs until the daemon has drained; returns the exit status.
  int Run(PlatformSubmit platform);
  /// Prints why the daemon cannot start; returns the exit status.
  int Report(const Failure& failure);

 private:
  /// Tells at the start that the platform cannot be reached; the daemon goes
  /// on and is not ready until it holds a configuration.
  void WarnIfUnreachable(PlatformStatus status) const;

  void FlushLog();

  std::string program_;
  DaemonSettings settings_;
  Loop loop_;
  LogSink log_;
  Kernel kernel_;
  LoopDriver driver_;
  bool platform_heard_ = false;
};

}  // namespace buckthorncart
