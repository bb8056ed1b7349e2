#pragma once
/// \file
/// Shares the requests of a route among its services.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "Config/objects.h"

namespace buckthorncart {

/// Smooth weighted round robin: after any number of requests, each service is
/// at most one request off its share. The order is kept across versions of the
/// configuration while the weights stay.
class SplitPicker {
 public:
  /// Service of the next request on `route`, which has a split.
  const std::string& Pick(const Route& route) {
    Shares& shares = by_route_[route.name];
    if (shares.split != route.split) {
      shares.split = route.split;
      shares.owed.assign(route.split.size(), 0);
    }
    int64_t sum = 0;
    size_t best = 0;
    for (size_t i = 0; i < shares.split.size(); ++i) {
      shares.owed[i] += shares.split[i].weight;
      sum += shares.split[i].weight;
      if (shares.owed[i] > shares.owed[best]) best = i;
    }
    shares.owed[best] -= sum;
    return route.split[best].service;
  }

 private:
  struct Shares {
    std::vector<WeightedService> split;
    std::vector<int64_t> owed;
  };

  std::map<std::string, Shares> by_route_;
};

}  // namespace buckthorncart
