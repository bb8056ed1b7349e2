/// \file
/// `buckthorncartd`, the daemon beside each backend server.

#include <iostream>
#include <memory>
#include <optional>

#include "Base/version.h"
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

int Report(Loop& loop, const Failure& failure) {
  loop.Close();
  std::cerr << "buckthorncartd: " << failure.Describe() << '\n';
  return kFailureStatus;
}

/// Runs the daemon on one of the platform adapters until it has drained.
int RunDaemon(const DaemonSettings& settings) {
  Loop loop(settings.fd_limit);
  const LogSink log(settings.log_format, settings.log_level);
  Kernel kernel(settings.kernel,
                PluginRegistry::Instance().CreateAll(settings.kernel));
  LoopDriver driver(loop, settings.driver, kernel, Loop::WallMilliseconds(),
                    log);
  const PlatformReplyHandler on_reply = [&driver](uint64_t tag,
                                                  PlatformReply reply) {
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
    if (!trace) return Report(loop, trace.error());
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

}  // namespace
}  // namespace buckthorncart

int main(int argc, char** argv) {
  const auto parsed = buckthorncart::ParseDaemonSettings(argc, argv);
  if (parsed.exit) return parsed.exit_status;
  if (parsed.settings.check) {
    std::cout << "settings are valid\n";
    return 0;
  }
  return buckthorncart::RunDaemon(parsed.settings);
}
