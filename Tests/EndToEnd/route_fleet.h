#pragma once
/// \file
/// A fleet of processes with one service and one route.

#include <cstdint>
#include <string>

#include "EndToEnd/process_fleet.h"

namespace buckthorncart {

/// A platform and daemons in three data centres; a backend server of service
/// `catalogus` for each daemon except the first; route /proofs is in force.
class RouteFleet {
 public:
  explicit RouteFleet(uint32_t daemons);

  ProcessFleet& Processes() { return processes_; }
  /// Number of backend servers that daemon `n` lists as ready.
  size_t ReadyBackendServers(uint32_t n);
  /// Value of a metric of daemon `n`, or -1 if it is absent.
  double Metric(uint32_t n, const std::string& name);

 private:
  ProcessFleet processes_;
};

}  // namespace buckthorncart
