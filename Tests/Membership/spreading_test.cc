#include <doctest/doctest.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>

#include "Kernel/spreading_profile.h"
#include "Membership/large_fleet.h"
#include "Plugins/Configuration/configuration_replica.h"

namespace buckthorncart {
namespace {

constexpr uint32_t kSize = 100;
/// Targets of the time until in force everywhere.
constexpr Duration kTarget = 1s;
constexpr Duration kTargetWithFaults = 20s;

/// Tells nobody, so that only probes pass versions on.
struct NoSpreading {
  std::vector<SpreadTarget> Targets(Context& /*ctx*/, Address /*from*/,
                                    uint64_t /*version*/) const {
    return {};
  }
};

LargeFleet::Adjust Using(Spreading way) {
  return [way](KernelSettings& settings) { settings.spreading = way; };
}

/// Time from the first holder of the next version until all hold it.
Duration TimeOfChange(LargeFleet& test, uint32_t n, Duration limit) {
  const uint64_t version = test.fleet.At(n).Version() + 1;
  const std::vector<uint32_t> numbers = test.fleet.Numbers();
  test.fleet.Submit(n, "POST", "/v1/changes",
                    "create service s" + std::to_string(version));
  const auto holds = [&](uint32_t i) {
    return test.fleet.At(i).Version() >= version;
  };
  const auto any = [&] {
    return std::any_of(numbers.begin(), numbers.end(), holds);
  };
  const auto all = [&] {
    return std::all_of(numbers.begin(), numbers.end(), holds);
  };
  REQUIRE(test.fleet.AdvanceUntil(any, 10s));
  const Time first = test.fleet.Now();
  test.fleet.AdvanceUntil(all, limit);
  return test.fleet.Now() - first;
}

/// Longest of ten changes, each accepted by another daemon.
Duration LongestTime(LargeFleet& test) {
  REQUIRE(test.fleet.AdvanceUntil([&] { return test.WholeEverywhere(); }, 30s));
  test.fleet.Advance(5s);
  Duration longest{};
  for (uint32_t n = 1; n <= 10; ++n) {
    longest = std::max(longest, TimeOfChange(test, 7 * n, 30s));
    test.fleet.Advance(500ms);
  }
  return longest;
}

TEST_CASE("spreading: a change is in force on 100 daemons within a second") {
  for (const Spreading way :
       {Spreading::kPush, Spreading::kHint, Spreading::kMixed}) {
    LargeFleet test(kSize, StandardPlugins, Using(way));
    const Duration longest = LongestTime(test);
    MESSAGE(NameOf(way) << ": " << ToMilliseconds(longest) << " ms");
    CHECK(longest <= kTarget);
  }
}

TEST_CASE("spreading control: told of nothing, daemons take longer") {
  using Standard =
      ConfigurationReplica<MixedSpreading, StandardConfigurationRules>;
  using Other = ConfigurationReplica<NoSpreading, StandardConfigurationRules>;
  LargeFleet test(kSize, ReplacePlugin<Standard, Other>);
  const Duration longest = LongestTime(test);
  MESSAGE(ToMilliseconds(longest) << " ms");
  CHECK(longest > kTarget);
}

TEST_CASE("spreading: every daemon is told of a change once") {
  LargeFleet test(kSize, StandardPlugins, Using(Spreading::kPush));
  REQUIRE(test.fleet.AdvanceUntil([&] { return test.WholeEverywhere(); }, 30s));
  test.fleet.Advance(30s);
  std::map<Address, uint32_t> told;
  test.Lose([&told](Address /*from*/, const Effect& effect) {
    const auto* message = std::get_if<SendPeer>(&effect);
    const bool push = message != nullptr &&
                      std::holds_alternative<PushChanges>(message->message);
    if (push) ++told[message->to];
    return false;
  });
  TimeOfChange(test, 1, 5s);
  test.fleet.Advance(5s);
  uint32_t sum = 0;
  for (const auto& [address, n] : told) sum += n;
  // The acceptor needs not be told; its parent does not know and tells it.
  CHECK(sum >= kSize - 1);
  CHECK(sum <= kSize + 5);
}

TEST_CASE("spreading: the death of one in ten, unnoticed yet, delays little") {
  for (const Spreading way :
       {Spreading::kPush, Spreading::kHint, Spreading::kMixed}) {
    LargeFleet test(kSize, StandardPlugins, Using(way));
    REQUIRE(
        test.fleet.AdvanceUntil([&] { return test.WholeEverywhere(); }, 30s));
    test.fleet.Advance(5s);
    for (uint32_t n = 2; n <= kSize; n += 10) test.fleet.Kill(n);
    const Duration time = TimeOfChange(test, 1, kTargetWithFaults);
    MESSAGE(NameOf(way) << ": " << ToMilliseconds(time) << " ms");
    CHECK(time < kTargetWithFaults);
  }
}

struct ProfileCost {
  Duration time_with_dead{};
  double bytes_at_rest = 0;
};

ProfileCost CostOf(SpreadingProfile profile) {
  LargeFleet test(kSize, StandardPlugins, [profile](KernelSettings& settings) {
    ApplyProfile(profile, settings);
  });
  REQUIRE(test.fleet.AdvanceUntil([&] { return test.WholeEverywhere(); }, 30s));
  test.fleet.Advance(60s);
  const uint64_t before = test.SentBytesOfAll();
  test.fleet.Advance(20s);
  ProfileCost cost;
  cost.bytes_at_rest =
      static_cast<double>(test.SentBytesOfAll() - before) / 20 / kSize;
  for (uint32_t n = 2; n <= kSize; n += 10) test.fleet.Kill(n);
  cost.time_with_dead = TimeOfChange(test, 1, kTargetWithFaults);
  return cost;
}

TEST_CASE("spreading: each profile is best at what it is named for") {
  const ProfileCost fast = CostOf(SpreadingProfile::kConvergeFast);
  const ProfileCost balanced = CostOf(SpreadingProfile::kBalanced);
  const ProfileCost saving = CostOf(SpreadingProfile::kSaveBytes);
  for (const ProfileCost& cost : {fast, balanced, saving}) {
    MESSAGE(ToMilliseconds(cost.time_with_dead)
            << " ms with one in ten dead, " << cost.bytes_at_rest
            << " B/s at rest");
    CHECK(cost.time_with_dead < kTargetWithFaults);
  }
  CHECK(fast.time_with_dead < balanced.time_with_dead);
  CHECK(saving.bytes_at_rest < balanced.bytes_at_rest);
}

}  // namespace
}  // namespace buckthorncart
