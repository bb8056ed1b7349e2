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
/// Bounds on the time until a change is in force everywhere, without and with
/// failed daemons.
constexpr Duration kMaxTime = 1s;
constexpr Duration kMaxTimeWithFaults = 20s;

/// Sends versions to no daemon, so that they spread only through probes.
struct NoSpreading {
  std::vector<SpreadTarget> Targets(Context& /*ctx*/, Address /*from*/,
                                    uint64_t /*version*/) const {
    return {};
  }
};

LargeFleet::AdjustSettings WithSpreading(Spreading spreading) {
  return
      [spreading](KernelSettings& settings) { settings.spreading = spreading; };
}

/// Submits a change and returns the time from the first daemon that holds it
/// until all daemons hold it.
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

/// Longest time of ten changes, each accepted by a different daemon.
Duration LongestChangeTime(LargeFleet& test) {
  REQUIRE(
      test.fleet.AdvanceUntil([&] { return test.MembershipConverged(); }, 30s));
  test.fleet.Advance(5s);
  Duration longest{};
  for (uint32_t n = 1; n <= 10; ++n) {
    longest = std::max(longest, TimeOfChange(test, 7 * n, 30s));
    test.fleet.Advance(500ms);
  }
  return longest;
}

TEST_CASE("spreading: a change is in force on 100 daemons within a second") {
  for (const Spreading spreading :
       {Spreading::kPush, Spreading::kHint, Spreading::kMixed}) {
    LargeFleet test(kSize, StandardPlugins, WithSpreading(spreading));
    const Duration longest = LongestChangeTime(test);
    MESSAGE(NameOf(spreading) << ": " << ToMilliseconds(longest) << " ms");
    CHECK(longest <= kMaxTime);
  }
}

TEST_CASE("spreading control: without pushes it takes longer") {
  using Standard =
      ConfigurationReplica<MixedSpreading, StandardConfigurationRules>;
  using Other = ConfigurationReplica<NoSpreading, StandardConfigurationRules>;
  LargeFleet test(kSize, ReplacePlugin<Standard, Other>);
  const Duration longest = LongestChangeTime(test);
  MESSAGE(ToMilliseconds(longest) << " ms");
  CHECK(longest > kMaxTime);
}

TEST_CASE("spreading: every daemon is sent a change once") {
  LargeFleet test(kSize, StandardPlugins, WithSpreading(Spreading::kPush));
  REQUIRE(
      test.fleet.AdvanceUntil([&] { return test.MembershipConverged(); }, 30s));
  test.fleet.Advance(30s);
  std::map<Address, uint32_t> pushes;
  test.SetLossFilter([&pushes](Address /*from*/, const Effect& effect) {
    const auto* message = std::get_if<SendPeer>(&effect);
    const bool push = message != nullptr &&
                      std::holds_alternative<PushChanges>(message->message);
    if (push) ++pushes[message->to];
    return false;
  });
  TimeOfChange(test, 1, 5s);
  test.fleet.Advance(5s);
  uint32_t sum = 0;
  for (const auto& [address, n] : pushes) sum += n;
  // The daemon that accepts the change needs no push, but its parent does not
  // know that it has the version and sends one.
  CHECK(sum >= kSize - 1);
  CHECK(sum <= kSize + 5);
}

TEST_CASE("spreading: undetected failures of one in ten delay little") {
  for (const Spreading spreading :
       {Spreading::kPush, Spreading::kHint, Spreading::kMixed}) {
    LargeFleet test(kSize, StandardPlugins, WithSpreading(spreading));
    REQUIRE(test.fleet.AdvanceUntil([&] { return test.MembershipConverged(); },
                                    30s));
    test.fleet.Advance(5s);
    for (uint32_t n = 2; n <= kSize; n += 10) test.fleet.Kill(n);
    const Duration time = TimeOfChange(test, 1, kMaxTimeWithFaults);
    MESSAGE(NameOf(spreading) << ": " << ToMilliseconds(time) << " ms");
    CHECK(time < kMaxTimeWithFaults);
  }
}

struct ProfileCost {
  Duration time_with_failures{};
  double bytes_at_rest = 0;
};

ProfileCost CostOf(SpreadingProfile profile) {
  LargeFleet test(kSize, StandardPlugins, [profile](KernelSettings& settings) {
    ApplyProfile(profile, settings);
  });
  REQUIRE(
      test.fleet.AdvanceUntil([&] { return test.MembershipConverged(); }, 30s));
  test.fleet.Advance(60s);
  const uint64_t before = test.TotalSentBytes();
  test.fleet.Advance(20s);
  ProfileCost cost;
  cost.bytes_at_rest =
      static_cast<double>(test.TotalSentBytes() - before) / 20 / kSize;
  for (uint32_t n = 2; n <= kSize; n += 10) test.fleet.Kill(n);
  cost.time_with_failures = TimeOfChange(test, 1, kMaxTimeWithFaults);
  return cost;
}

TEST_CASE("spreading: each profile is best at what it is named for") {
  const ProfileCost fast = CostOf(SpreadingProfile::kConvergeFast);
  const ProfileCost balanced = CostOf(SpreadingProfile::kBalanced);
  const ProfileCost saving = CostOf(SpreadingProfile::kSaveBytes);
  for (const ProfileCost& cost : {fast, balanced, saving}) {
    MESSAGE(ToMilliseconds(cost.time_with_failures)
            << " ms with one in ten failed, " << cost.bytes_at_rest
            << " B/s at rest");
    CHECK(cost.time_with_failures < kMaxTimeWithFaults);
  }
  CHECK(fast.time_with_failures < balanced.time_with_failures);
  CHECK(saving.bytes_at_rest < balanced.bytes_at_rest);
}

}  // namespace
}  // namespace buckthorncart
