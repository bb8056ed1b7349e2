/// \file
/// `load_tool`, an HTTP load generator on loopback for demonstrations and
/// benchmarks.

#include <CLI/CLI.hpp>
#include <iostream>
#include <nlohmann/json.hpp>

#include "LoadTool/load_generator.h"
#include "Net/loop.h"

namespace buckthorncart {
namespace {

constexpr int kUsageStatus = 2;
constexpr uint32_t kLoopbackNetwork = 127;
constexpr unsigned kNetworkShift = 24;

nlohmann::ordered_json ToJson(LoadReport& report) {
  return {{"sent", report.Sent()},
          {"whole", report.whole},
          {"not_run", report.not_run},
          {"unknown", report.unknown},
          {"broken", report.broken},
          {"wrong", report.wrong},
          {"withheld", report.withheld},
          {"moved", report.moved},
          {"reasons", report.reasons},
          {"p50_us", report.LatencyQuantile(0.50)},
          {"p99_us", report.LatencyQuantile(0.99)},
          {"max_us", report.LatencyQuantile(1.0)}};
}

int RunTool(int argc, char** argv) {
  constexpr int kFdLimit = 2'048;
  CLI::App app("load_tool, an HTTP load generator on loopback");
  LoadSettings settings;
  std::vector<std::string> targets;
  double seconds = 1;
  app.add_option("--target", targets, "IP:PORT, separated by commas")
      ->delimiter(',')
      ->required();
  app.add_option("--method", settings.method, "HTTP method");
  app.add_option("--path", settings.path, "path and query");
  app.add_option("--expect-bytes", settings.expected_bytes,
                 "body size of a complete answer, bytes");
  app.add_option("--rate", settings.rate_per_second, "requests a second")
      ->check(CLI::Range(1U, 50'000U));
  app.add_option("--seconds", seconds, "duration, seconds")
      ->check(CLI::Range(0.1, 120.0));
  app.add_option("--max-in-flight", settings.max_in_flight,
                 "maximum number of requests in flight")
      ->check(CLI::Range(1U, 4'000U));
  app.add_option("--deadline-ms", settings.deadline_ms, "deadline, ms");
  app.add_option("--key-prefix", settings.key_prefix,
                 "prefix of idempotency keys");
  app.add_flag("--fail-over", settings.fail_over,
               "retry requests that were not run on another target");
  CLI11_PARSE(app, argc, argv);
  for (const std::string& text : targets) {
    const auto address = Address::Parse(text);
    if (!address || address->ip >> kNetworkShift != kLoopbackNetwork) {
      std::cerr << "load_tool: --target " << text
                << ": expected 127.x.y.z:PORT\n";
      return kUsageStatus;
    }
    settings.targets.push_back(*address);
  }
  settings.duration = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
  Loop loop(kFdLimit);
  LoadGenerator generator(loop, settings);
  const auto started = generator.Start();
  if (!started) {
    loop.Close();
    std::cerr << started.error().Describe() << '\n';
    return 1;
  }
  loop.OnShutdownSignal([&generator] { generator.StopSending(); });
  loop.Run();
  std::cout << ToJson(generator.Report()).dump() << '\n';
  return 0;
}

}  // namespace
}  // namespace buckthorncart

int main(int argc, char** argv) { return buckthorncart::RunTool(argc, argv); }
