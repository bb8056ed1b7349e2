#pragma once
/// \file
/// Choice of the backend server by the speed and the free capacity that the
/// daemons of the backend servers report.

#include <cstddef>
#include <vector>

#include "Plugins/Requests/backend_choice.h"

namespace buckthorncart {

/// Draws random candidates in the local data centre and picks the one with the
/// lowest expected time. Candidates in other data centres are drawn too if no
/// local one is expected to have room, and picked if the gain exceeds the cost
/// of the link. Where the last load report of a candidate is old, the mean load
/// of its data centre takes its place, so that an unknown candidate does not
/// look free.
struct CapacityChoice {
  size_t Pick(Context& ctx, const std::vector<Candidate>& all) const;
};

/// Loads that a receiving daemon expects, from 0 (idle) upwards; 1 is a backend
/// server that has all its capacity in use.
class ExpectedLoads {
 public:
  explicit ExpectedLoads(const std::vector<Candidate>& all);
  double LoadOf(const Candidate& candidate) const;

 private:
  double local_mean_ = 0;
  double remote_mean_ = 0;
};

/// Expected time from sending the call to its answer in microseconds, and the
/// penalties for a link to another data centre and for recent failures.
double ExpectedCost(const Candidate& candidate, double load);

}  // namespace buckthorncart
