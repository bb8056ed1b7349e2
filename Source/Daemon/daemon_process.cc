#include "Daemon/daemon_process.h"

#include <malloc.h>

#include <iostream>
#include <utility>

#include "Base/version.h"
#include "Kernel/plugin_registry.h"
#include "Kernel/trace.h"

namespace buckthorncart {
namespace {

constexpr Duration kLogFlushInterval = 100ms;

/// Makes the allocator return large blocks to the system when they are freed.
/// By default it keeps blocks of up to 32 MiB, so that large bodies leave up to
/// their size behind.
void ReturnFreeMemory() {
  constexpr int kMinReturnedBytes = 262'144;
  mallopt(M_MMAP_THRESHOLD, kMinReturnedBytes);
}

}  // namespace

DaemonProcess::DaemonProcess(std::string program,
                             const DaemonSettings& settings,
                             HttpTranslator& translator)
    : program_(std::move(program)),
      settings_(settings),
      loop_(settings.fd_limit),
      log_(settings.log_format, settings.log_level),
      kernel_(settings.kernel,
              PluginRegistry::Instance().CreateAll(settings.kernel)),
      driver_(loop_, settings_.driver, kernel_, Loop::WallMilliseconds(), log_,
              translator) {
  ReturnFreeMemory();
}

PlatformReplyHandler DaemonProcess::ReplyHandler() {
  return [this](uint64_t tag, PlatformReply reply) {
    if (!std::exchange(reply_received_, true)) WarnIfUnreachable(reply.status);
    driver_.Dispatch(PlatformReplied{tag, std::move(reply)});
  };
}

int DaemonProcess::Run(PlatformSubmit platform) {
  driver_.SetPlatform(std::move(platform));
  if (!settings_.trace_path.empty()) {
    auto trace = TraceWriter::Open(settings_.trace_path, settings_.kernel);
    if (!trace) {
      Failure failure = trace.error();
      failure.subject = "--trace " + settings_.trace_path;
      return Report(failure);
    }
    driver_.SetTraceWriter(std::move(*trace));
  }
  const Result<void> opened = driver_.Open();
  if (!opened) return Report(opened.error());
  loop_.OnShutdownSignal([this] { driver_.Dispatch(ShutdownRequested{}); });
  log_.Write({LogTopic::kStarted,
              {{"version", std::string(kVersion)},
               {"peer", settings_.kernel.self.ToString()},
               {"callers", settings_.driver.callers.ToString()},
               {"operators", settings_.driver.operators.ToString()}},
              LogLevel::kInfo});
  FlushLog();
  driver_.Start();
  loop_.Run();
  const Result<void>& ended = driver_.ExitResult();
  return ended ? 0 : Report(ended.error());
}

void DaemonProcess::FlushLog() {
  LogSink::Flush();
  loop_.RunIn(kLogFlushInterval, [this] { FlushLog(); });
}

int DaemonProcess::Report(const Failure& failure) {
  loop_.Close();
  std::cerr << program_ << ": " << failure.Describe() << '\n';
  return kFailureStatus;
}

void DaemonProcess::WarnIfUnreachable(PlatformStatus status) const {
  if (status != PlatformStatus::kUnavailable &&
      status != PlatformStatus::kUnknown) {
    return;
  }
  log_.Write(
      {LogTopic::kPlatformState,
       {{"state", "unreachable"},
        {"setting", "--platform http://" + settings_.platform.ToString()},
        {"expected", "the address of a running platform"},
        {"advice", "correct --platform or start the platform"}},
       LogLevel::kWarning});
}

}  // namespace buckthorncart
