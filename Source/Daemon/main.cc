/// \file
/// `buckthorncartd`, the daemon beside each backend server.

#include <iostream>
#include <memory>
#include <optional>
#include <utility>

#include "Base/version.h"
#include "Daemon/address_check.h"
#include "Daemon/daemon_settings.h"
#include "Kernel/kernel.h"
#include "Kernel/plugin_registry.h"
#include "Kernel/trace.h"
#include "Net/http_platform.h"
#include "Net/log_sink.h"
#include "Net/loop.h"
#include "Net/loop_driver.h"
#include "Net/memory_platform.h"

namespace buckthorncart {
namespace {

constexpr int kFailureStatus = 1;
constexpr int kUsageStatus = 2;

int Report(Loop& loop, const Failure& failure) {
  loop.Close();
  std::cerr << "buckthorncartd: " << failure.Describe() << '\n';
  return kFailureStatus;
}

/// Tells at the start that the platform cannot be reached; the daemon goes on
/// and is not ready until a floor is known.
void WarnIfUnreachable(const LogSink& log, Address platform,
                       PlatformStatus status) {
  if (status != PlatformStatus::kUnavailable &&
      status != PlatformStatus::kUnknown) {
    return;
  }
  log.Write({LogTopic::kPlatformState,
             {{"state", "unreachable"},
              {"setting", "--platform http://" + platform.ToString()},
              {"expected", "the address of the running platform"},
              {"advice", "correct --platform or start the platform"}},
             LogLevel::kWarning});
}

/// Runs the daemon on one of the platform adapters until it has drained.
int RunDaemon(const DaemonSettings& settings) {
  Loop loop(settings.fd_limit, settings.header_bytes);
  const LogSink log(settings.log_format, settings.log_level);
  Kernel kernel(settings.kernel,
                PluginRegistry::Instance().CreateAll(settings.kernel));
  LoopDriver driver(loop, settings.driver, kernel, Loop::WallMilliseconds(),
                    log);
  bool platform_heard = false;
  const PlatformReplyHandler on_reply = [&](uint64_t tag, PlatformReply reply) {
    if (!std::exchange(platform_heard, true)) {
      WarnIfUnreachable(log, settings.platform, reply.status);
    }
    driver.Dispatch(PlatformReplied{tag, std::move(reply)});
  };
  MemoryPlatform memory(loop, on_reply);
  std::optional<HttpPlatform> http;
  if (settings.platform.IsSet()) {
    http.emplace(loop, settings.platform, on_reply);
    const auto opened = http->Open();
    if (!opened) return Report(loop, opened.error());
    driver.UsePlatform(EraseAdapter(*http));
  } else {
    driver.UsePlatform(EraseAdapter(memory));
  }
  if (!settings.trace_path.empty()) {
    auto trace = TraceWriter::Open(settings.trace_path, settings.kernel);
    if (!trace) {
      Failure failure = trace.error();
      failure.subject = "--trace " + settings.trace_path;
      return Report(loop, failure);
    }
    driver.RecordTo(std::move(*trace));
  }
  const Result<void> opened = driver.Open();
  if (!opened) return Report(loop, opened.error());
  loop.OnShutdownSignal([&driver] { driver.Dispatch(ShutdownRequested{}); });
  log.Write({LogTopic::kStarted,
             {{"version", std::string(kVersion)},
              {"peer", settings.kernel.self.ToString()},
              {"callers", settings.driver.callers.ToString()},
              {"operators", settings.driver.operators.ToString()}},
             LogLevel::kInfo});
  driver.Start();
  loop.Run();
  return 0;
}

/// Exit status of `--check`.
int CheckSettings(const DaemonSettings& settings) {
  const Result<void> checked = CheckAddressesBelongHere(settings);
  if (!checked) {
    std::cerr << "buckthorncartd: " << checked.error().Describe() << '\n';
    return kUsageStatus;
  }
  std::cout << "settings are valid\n";
  return 0;
}

}  // namespace
}  // namespace buckthorncart

int main(int argc, char** argv) {
  const auto parsed = buckthorncart::ParseDaemonSettings(argc, argv);
  if (parsed.exit) return parsed.exit_status;
  if (parsed.settings.check) {
    return buckthorncart::CheckSettings(parsed.settings);
  }
  return buckthorncart::RunDaemon(parsed.settings);
}
