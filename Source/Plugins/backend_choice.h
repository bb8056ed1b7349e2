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
  uint32_t slots = 1;
  /// Requests that this daemon has sent there and that are not answered.
  uint32_t in_flight = 0;
  /// Share of slots in use when it last answered, per mille, and how long ago.
  uint32_t load_per_mille = 0;
  Duration load_age{};
};

template <typename P>
concept BackendChoice = requires(const P policy, Context& ctx,
                                 const std::vector<Candidate>& all) {
  { policy.Pick(ctx, all) } -> std::same_as<size_t>;
};

/// The less loaded of two random candidates (Mitzenmacher 2001), from the own
/// data centre while it has any.
struct TwoRandomChoices {
  size_t Pick(Context& ctx, const std::vector<Candidate>& all) const;
};

/// Any candidate of the own data centre at random; the baseline in benchmarks.
struct UniformChoice {
  size_t Pick(Context& ctx, const std::vector<Candidate>& all) const;
};

}  // namespace buckthorncart
