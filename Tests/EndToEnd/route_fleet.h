#pragma once
/// \file
/// A fleet of processes with one service and one route.

#include <cstdint>
#include <string>

#include "EndToEnd/process_fleet.h"

namespace buckthorncart {

/// A platform and daemons in three data centres; backend servers of service
/// `catalogus` beside all daemons but the first; route /proofs in force.
class RouteFleet {
 public:
  explicit RouteFleet(uint32_t daemons);

  ProcessFleet& Processes() { return processes_; }
  /// Backend servers that daemon `n` knows to be ready.
  size_t ReadyBackendServers(uint32_t n);
  /// Value of a metric of daemon `n`, or -1.
  double Metric(uint32_t n, const std::string& name);

 private:
  ProcessFleet processes_;
};

}  // namespace buckthorncart
