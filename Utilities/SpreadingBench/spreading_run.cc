#include "SpreadingBench/spreading_run.h"

#include <algorithm>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>
#include <thread>

namespace buckthorncart {
namespace {

constexpr Duration kJoinTimeout = 60s;
constexpr Duration kAnswerTimeout = 30s;
/// Time allowed for the last change to reach all daemons.
constexpr Duration kSettleTime = 5s;
constexpr double kPercent = 100;
constexpr double kMillisecondsPerSecond = 1'000;

/// Usage of all daemons at one moment: sums, and the maximum for memory.
struct Totals {
  double control_bytes = 0;
  double cpu_seconds = 0;
  double max_memory_bytes = 0;
  double platform_reads = 0;
  double platform_writes = 0;
};

Totals ReadTotals(const BenchFleet& fleet) {
  Totals totals;
  const std::vector<std::string> pages = fleet.MetricsPages();
  for (uint32_t n = 1; n <= pages.size(); ++n) {
    const DaemonUsage usage = fleet.UsageOf(n, pages[n - 1]);
    totals.control_bytes += usage.control_bytes;
    totals.cpu_seconds += usage.cpu_seconds;
    totals.max_memory_bytes =
        std::max(totals.max_memory_bytes, usage.memory_bytes);
  }
  std::vector<Exchange> statistics = {
      {fleet.Platform(), {"GET", "/statistics", {}, ""}, 0, {}}};
  RunExchanges(statistics, kAnswerTimeout);
  const auto body =
      nlohmann::json::parse(statistics.front().body, nullptr, false);
  if (body.is_object()) {
    totals.platform_reads = body.value("reads", 0.0);
    totals.platform_writes = body.value("writes", 0.0);
  }
  return totals;
}

Exchange MakeChange(const BenchFleet& fleet, uint32_t number, uint32_t size) {
  return {fleet.Operators(1 + number % size),
          {"POST",
           "/v1/changes?operation=bench-" + std::to_string(number),
           {},
           "create service s" + std::to_string(number) + "\n"},
          0,
          {}};
}

/// Versions of the accepted changes.
std::vector<uint64_t> AcceptedOf(const std::vector<Exchange>& exchanges) {
  std::vector<uint64_t> versions;
  for (const Exchange& exchange : exchanges) {
    const auto body = nlohmann::json::parse(exchange.body, nullptr, false);
    if (!body.is_object() || body.value("result", "") != "accepted") continue;
    versions.push_back(body.value("version", uint64_t{0}));
  }
  return versions;
}

/// Times at which one daemon adopted each version, read from its log.
std::map<uint64_t, uint64_t> HeldTimes(const std::string& path) {
  std::map<uint64_t, uint64_t> held;
  std::ifstream file(path);
  std::string line;
  while (std::getline(file, line)) {
    const size_t version = line.find("change=version-held version=");
    if (version == std::string::npos) continue;
    constexpr size_t kLabelLength = 28;
    constexpr size_t kTimeLabelLength = 8;
    held.emplace(
        std::strtoull(line.c_str() + version + kLabelLength, nullptr, 10),
        std::strtoull(line.c_str() + kTimeLabelLength, nullptr, 10));
  }
  return held;
}

void MeasureConvergence(const BenchFleet& fleet, uint32_t size,
                        const std::vector<uint64_t>& versions,
                        Convergence& convergence) {
  std::vector<std::map<uint64_t, uint64_t>> logs;
  for (uint32_t n = 1; n <= size; ++n) {
    logs.push_back(HeldTimes(fleet.LogOf(n)));
  }
  convergence.accepted = static_cast<uint32_t>(versions.size());
  for (const uint64_t version : versions) {
    uint64_t first = UINT64_MAX;
    uint64_t last = 0;
    bool everywhere = true;
    for (const auto& held : logs) {
      // A daemon may skip versions when it adopts a newer one.
      const auto it = held.lower_bound(version);
      if (it == held.end()) {
        everywhere = false;
        continue;
      }
      first = std::min(first, it->second);
      last = std::max(last, it->second);
    }
    if (!everywhere) {
      ++convergence.missing;
      continue;
    }
    convergence.times_ms.push_back(last - first);
  }
  std::sort(convergence.times_ms.begin(), convergence.times_ms.end());
}

void MeasureIdleUsage(const BenchFleet& fleet, const RunSettings& settings,
                      RunReport& report) {
  const Totals before = ReadTotals(fleet);
  std::this_thread::sleep_for(settings.rest);
  const Totals after = ReadTotals(fleet);
  const double seconds = std::chrono::duration<double>(settings.rest).count();
  const double daemon_seconds = seconds * settings.fleet.size;
  report.control_bytes_per_second_at_rest =
      (after.control_bytes - before.control_bytes) / daemon_seconds;
  report.cpu_percent_at_rest =
      kPercent * (after.cpu_seconds - before.cpu_seconds) / daemon_seconds;
  report.platform_reads_per_second_at_rest =
      (after.platform_reads - before.platform_reads) / seconds;
  report.platform_writes_per_second_at_rest =
      (after.platform_writes - before.platform_writes) / seconds;
}

}  // namespace

uint64_t Convergence::Quantile(double quantile) const {
  if (times_ms.empty()) return 0;
  const auto last = static_cast<double>(times_ms.size() - 1);
  return times_ms[static_cast<size_t>(quantile * last + 0.5)];
}

RunReport RunSpreading(const RunSettings& settings) {
  RunReport report;
  const uint32_t size = settings.fleet.size;
  BenchFleet fleet(settings.fleet);
  fleet.StartPlatform();
  fleet.StartDaemons();
  report.joined = fleet.WaitUntilJoined(kJoinTimeout);
  if (!report.joined) return report;
  std::this_thread::sleep_for(settings.settle);
  MeasureIdleUsage(fleet, settings, report);

  const Totals before = ReadTotals(fleet);
  const Time start = std::chrono::duration_cast<Time>(
      std::chrono::steady_clock::now().time_since_epoch());
  std::vector<Exchange> steady;
  for (uint32_t i = 0; i < settings.steady_changes; ++i) {
    std::vector<Exchange> one = {MakeChange(fleet, i, size)};
    RunExchanges(one, kAnswerTimeout);
    steady.push_back(one.front());
    std::this_thread::sleep_for(settings.steady_interval);
  }
  const Totals after = ReadTotals(fleet);
  const double seconds =
      std::chrono::duration<double>(
          std::chrono::steady_clock::now().time_since_epoch() - start)
          .count();
  report.steady.sent = settings.steady_changes;
  report.burst.sent = settings.burst_changes;
  const double changes = std::max(1U, settings.steady_changes);
  const double rest_bytes =
      report.control_bytes_per_second_at_rest * seconds * size;
  report.control_bytes_per_change =
      (after.control_bytes - before.control_bytes - rest_bytes) /
      (changes * size);
  const double rest_cpu =
      report.cpu_percent_at_rest / kPercent * seconds * size;
  report.cpu_ms_per_change =
      kMillisecondsPerSecond *
      (after.cpu_seconds - before.cpu_seconds - rest_cpu) / (changes * size);
  report.platform_reads_per_change =
      (after.platform_reads - before.platform_reads -
       report.platform_reads_per_second_at_rest * seconds) /
      changes;
  report.platform_writes_per_change =
      (after.platform_writes - before.platform_writes -
       report.platform_writes_per_second_at_rest * seconds) /
      changes;

  std::vector<Exchange> burst;
  for (uint32_t i = 0; i < settings.burst_changes; ++i) {
    burst.push_back(MakeChange(fleet, settings.steady_changes + i, size));
  }
  RunExchanges(burst, kAnswerTimeout);
  std::this_thread::sleep_for(kSettleTime);
  report.max_memory_bytes = ReadTotals(fleet).max_memory_bytes;
  MeasureConvergence(fleet, size, AcceptedOf(steady), report.steady);
  MeasureConvergence(fleet, size, AcceptedOf(burst), report.burst);
  return report;
}

}  // namespace buckthorncart
