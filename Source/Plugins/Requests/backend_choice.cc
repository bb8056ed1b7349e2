#include "Plugins/Requests/backend_choice.h"

#include <algorithm>

namespace buckthorncart {
namespace {

/// A load report loses half of its weight in this time.
constexpr Duration kLoadHalfLife = 500ms;
constexpr double kPerMille = 1'000.0;
/// Backend servers with at least this share of slots in use are full; when all
/// of the own data centre are, others are considered.
constexpr double kFullShare = 0.9;
/// Candidates compared in and outside the own data centre. Many daemons that
/// compared all would choose the same one at the same time.
constexpr size_t kDrawn = 2;

double ReportedShare(const Candidate& candidate) {
  const double half_lives = static_cast<double>(candidate.load_age.count()) /
                            static_cast<double>(kLoadHalfLife.count());
  return candidate.load_per_mille / kPerMille / (1.0 + half_lives);
}

double OwnShare(const Candidate& candidate, uint32_t in_flight) {
  return static_cast<double>(in_flight) / static_cast<double>(candidate.slots);
}

bool IsFull(const Candidate& candidate) {
  const double share = std::max(OwnShare(candidate, candidate.in_flight),
                                ReportedShare(candidate));
  return share >= kFullShare * candidate.weight;
}

std::vector<size_t> AllIndices(const std::vector<Candidate>& all) {
  std::vector<size_t> indices(all.size());
  for (size_t i = 0; i < all.size(); ++i) indices[i] = i;
  return indices;
}

/// Indices of the candidates in the own data centre, or of all when there are
/// none or all of them are full.
std::vector<size_t> Nearest(const std::vector<Candidate>& all) {
  std::vector<size_t> near;
  bool full = true;
  for (size_t i = 0; i < all.size(); ++i) {
    if (!all[i].same_data_centre) continue;
    near.push_back(i);
    full = full && IsFull(all[i]);
  }
  return near.empty() || full ? AllIndices(all) : near;
}

/// Load that the candidate would have with one request more.
double Load(const Candidate& candidate) {
  return (OwnShare(candidate, candidate.in_flight + 1) +
          ReportedShare(candidate)) /
         candidate.weight;
}

/// Expected time of an answer, in units that only compare.
double ExpectedTime(const Candidate& candidate) {
  constexpr double kLeast = 1.0;
  const auto time = static_cast<double>(candidate.expected_time.count());
  return Load(candidate) * std::max(time, kLeast);
}

/// Expected time until an answer, with the way to another data centre.
double NearestCost(const Candidate& candidate) {
  constexpr double kLeastTimeUs = 10'000.0;
  constexpr double kCrossingUs = 60'000.0;
  constexpr double kFailureUs = 1'000'000.0;
  const double time = std::max(
      static_cast<double>(candidate.expected_time.count()), kLeastTimeUs);
  const double share = std::max(OwnShare(candidate, candidate.in_flight + 1),
                                ReportedShare(candidate)) /
                       candidate.weight;
  const double crossing = candidate.same_data_centre ? 0.0 : kCrossingUs;
  const double failures = candidate.failure_share * kFailureUs;
  return time * (1.0 + share) + crossing + failures;
}

size_t PickOne(Context& ctx, const std::vector<size_t>& from) {
  return from[ctx.RandomBelow(static_cast<uint32_t>(from.size()))];
}

/// Up to `n` of `from`, at random and without repetition.
std::vector<size_t> Draw(Context& ctx, std::vector<size_t> from, size_t n) {
  n = std::min(n, from.size());
  for (size_t i = 0; i < n; ++i) {
    const auto left = static_cast<uint32_t>(from.size() - i);
    std::swap(from[i], from[i + ctx.RandomBelow(left)]);
  }
  from.resize(n);
  return from;
}

/// The one of two random candidates with the lower cost.
template <typename Cost>
size_t PickBetter(Context& ctx, const std::vector<Candidate>& all, Cost cost) {
  const std::vector<size_t> near = Nearest(all);
  const size_t first_at = ctx.RandomBelow(static_cast<uint32_t>(near.size()));
  const size_t first = near[first_at];
  if (near.size() == 1) return first;
  // The second is another one; else a slow candidate is drawn twice so often
  // that its queue grows in spite of the comparison.
  const auto step = ctx.RandomBelow(static_cast<uint32_t>(near.size() - 1));
  const size_t second = near[(first_at + 1 + step) % near.size()];
  return cost(all[second]) < cost(all[first]) ? second : first;
}

}  // namespace

size_t TwoRandomChoices::Pick(Context& ctx,
                              const std::vector<Candidate>& all) const {
  return PickBetter(ctx, all, Load);
}

size_t LeastTimeChoice::Pick(Context& ctx,
                             const std::vector<Candidate>& all) const {
  return PickBetter(ctx, all, ExpectedTime);
}

size_t NearestChoice::Pick(Context& ctx,
                           const std::vector<Candidate>& all) const {
  std::vector<size_t> near;
  std::vector<size_t> far;
  for (size_t i = 0; i < all.size(); ++i) {
    (all[i].same_data_centre ? near : far).push_back(i);
  }
  std::vector<size_t> drawn = Draw(ctx, near, kDrawn);
  for (const size_t i : Draw(ctx, far, kDrawn)) drawn.push_back(i);
  return *std::min_element(drawn.begin(), drawn.end(), [&](size_t a, size_t b) {
    return NearestCost(all[a]) < NearestCost(all[b]);
  });
}

size_t UniformChoice::Pick(Context& ctx,
                           const std::vector<Candidate>& all) const {
  std::vector<size_t> near;
  for (size_t i = 0; i < all.size(); ++i) {
    if (all[i].same_data_centre) near.push_back(i);
  }
  return PickOne(ctx, near.empty() ? AllIndices(all) : near);
}

}  // namespace buckthorncart
