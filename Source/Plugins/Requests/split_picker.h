#pragma once
/// \file
/// Traffic split: distributes the requests of a route among its services.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "Config/objects.h"

namespace buckthorncart {

/// Smooth weighted round robin: after any number of requests, the count of each
/// service is within one request of its share. The state is kept across
/// versions of the configuration while the split of the route is unchanged.
class SplitPicker {
 public:
  /// Service for the next request on `route`, which must have a split.
  const std::string& Pick(const Route& route) {
    RouteState& state = by_route_[route.name];
    if (state.split != route.split) {
      state.split = route.split;
      state.credits.assign(route.split.size(), 0);
    }
    int64_t total_weight = 0;
    size_t best = 0;
    for (size_t i = 0; i < state.split.size(); ++i) {
      state.credits[i] += state.split[i].weight;
      total_weight += state.split[i].weight;
      if (state.credits[i] > state.credits[best]) best = i;
    }
    state.credits[best] -= total_weight;
    return route.split[best].service;
  }

 private:
  struct RouteState {
    std::vector<WeightedService> split;
    std::vector<int64_t> credits;
  };

  std::map<std::string, RouteState> by_route_;
};

}  // namespace buckthorncart
