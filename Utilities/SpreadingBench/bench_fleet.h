#pragma once
/// \file
/// Daemons and a platform stand-in as processes on loopback, for the benchmark.

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
  /// Directory of the project's programs.
  std::string programs;
  /// Directory for the logs of the processes.
  std::string logs;
  uint32_t size = 3;
  std::vector<std::string> daemon_flags;
};

/// One HTTP request with its answer.
struct Exchange {
  Address to;
  HttpRequest request;
  /// 0 until a complete answer has been received.
  uint16_t status = 0;
  std::string body;
};

/// Resource usage of one daemon since its start.
struct DaemonUsage {
  double control_bytes = 0;
  double cpu_seconds = 0;
  double memory_bytes = 0;
};

/// Owns the processes; the destructor kills them. Daemons are assigned to five
/// data centres in round-robin order.
class BenchFleet {
 public:
  explicit BenchFleet(FleetSettings settings);
  ~BenchFleet();
  BenchFleet(const BenchFleet&) = delete;
  BenchFleet& operator=(const BenchFleet&) = delete;

  void StartPlatform();
  void StartDaemons();
  /// Waits until every daemon is ready and lists all others as members; returns
  /// false on a timeout.
  bool WaitUntilJoined(Duration timeout) const;

  Address Platform() const;
  Address Operators(uint32_t n) const;
  std::string LogOf(uint32_t n) const;
  /// Resource usage of daemon `n`; `metrics` is its metrics page.
  DaemonUsage UsageOf(uint32_t n, const std::string& metrics) const;
  /// Metrics pages of all daemons, starting with daemon 1.
  std::vector<std::string> MetricsPages() const;

 private:
  Address AddressOf(uint32_t host, uint16_t port) const;
  void Spawn(const std::string& name, const std::string& program,
             const std::vector<std::string>& arguments);

  FleetSettings settings_;
  uint32_t network_;
  std::map<std::string, pid_t> processes_;
};

/// Runs all exchanges concurrently; those without an answer within `timeout`
/// keep status 0.
void RunExchanges(std::vector<Exchange>& exchanges, Duration timeout);

/// Value of metric `name` on a metrics page, or 0 if it is absent.
double MetricOf(const std::string& page, const std::string& name);

}  // namespace buckthorncart
