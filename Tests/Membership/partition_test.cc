#include <doctest/doctest.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>

#include "Membership/large_fleet.h"
#include "Plugins/Configuration/version_survey.h"

namespace buckthorncart {
namespace {

constexpr uint32_t kSize = 30;
/// True for the daemons of the data centre that the tests partition.
bool IsPartitioned(uint32_t n) { return n % 5 == 0; }

nlohmann::json Apply(LargeFleet& test, uint32_t n, const std::string& text) {
  return nlohmann::json::parse(test.fleet.Ask(n, "POST", "/v1/changes", text),
                               nullptr, false);
}

nlohmann::json InForce(LargeFleet& test, uint32_t n, uint64_t version) {
  return nlohmann::json::parse(
      test.fleet.Ask(n, "GET",
                     "/v1/in-force?version=" + std::to_string(version)),
      nullptr, false);
}

bool AllHold(LargeFleet& test, uint64_t version) {
  const std::vector<uint32_t> numbers = test.fleet.Numbers();
  return std::all_of(numbers.begin(), numbers.end(), [&](uint32_t n) {
    return test.fleet.At(n).Version() == version;
  });
}

bool AllReady(LargeFleet& test) {
  const std::vector<uint32_t> numbers = test.fleet.Numbers();
  return std::all_of(numbers.begin(), numbers.end(),
                     [&](uint32_t n) { return test.fleet.At(n).Ready(); });
}

/// True for calls to the platform from the partitioned data centre.
bool IsPlatformCallOfPartitioned(Address from, const Effect& effect) {
  return std::holds_alternative<CallPlatform>(effect) &&
         IsPartitioned(LargeFleet::NumberOf(from));
}

TEST_CASE("partition: both sides serve and end with one version") {
  LargeFleet test(kSize);
  REQUIRE(
      test.fleet.AdvanceUntil([&] { return test.MembershipConverged(); }, 10s));
  REQUIRE(Apply(test, 1, "create service a")["result"] == "accepted");
  REQUIRE(test.fleet.AdvanceUntil([&] { return AllHold(test, 1); }, 5s));

  test.Partition(IsPartitioned);
  test.SetLossFilter(IsPlatformCallOfPartitioned);
  test.fleet.Advance(2s);
  const auto accepted = Apply(test, 1, "create service b");
  CHECK(accepted["result"] == "accepted");
  const auto refused = Apply(test, 5, "create service c");
  CHECK(refused["result"] != "accepted");
  test.fleet.Advance(45s);
  for (const uint32_t n : test.fleet.Numbers()) {
    CHECK(test.fleet.At(n).Ready());
    CHECK(test.fleet.At(n).Version() == (IsPartitioned(n) ? 1 : 2));
  }
  // The partitioned daemons are listed and not counted as having the version in
  // force.
  const auto during = InForce(test, 1, 2);
  CHECK(during["in_force_everywhere"] == false);
  std::set<std::string> missing;
  for (const char* list : {"behind", "unreachable", "gone"}) {
    for (const auto& address : during[list]) missing.insert(address);
  }
  CHECK(missing.size() == kSize / 5);

  test.Heal();
  CHECK(test.fleet.AdvanceUntil(
      [&] { return AllHold(test, 2) && test.MembershipConverged(); }, 20s));
  const auto after = InForce(test, 1, 2);
  CHECK(after["in_force_everywhere"] == true);
  CHECK(after["in_force"] == kSize);
}

/// Kills all daemons from `first` on, restarts them at the same time and checks
/// that the fleet converges.
void RestartTogether(uint32_t first) {
  LargeFleet test(kSize);
  REQUIRE(
      test.fleet.AdvanceUntil([&] { return test.MembershipConverged(); }, 10s));
  for (int i = 0; i < 3; ++i) {
    REQUIRE(Apply(test, 1, "create service s" + std::to_string(i))["result"] ==
            "accepted");
  }
  REQUIRE(test.fleet.AdvanceUntil([&] { return AllHold(test, 3); }, 5s));
  const std::vector<uint32_t> numbers = test.fleet.Numbers();
  for (const uint32_t n : numbers) {
    if (n >= first) test.fleet.Kill(n);
  }
  test.fleet.Advance(1s);
  for (const uint32_t n : numbers) {
    if (n >= first) test.fleet.Restart(n);
  }
  CHECK(test.fleet.AdvanceUntil(
      [&] {
        return AllHold(test, 3) && AllReady(test) && test.MembershipConverged();
      },
      20s));
  CHECK(test.SumOfCounter("configuration_snapshots_served_total") <= kSize);
}

TEST_CASE("partition: frozen daemons resume at the version of the others") {
  constexpr uint32_t kFirstFrozen = 21;
  LargeFleet test(kSize);
  REQUIRE(
      test.fleet.AdvanceUntil([&] { return test.MembershipConverged(); }, 10s));
  for (uint32_t n = kFirstFrozen; n <= kSize; ++n) test.fleet.Freeze(n);
  test.fleet.Advance(15s);
  REQUIRE(Apply(test, 1, "create service a")["result"] == "accepted");
  test.fleet.Advance(15s);
  std::map<uint32_t, uint64_t> highest;
  bool version_went_back = false;
  test.fleet.SetObserver([&](FakeDaemon& daemon) {
    const uint32_t n = LargeFleet::NumberOf(daemon.Self());
    version_went_back = version_went_back || daemon.Version() < highest[n];
    highest[n] = std::max(highest[n], daemon.Version());
  });
  for (uint32_t n = kFirstFrozen; n <= kSize; ++n) test.fleet.Thaw(n);
  CHECK(test.fleet.AdvanceUntil(
      [&] {
        return AllHold(test, 1) && AllReady(test) && test.MembershipConverged();
      },
      20s));
  CHECK_FALSE(version_went_back);
}

struct GoneNotCounted : StandardVersionSurveyRules {
  static constexpr bool kCountGoneDaemons = false;
};

TEST_CASE("partition control: without counting gone members it is wrong") {
  using Standard = VersionSurvey<StandardVersionSurveyRules>;
  LargeFleet test(kSize,
                  ReplacePlugin<Standard, VersionSurvey<GoneNotCounted>>);
  REQUIRE(
      test.fleet.AdvanceUntil([&] { return test.MembershipConverged(); }, 10s));
  test.Partition(IsPartitioned);
  test.fleet.Advance(45s);
  REQUIRE(Apply(test, 1, "create service b")["result"] == "accepted");
  test.fleet.Advance(5s);
  CHECK(InForce(test, 1, 1)["in_force_everywhere"] == true);
}

TEST_CASE("partition: the query lists data centres and refuses bad numbers") {
  LargeFleet test(kSize);
  REQUIRE(
      test.fleet.AdvanceUntil([&] { return test.MembershipConverged(); }, 10s));
  test.Partition(IsPartitioned);
  REQUIRE(Apply(test, 1, "create service b")["result"] == "accepted");
  const auto answer = InForce(test, 1, 1);
  for (const auto& data_centre : answer["data_centres"]) {
    const bool partitioned =
        data_centre["data_centre"] == LargeFleet::DataCentreOf(5);
    CHECK(data_centre["in_force"] == (partitioned ? 0 : kSize / 5));
  }
  for (const char* bad : {"version=x", "wait-ms=1s", "wait-ms=-1"}) {
    const auto refused = nlohmann::json::parse(
        test.fleet.Ask(1, "GET", "/v1/in-force?" + std::string(bad)));
    CHECK(refused["error"] == "invalid-value");
  }
}

/// Largest number of datagrams that the queried daemon sends within 10 ms.
size_t LargestBurst(FakeFleet::PluginFactory plugins) {
  constexpr uint32_t kDaemons = 200;
  LargeFleet test(kDaemons, std::move(plugins));
  REQUIRE(
      test.fleet.AdvanceUntil([&] { return test.MembershipConverged(); }, 30s));
  std::map<int64_t, size_t> sent;
  test.SetLossFilter([&](Address from, const Effect& effect) {
    const bool probe = LargeFleet::NumberOf(from) == 1 &&
                       std::holds_alternative<SendDatagram>(effect);
    if (probe) ++sent[test.fleet.Now() / 10ms];
    return false;
  });
  const auto answer = InForce(test, 1, 0);
  CHECK(answer["in_force"] == kDaemons);
  size_t largest = 0;
  for (const auto& [slot, n] : sent) largest = std::max(largest, n);
  return largest;
}

struct ProbesNotPaced : StandardVersionSurveyRules {
  static constexpr bool kPaceProbes = false;
};

TEST_CASE("partition: a query asks a large fleet at a bounded pace") {
  // 64 probes of the query and 8 datagrams of the failure detector.
  constexpr size_t kMaxBurst = 64 + 8;
  using Standard = VersionSurvey<StandardVersionSurveyRules>;
  CHECK(LargestBurst(StandardPlugins) <= kMaxBurst);
  CHECK(LargestBurst(ReplacePlugin<Standard, VersionSurvey<ProbesNotPaced>>) >
        kMaxBurst);
}

TEST_CASE("partition: the fleet recovers when many daemons restart at once") {
  RestartTogether(kSize);
  RestartTogether(11);
  RestartTogether(1);
}

}  // namespace
}  // namespace buckthorncart
