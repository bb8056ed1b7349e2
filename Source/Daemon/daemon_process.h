#pragma once
/// \file
/// Process of a daemon: event loop, log, kernel and driver.

#include <string>

#include "Daemon/daemon_settings.h"
#include "Kernel/kernel.h"
#include "Net/http_translator.h"
#include "Net/log_sink.h"
#include "Net/loop.h"
#include "Net/loop_driver.h"
#include "Platform/platform_adapter.h"

namespace buckthorncart {

/// Exit statuses of a daemon on failure.
inline constexpr int kFailureStatus = 1;
inline constexpr int kUsageStatus = 2;

/// Runs a daemon on one event loop, independently of the platform adapter.
class DaemonProcess {
 public:
  /// `program` is the prefix of error messages. `translator` must outlive this
  /// object.
  DaemonProcess(std::string program, const DaemonSettings& settings,
                HttpTranslator& translator);

  Loop& GetLoop() { return loop_; }
  const LogSink& Log() const { return log_; }
  /// Returns the handler to which the platform adapter delivers its replies.
  PlatformReplyHandler ReplyHandler();
  /// Runs until the daemon has drained. Returns the exit status.
  int Run(PlatformSubmit platform);
  /// Closes the loop and prints `failure`, which prevents the start or ended
  /// the run. Returns the exit status.
  int Report(const Failure& failure);

 private:
  /// Logs a warning if the first reply shows that the platform cannot be
  /// reached. The daemon continues and is not ready until it holds a
  /// configuration.
  void WarnIfUnreachable(PlatformStatus status) const;

  void FlushLog();

  std::string program_;
  DaemonSettings settings_;
  Loop loop_;
  LogSink log_;
  Kernel kernel_;
  LoopDriver driver_;
  bool reply_received_ = false;
};

}  // namespace buckthorncart
