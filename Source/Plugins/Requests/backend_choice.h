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

/// A backend server eligible for the request, with the statistics that the
/// policies compare.
struct Candidate {
  Address daemon;
  bool same_data_centre = false;
  /// Its daemon has not answered a membership probe.
  bool suspect = false;
  uint32_t slots = 1;
  /// Requests that this daemon has sent there and that are still unanswered.
  uint32_t in_flight = 0;
  /// Share of slots in use, in per mille, as of its last report.
  uint32_t load_per_mille = 0;
  /// Time since that report.
  Duration load_age{};
  /// Recent average of its answer times on the route; zero when unknown.
  Duration expected_time{};
  /// Time that the body of the call takes on the way to its daemon; zero if the
  /// body is sent with the call.
  Duration body_time{};
  /// Wait until the body can be sent.
  Duration link_wait{};
  /// Recent share of its answers that were failures, from 0 to 1.
  double failure_rate = 0;
  /// Share of its slots that may be used; below 1 during slow start.
  double weight = 1.0;
  /// Learned number of requests that it runs well at the same time; 0 if it is
  /// not known.
  uint32_t capacity = 0;
  /// Its run times as a multiple of the typical ones, in per mille; 0 if not
  /// known.
  uint32_t pace_per_mille = 0;
  /// Mean time of recent calls of the route at all backend servers; zero if not
  /// known.
  Duration typical_time{};
  /// Its version gets a share of the calls only.
  bool staged = false;
};

template <typename P>
concept BackendChoice = requires(const P policy, Context& ctx,
                                 const std::vector<Candidate>& all) {
  { policy.Pick(ctx, all) } -> std::same_as<size_t>;
};

/// Picks the less loaded of two random candidates (Mitzenmacher 2001). Both are
/// drawn from the local data centre unless it has no backend servers or all of
/// them are full.
struct TwoRandomChoices {
  size_t Pick(Context& ctx, const std::vector<Candidate>& all) const;
};

/// Draws two candidates as `TwoRandomChoices` does and picks the one with the
/// lower product of load and recent answer time.
struct LeastTimeChoice {
  size_t Pick(Context& ctx, const std::vector<Candidate>& all) const;
};

/// Draws random candidates in the local data centre and picks the one with the
/// lowest expected answer time. If none of them has room, it also draws
/// candidates in other data centres. The latency of the link there, recent
/// failures, and the way of a large body count towards the time.
struct NearestChoice {
  size_t Pick(Context& ctx, const std::vector<Candidate>& all) const;
};

/// Picks a random candidate of the local data centre, whatever its load; the
/// baseline in benchmarks.
struct UniformChoice {
  size_t Pick(Context& ctx, const std::vector<Candidate>& all) const;
};

}  // namespace buckthorncart
