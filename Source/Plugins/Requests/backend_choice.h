#pragma once
/// \file
/// Policies that choose the backend server for a request.

#include <concepts>
#include <cstdint>
#include <vector>

#include "Base/address.h"
#include "Base/time.h"
#include "Kernel/context.h"

namespace buckthorncart {

/// A backend server that may take the request, with what is known of it.
struct Candidate {
  Address daemon;
  bool same_data_centre = false;
  /// Its daemon does not answer probes.
  bool suspect = false;
  uint32_t slots = 1;
  /// Requests that this daemon has sent there and that are not answered.
  uint32_t in_flight = 0;
  /// Share of slots in use when it last answered, per mille, and how long ago.
  uint32_t load_per_mille = 0;
  Duration load_age{};
  /// Time in which it answered lately; zero when unknown.
  Duration expected_time{};
  /// Share of its answers that were failures lately.
  double failure_share = 0;
  /// Share of its slots that may be used, below 1 during slow start.
  double weight = 1.0;
};

template <typename P>
concept BackendChoice = requires(const P policy, Context& ctx,
                                 const std::vector<Candidate>& all) {
  { policy.Pick(ctx, all) } -> std::same_as<size_t>;
};

/// The less loaded of two random candidates (Mitzenmacher 2001), from the own
/// data centre while one of its backend servers has a free slot.
struct TwoRandomChoices {
  size_t Pick(Context& ctx, const std::vector<Candidate>& all) const;
};

/// The one of two random candidates that is expected to answer first: its load
/// times the time that it took lately.
struct LeastTimeChoice {
  size_t Pick(Context& ctx, const std::vector<Candidate>& all) const;
};

/// The one of two random candidates in the own data centre and two outside that
/// is expected to answer first, where the way out counts as a wait.
struct NearestChoice {
  size_t Pick(Context& ctx, const std::vector<Candidate>& all) const;
};

/// Any candidate of the own data centre at random; the baseline in benchmarks.
struct UniformChoice {
  size_t Pick(Context& ctx, const std::vector<Candidate>& all) const;
};

}  // namespace buckthorncart
