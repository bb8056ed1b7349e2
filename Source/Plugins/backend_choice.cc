#include "Plugins/backend_choice.h"

namespace buckthorncart {
namespace {

/// A load report loses half of its weight in this time.
constexpr Duration kLoadHalfLife = 500ms;
constexpr double kPerMille = 1'000.0;

/// Indices of the candidates in the own data centre, or of all.
std::vector<size_t> Nearest(const std::vector<Candidate>& all) {
  std::vector<size_t> near;
  for (size_t i = 0; i < all.size(); ++i) {
    if (all[i].same_data_centre) near.push_back(i);
  }
  if (!near.empty()) return near;
  for (size_t i = 0; i < all.size(); ++i) near.push_back(i);
  return near;
}

double Cost(const Candidate& candidate) {
  const double half_lives = static_cast<double>(candidate.load_age.count()) /
                            static_cast<double>(kLoadHalfLife.count());
  const double weight = 1.0 / (1.0 + half_lives);
  const double reported = candidate.load_per_mille / kPerMille;
  const double own = static_cast<double>(candidate.in_flight) /
                     static_cast<double>(candidate.slots);
  return own + weight * reported;
}

size_t PickOne(Context& ctx, const std::vector<size_t>& from) {
  return from[ctx.RandomBelow(static_cast<uint32_t>(from.size()))];
}

}  // namespace

size_t TwoRandomChoices::Pick(Context& ctx,
                              const std::vector<Candidate>& all) const {
  const std::vector<size_t> near = Nearest(all);
  const size_t first = PickOne(ctx, near);
  const size_t second = PickOne(ctx, near);
  return Cost(all[second]) < Cost(all[first]) ? second : first;
}

size_t UniformChoice::Pick(Context& ctx,
                           const std::vector<Candidate>& all) const {
  return PickOne(ctx, Nearest(all));
}

}  // namespace buckthorncart
