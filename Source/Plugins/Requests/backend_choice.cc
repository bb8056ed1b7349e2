#include "Plugins/Requests/backend_choice.h"

#include <algorithm>

#include "Plugins/Requests/random_sample.h"

namespace buckthorncart {
namespace {

/// Age at which a load report counts for half of its value.
constexpr Duration kLoadHalfLife = 500ms;
constexpr double kPerMille = 1'000.0;
/// A backend server counts as full from this share of slots in use on. Other
/// data centres are considered once all local backend servers are full.
constexpr double kFullThreshold = 0.9;
/// Number of candidates that are compared inside and outside of the local data
/// centre. If every daemon compared all candidates, many daemons would choose
/// the same one at the same time. In a large fleet a daemon has old reports of
/// most candidates, so that some of a few local ones seem to be full.
constexpr size_t kLocalSampleSize = 4;
constexpr size_t kRemoteSampleSize = 2;
/// Longest wait for the link of a candidate that has room.
constexpr Duration kMaxRoomLinkWait = 300ms;

/// Reported share of slots in use, discounted by the age of the report.
double ReportedLoad(const Candidate& candidate) {
  const double half_lives = static_cast<double>(candidate.load_age.count()) /
                            static_cast<double>(kLoadHalfLife.count());
  return candidate.load_per_mille / kPerMille / (1.0 + half_lives);
}

/// Share of the slots that the requests of this daemon would take.
double OwnLoad(const Candidate& candidate, uint32_t in_flight) {
  return static_cast<double>(in_flight) / static_cast<double>(candidate.slots);
}

bool IsFull(const Candidate& candidate) {
  const double load = std::max(OwnLoad(candidate, candidate.in_flight),
                               ReportedLoad(candidate));
  return load >= kFullThreshold * candidate.weight;
}

/// Returns true if the candidate is expected to take a call without delay.
bool HasRoom(const Candidate& candidate) {
  return !IsFull(candidate) && candidate.link_wait <= kMaxRoomLinkWait;
}

std::vector<size_t> AllIndices(const std::vector<Candidate>& all) {
  std::vector<size_t> indices(all.size());
  for (size_t i = 0; i < all.size(); ++i) indices[i] = i;
  return indices;
}

/// Indices of the candidates in the local data centre, or of all candidates if
/// there are no local ones or all local ones are full.
std::vector<size_t> PreferredIndices(const std::vector<Candidate>& all) {
  std::vector<size_t> local;
  bool full = true;
  for (size_t i = 0; i < all.size(); ++i) {
    if (!all[i].same_data_centre) continue;
    local.push_back(i);
    full = full && IsFull(all[i]);
  }
  return local.empty() || full ? AllIndices(all) : local;
}

/// Load that the candidate would have with one more request.
double Load(const Candidate& candidate) {
  return (OwnLoad(candidate, candidate.in_flight + 1) +
          ReportedLoad(candidate)) /
         candidate.weight;
}

/// Expected answer time in arbitrary units, for comparisons only.
double LeastTimeCost(const Candidate& candidate) {
  constexpr double kMinTimeUs = 1.0;
  const auto time = static_cast<double>(candidate.expected_time.count());
  return Load(candidate) * std::max(time, kMinTimeUs);
}

/// Expected answer time in microseconds, including the latency of the link to
/// another data centre and a penalty for recent failures.
double NearestCost(const Candidate& candidate) {
  constexpr double kMinTimeUs = 10'000.0;
  constexpr double kCrossDataCentreUs = 60'000.0;
  constexpr double kFailurePenaltyUs = 1'000'000.0;
  const double time = std::max(
      static_cast<double>(candidate.expected_time.count()), kMinTimeUs);
  const double load = std::max(OwnLoad(candidate, candidate.in_flight + 1),
                               ReportedLoad(candidate)) /
                      candidate.weight;
  const double link_latency =
      candidate.same_data_centre ? 0.0 : kCrossDataCentreUs;
  const double failure_penalty = candidate.failure_rate * kFailurePenaltyUs;
  const Duration until_body = candidate.link_wait + candidate.body_time;
  const auto body_time = static_cast<double>(until_body.count());
  return time * (1.0 + load) + body_time + link_latency + failure_penalty;
}

size_t PickUniform(Context& ctx, const std::vector<size_t>& from) {
  return from[ctx.RandomBelow(static_cast<uint32_t>(from.size()))];
}

/// Draws two random preferred candidates and returns the one with the lower
/// cost.
template <typename Cost>
size_t PickBetter(Context& ctx, const std::vector<Candidate>& all, Cost cost) {
  const std::vector<size_t> preferred = PreferredIndices(all);
  const size_t first_at =
      ctx.RandomBelow(static_cast<uint32_t>(preferred.size()));
  const size_t first = preferred[first_at];
  if (preferred.size() == 1) return first;
  // The second candidate must differ from the first. Otherwise a slow candidate
  // is compared with itself so often that its queue grows in spite of the
  // comparison.
  const auto step =
      ctx.RandomBelow(static_cast<uint32_t>(preferred.size() - 1));
  const size_t second = preferred[(first_at + 1 + step) % preferred.size()];
  return cost(all[second]) < cost(all[first]) ? second : first;
}

}  // namespace

size_t TwoRandomChoices::Pick(Context& ctx,
                              const std::vector<Candidate>& all) const {
  return PickBetter(ctx, all, Load);
}

size_t LeastTimeChoice::Pick(Context& ctx,
                             const std::vector<Candidate>& all) const {
  return PickBetter(ctx, all, LeastTimeCost);
}

size_t NearestChoice::Pick(Context& ctx,
                           const std::vector<Candidate>& all) const {
  std::vector<size_t> local;
  std::vector<size_t> remote;
  for (size_t i = 0; i < all.size(); ++i) {
    (all[i].same_data_centre ? local : remote).push_back(i);
  }
  std::vector<size_t> sampled = RandomSample(ctx, local, kLocalSampleSize);
  const bool local_room =
      std::any_of(sampled.begin(), sampled.end(),
                  [&](size_t i) { return HasRoom(all[i]); });
  if (!local_room) {
    for (const size_t i : RandomSample(ctx, remote, kRemoteSampleSize))
      sampled.push_back(i);
  }
  return *std::min_element(sampled.begin(), sampled.end(),
                           [&](size_t a, size_t b) {
                             return NearestCost(all[a]) < NearestCost(all[b]);
                           });
}

size_t UniformChoice::Pick(Context& ctx,
                           const std::vector<Candidate>& all) const {
  std::vector<size_t> local;
  for (size_t i = 0; i < all.size(); ++i) {
    if (all[i].same_data_centre) local.push_back(i);
  }
  return PickUniform(ctx, local.empty() ? AllIndices(all) : local);
}

}  // namespace buckthorncart
