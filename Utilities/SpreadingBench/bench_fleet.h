#pragma once
/// \file
/// Daemons and a platform as processes on loopback, for the benchmark.

#include <sys/types.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "Base/address.h"
#include "Base/time.h"
#include "Wire/http.h"

namespace buckthorncart {

struct FleetSettings {
  /// Folder of the project's programs.
  std::string programs;
  /// Folder for the processes' logs.
  std::string logs;
  uint32_t size = 3;
  std::vector<std::string> daemon_flags;
};

/// One HTTP request with its answer.
struct Exchange {
  Address to;
  HttpRequest request;
  /// 0 until a whole answer has come.
  uint16_t status = 0;
  std::string body;
};

/// What one daemon has used so far.
struct DaemonUsage {
  double control_bytes = 0;
  double cpu_seconds = 0;
  double memory_bytes = 0;
};

/// Owns the processes; the destructor ends them. Daemons are spread over five
/// data centres by turns.
class BenchFleet {
 public:
  explicit BenchFleet(FleetSettings settings);
  ~BenchFleet();
  BenchFleet(const BenchFleet&) = delete;
  BenchFleet& operator=(const BenchFleet&) = delete;

  void StartPlatform();
  void StartDaemons();
  /// True once every daemon is ready and knows all others.
  bool WaitUntilJoined(Duration limit) const;

  Address Platform() const;
  Address Operators(uint32_t n) const;
  std::string LogOf(uint32_t n) const;
  /// Usage of daemon `n`; `metrics` is its metrics page.
  DaemonUsage UsageOf(uint32_t n, const std::string& metrics) const;
  /// Metrics page of every daemon, from daemon 1 on.
  std::vector<std::string> MetricsPages() const;

 private:
  Address AddressOf(uint32_t host, uint16_t port) const;
  void Spawn(const std::string& name, const std::string& program,
             const std::vector<std::string>& arguments);

  FleetSettings settings_;
  uint32_t network_;
  std::map<std::string, pid_t> processes_;
};

/// Runs all exchanges at once; those without an answer within `limit` keep
/// status 0.
void RunExchanges(std::vector<Exchange>& exchanges, Duration limit);

/// Value of `name` on a metrics page, or 0.
double MetricOf(const std::string& page, const std::string& name);

}  // namespace buckthorncart
