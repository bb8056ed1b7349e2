#pragma once
/// \file
/// One run of the benchmark: one spreading mode on one fleet.

#include <cstdint>
#include <string>
#include <vector>

#include "Base/time.h"
#include "SpreadingBench/bench_fleet.h"

namespace buckthorncart {

struct RunSettings {
  FleetSettings fleet;
  /// Numbers of changes sent one after another and sent concurrently.
  uint32_t steady_changes = 20;
  uint32_t burst_changes = 20;
  Duration steady_interval = 500ms;
  Duration rest = 10s;
  /// Time from joining to the first measurement, in which the gossip traffic of
  /// joining subsides.
  Duration settle = 20s;
};

/// Times from acceptance, when the first daemon holds a change, until every
/// daemon holds it, milliseconds.
struct Convergence {
  uint32_t sent = 0;
  uint32_t accepted = 0;
  /// Accepted changes that did not reach every daemon.
  uint32_t missing = 0;
  std::vector<uint64_t> times_ms;

  uint64_t Quantile(double quantile) const;
};

struct RunReport {
  bool joined = false;
  Convergence steady;
  Convergence burst;
  double control_bytes_per_change = 0;
  double control_bytes_per_second_at_rest = 0;
  double cpu_percent_at_rest = 0;
  double cpu_ms_per_change = 0;
  double max_memory_bytes = 0;
  double platform_reads_per_change = 0;
  double platform_writes_per_change = 0;
  double platform_reads_per_second_at_rest = 0;
  double platform_writes_per_second_at_rest = 0;
};

RunReport RunSpreading(const RunSettings& settings);

}  // namespace buckthorncart
