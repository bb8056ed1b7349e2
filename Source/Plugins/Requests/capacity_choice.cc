#include "Plugins/Requests/capacity_choice.h"

#include <algorithm>

#include "Plugins/Requests/random_sample.h"

namespace buckthorncart {
namespace {

constexpr double kPerMille = 1'000.0;
/// Age at which a load report and the mean load count alike.
constexpr Duration kLoadHalfLife = 500ms;
/// Weight of `kPriorLoad` in the mean load of a data centre, in fresh reports.
constexpr double kPriorWeight = 0.5;
/// Load that is assumed of a data centre without reports.
constexpr double kPriorLoad = 0.5;
/// A local candidate has room below this load. A wrong guess costs a refusal
/// inside the data centre.
constexpr double kLocalRoom = 1.0;
/// A candidate in another data centre has room below this load.
constexpr double kRemoteRoom = 0.9;
constexpr size_t kLocalSampleSize = 4;
constexpr size_t kRemoteSampleSize = 2;
/// Longest wait for the link of a candidate that has room.
constexpr Duration kMaxRoomLinkWait = 300ms;
/// Time assumed for a route of which no call has been measured.
constexpr Duration kDefaultTime = 50ms;
/// Bounds of a reported pace, per mille.
constexpr uint32_t kMinPace = 100;
constexpr uint32_t kMaxPace = 20'000;
/// Cost of a full backend server as a multiple of its run time. A backend
/// server that is several times slower than the others gets calls only when
/// they are full; one that is twice as slow shares their load.
constexpr double kLoadCost = 3.0;
/// Cost of a call that leaves its data centre; more than the time of the link,
/// since its bytes are expensive.
constexpr double kCrossDataCentreUs = 60'000.0;
constexpr double kFailurePenaltyUs = 1'000'000.0;

/// Weight of the last load report, from 0 to 1.
double ReportWeight(const Candidate& candidate) {
  const double half_lives = static_cast<double>(candidate.load_age.count()) /
                            static_cast<double>(kLoadHalfLife.count());
  return 1.0 / (1.0 + std::max(half_lives, 0.0));
}

double ReportedLoad(const Candidate& candidate) {
  return candidate.load_per_mille / kPerMille;
}

/// Number of requests that the candidate runs well at the same time.
uint32_t CapacityOf(const Candidate& candidate) {
  if (candidate.capacity == 0) return candidate.slots;
  return std::min(candidate.capacity, candidate.slots);
}

double MeanLoad(const std::vector<Candidate>& all, bool same_data_centre) {
  double weights = kPriorWeight;
  double sum = kPriorWeight * kPriorLoad;
  for (const Candidate& candidate : all) {
    if (candidate.same_data_centre != same_data_centre) continue;
    const double weight = ReportWeight(candidate);
    weights += weight;
    sum += weight * std::min(ReportedLoad(candidate), 1.0);
  }
  return sum / weights;
}

}  // namespace

ExpectedLoads::ExpectedLoads(const std::vector<Candidate>& all)
    : local_mean_(MeanLoad(all, true)), remote_mean_(MeanLoad(all, false)) {}

double ExpectedLoads::LoadOf(const Candidate& candidate) const {
  const double mean = candidate.same_data_centre ? local_mean_ : remote_mean_;
  const double weight = ReportWeight(candidate);
  const double expected =
      weight * ReportedLoad(candidate) + (1 - weight) * mean;
  const double own = static_cast<double>(candidate.in_flight) /
                     static_cast<double>(CapacityOf(candidate));
  return std::max(own, expected) / candidate.weight;
}

double ExpectedCost(const Candidate& candidate, double load) {
  const Duration typical = candidate.typical_time > Duration::zero()
                               ? candidate.typical_time
                               : kDefaultTime;
  double time = static_cast<double>(typical.count());
  if (candidate.pace_per_mille > 0) {
    time *=
        std::clamp(candidate.pace_per_mille, kMinPace, kMaxPace) / kPerMille;
  } else {
    // The own measurement decays, so that only a longer time is evidence.
    time = std::max(time, static_cast<double>(candidate.expected_time.count()));
  }
  const double with_call =
      load + 1.0 / static_cast<double>(CapacityOf(candidate));
  const Duration until_body = candidate.link_wait + candidate.body_time;
  const double link_latency =
      candidate.same_data_centre ? 0.0 : kCrossDataCentreUs;
  return time * (1.0 + kLoadCost * with_call * with_call) +
         static_cast<double>(until_body.count()) + link_latency +
         candidate.failure_rate * kFailurePenaltyUs;
}

size_t CapacityChoice::Pick(Context& ctx,
                            const std::vector<Candidate>& all) const {
  const ExpectedLoads loads(all);
  const auto has_room = [&](size_t i) {
    const double room = all[i].same_data_centre ? kLocalRoom : kRemoteRoom;
    return loads.LoadOf(all[i]) < room && all[i].link_wait <= kMaxRoomLinkWait;
  };
  std::vector<size_t> local;
  std::vector<size_t> local_with_room;
  std::vector<size_t> remote;
  std::vector<size_t> remote_with_room;
  for (size_t i = 0; i < all.size(); ++i) {
    const bool is_local = all[i].same_data_centre;
    (is_local ? local : remote).push_back(i);
    if (!has_room(i)) continue;
    (is_local ? local_with_room : remote_with_room).push_back(i);
  }
  // Full candidates elsewhere are of use only if there is no local one.
  if (local.empty() && remote_with_room.empty()) remote_with_room = remote;
  std::vector<size_t> sampled = RandomSample(
      ctx, local_with_room.empty() ? local : local_with_room, kLocalSampleSize);
  if (local_with_room.empty()) {
    for (const size_t i :
         RandomSample(ctx, remote_with_room, kRemoteSampleSize))
      sampled.push_back(i);
  }
  const auto cost = [&](size_t i) {
    return ExpectedCost(all[i], loads.LoadOf(all[i]));
  };
  return *std::min_element(
      sampled.begin(), sampled.end(),
      [&](size_t a, size_t b) { return cost(a) < cost(b); });
}

}  // namespace buckthorncart
