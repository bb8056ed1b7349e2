/// \file
/// `spreading_bench`, which compares configuration spreading modes on loopback.

#include <CLI/CLI.hpp>
#include <filesystem>
#include <iomanip>
#include <iostream>
#include <nlohmann/json.hpp>

#include "SpreadingBench/spreading_run.h"

namespace buckthorncart {
namespace {

constexpr uint32_t kMaxDaemons = 120;

nlohmann::ordered_json ToJson(const Convergence& convergence) {
  constexpr double kP99 = 0.99;
  return {{"sent", convergence.sent},
          {"accepted", convergence.accepted},
          {"missing", convergence.missing},
          {"p50_ms", convergence.Quantile(0.5)},
          {"p99_ms", convergence.Quantile(kP99)},
          {"max_ms", convergence.Quantile(1.0)}};
}

nlohmann::ordered_json ToJson(const std::string& way, uint32_t size,
                              const RunReport& report) {
  return {{"way", way},
          {"daemons", size},
          {"joined", report.joined},
          {"steady", ToJson(report.steady)},
          {"burst", ToJson(report.burst)},
          {"control_bytes_per_change", report.control_bytes_per_change},
          {"control_bytes_per_second_at_rest",
           report.control_bytes_per_second_at_rest},
          {"cpu_percent_at_rest", report.cpu_percent_at_rest},
          {"cpu_ms_per_change", report.cpu_ms_per_change},
          {"max_memory_bytes", report.max_memory_bytes},
          {"platform_reads_per_change", report.platform_reads_per_change},
          {"platform_writes_per_change", report.platform_writes_per_change},
          {"platform_reads_per_second_at_rest",
           report.platform_reads_per_second_at_rest},
          {"platform_writes_per_second_at_rest",
           report.platform_writes_per_second_at_rest}};
}

void PrintRow(const std::string& way, uint32_t size, const RunReport& report) {
  constexpr double kP99 = 0.99;
  constexpr double kMegabyte = 1'048'576;
  std::cerr << std::fixed << std::setprecision(1) << std::setw(8) << way
            << std::setw(5) << size << " steady " << report.steady.Quantile(0.5)
            << '/' << report.steady.Quantile(kP99) << '/'
            << report.steady.Quantile(1.0) << " ms, burst "
            << report.burst.Quantile(0.5) << '/' << report.burst.Quantile(kP99)
            << '/' << report.burst.Quantile(1.0)
            << " ms (median/p99/max), B/change "
            << report.control_bytes_per_change << ", B/s at rest "
            << report.control_bytes_per_second_at_rest << ", CPU % at rest "
            << report.cpu_percent_at_rest << ", MB "
            << report.max_memory_bytes / kMegabyte << '\n';
}

int RunBench(int argc, char** argv) {
  CLI::App app(
      "spreading_bench, compares configuration spreading modes on loopback");
  RunSettings base;
  std::vector<uint32_t> sizes = {3, 10, 30};
  std::vector<std::string> ways = {"push", "hint", "mixed"};
  std::string flag = "--spreading";
  double rest_seconds = 10;
  double settle_seconds = 20;
  app.add_option("--programs", base.fleet.programs, "directory of the programs")
      ->required();
  app.add_option("--logs", base.fleet.logs, "directory for the daemons' logs")
      ->required();
  app.add_option("--sizes", sizes, "numbers of daemons")
      ->delimiter(',')
      ->check(CLI::Range(1U, kMaxDaemons));
  app.add_option("--ways", ways, "values of the daemon flag")->delimiter(',');
  app.add_option("--flag", flag, "daemon flag that is varied");
  app.add_option("--changes", base.steady_changes, "changes at a steady rate")
      ->check(CLI::Range(1U, 200U));
  app.add_option("--burst", base.burst_changes, "changes sent concurrently")
      ->check(CLI::Range(0U, 100U));
  app.add_option("--rest-seconds", rest_seconds,
                 "duration of the idle measurement, seconds")
      ->check(CLI::Range(1.0, 60.0));
  app.add_option("--settle-seconds", settle_seconds,
                 "time from joining to the first measurement, seconds")
      ->check(CLI::Range(1.0, 120.0));
  CLI11_PARSE(app, argc, argv);
  base.rest = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(rest_seconds));
  base.settle = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(settle_seconds));
  std::filesystem::create_directories(base.fleet.logs);
  for (const uint32_t size : sizes) {
    for (const std::string& way : ways) {
      RunSettings settings = base;
      settings.fleet.size = size;
      settings.fleet.daemon_flags = {flag, way};
      const RunReport report = RunSpreading(settings);
      PrintRow(way, size, report);
      std::cout << ToJson(way, size, report).dump() << std::endl;
    }
  }
  return 0;
}

}  // namespace
}  // namespace buckthorncart

int main(int argc, char** argv) { return buckthorncart::RunBench(argc, argv); }
