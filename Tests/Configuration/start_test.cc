#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

#include "Support/configuration_plugins.h"
#include "Support/version_checker.h"

namespace buckthorncart {
namespace {

struct NoAwaitAllPeerReports : StandardConfigurationRules {
  static constexpr bool kAwaitAllPeerReports = false;
};
struct NoWitnessNotification : StandardConfigurationRules {
  static constexpr bool kNotifyWitnesses = false;
};
struct AcceptsStaleReplies : StandardConfigurationRules {
  static constexpr bool kIgnoreStaleReplies = false;
};
struct NoFloor : StandardConfigurationRules {
  static constexpr bool kWaitForFloor = false;
};
struct AcceptsBeforeReady : StandardAcceptanceRules {
  static constexpr bool kRequireReady = false;
};

struct StartFleet {
  explicit StartFleet(FakeFleet::PluginFactory plugins, uint32_t n = 4)
      : fleet(std::move(plugins)), watch(fleet) {
    constexpr const char* kDataCentres[] = {"nl-west-a", "nl-west-b",
                                            "nl-west-c"};
    for (uint32_t i = 1; i <= n; ++i) {
      KernelSettings settings = TestSettings(i, kDataCentres[(i - 1) % 3]);
      settings.snapshot_every = 0;
      fleet.Add(settings);
    }
    fleet.StartAll();
    fleet.Advance(3s);
  }
  std::string Apply(uint32_t n, const std::string& text) {
    return nlohmann::json::parse(
        fleet.Ask(n, "POST", "/v1/changes", text))["result"];
  }
  /// Drops all messages between daemon `n` and the daemons in `others`.
  void CutOff(uint32_t n, const std::set<uint32_t>& others) {
    fleet.SetFilter([n, others](Address from, const Effect& effect) {
      Address to;
      if (const auto* send = std::get_if<SendPeer>(&effect)) to = send->to;
      if (const auto* send = std::get_if<SendDatagram>(&effect)) to = send->to;
      const uint32_t a = from.ip & 0xFFU;
      const uint32_t b = to.ip & 0xFFU;
      return !((a == n && others.contains(b)) ||
               (b == n && others.contains(a)));
    });
  }
  FakeFleet fleet;
  VersionChecker watch;
};

/// Daemons 1 and 3 have served version 2. Daemons 2 and 4 hold version 1,
/// because they were partitioned from both. The platform is down when daemon 1
/// restarts, and daemon 3 responds later than the two that lag.
template <ConfigurationRules Rules>
uint64_t RegressionsAfterRestartAmongLaggingPeers() {
  StartFleet test(PluginsWith<Rules>);
  FakeFleet& fleet = test.fleet;
  REQUIRE(test.Apply(1, "create service a") == "accepted");
  fleet.Advance(3s);
  const auto even_numbered = [](Address address) {
    return (address.ip & 1U) == 0;
  };
  fleet.SetFilter([even_numbered](Address from, const Effect& effect) {
    if (std::holds_alternative<CallPlatform>(effect))
      return !even_numbered(from);
    if (const auto* send = std::get_if<SendPeer>(&effect)) {
      return even_numbered(from) == even_numbered(send->to);
    }
    if (const auto* send = std::get_if<SendDatagram>(&effect)) {
      return even_numbered(from) == even_numbered(send->to);
    }
    return true;
  });
  REQUIRE(test.Apply(1, "create service b") == "accepted");
  fleet.Advance(100ms);
  REQUIRE(fleet.At(1).Version() == 2);
  REQUIRE(fleet.At(3).Version() == 2);
  REQUIRE(fleet.At(2).Version() == 1);
  fleet.SetPlatformFault(PlatformFault::kDown);
  const Time healed_at = fleet.Now() + 4s;
  fleet.SetFilter([healed_at, &fleet](Address from, const Effect& effect) {
    const bool isolated = fleet.Now() < healed_at;
    if (!isolated) return true;
    const Address third = fleet.At(3).Self();
    if (from == third) return false;
    const auto* send = std::get_if<SendPeer>(&effect);
    return send == nullptr || send->to != third;
  });
  fleet.Restart(1);
  fleet.Advance(30s);
  CHECK(fleet.At(1).Ready());
  CHECK(fleet.At(1).Version() == 2);
  return test.watch.Regressions();
}

TEST_CASE("start: no older version is served while the platform is down") {
  CHECK(
      RegressionsAfterRestartAmongLaggingPeers<StandardConfigurationRules>() ==
      0);
}

TEST_CASE("start: control: the first report decides") {
  CHECK(RegressionsAfterRestartAmongLaggingPeers<NoAwaitAllPeerReports>() > 0);
}

/// Only daemon 1 has applied version 2 from the platform. Its pushes are lost;
/// only its notifications to the witnesses arrive.
template <ConfigurationRules Rules>
uint64_t RegressionsAfterSoleHolderRestart() {
  StartFleet test(PluginsWith<Rules>);
  FakeFleet& fleet = test.fleet;
  REQUIRE(test.Apply(1, "create service a") == "accepted");
  fleet.Advance(3s);
  fleet.SetFilter([](Address from, const Effect& effect) {
    if (std::holds_alternative<CallPlatform>(effect)) return from.ip % 256 == 1;
    if (std::holds_alternative<SendDatagram>(effect)) return false;
    const auto* send = std::get_if<SendPeer>(&effect);
    if (send == nullptr) return true;
    const auto* held = std::get_if<VersionHeld>(&send->message);
    return held != nullptr && held->for_record;
  });
  REQUIRE(test.Apply(1, "create service b") == "accepted");
  fleet.Advance(100ms);
  fleet.SetPlatformFault(PlatformFault::kDown);
  fleet.SetFilter({});
  fleet.Restart(1);
  fleet.Advance(10s);
  CHECK(fleet.At(2).Version() == 1);
  const uint64_t regressions = test.watch.Regressions();
  fleet.SetPlatformFault(PlatformFault::kNone);
  fleet.Advance(20s);
  CHECK(fleet.At(1).Ready());
  CHECK(fleet.At(1).Version() == 2);
  return regressions;
}

TEST_CASE("start: witnesses report a version that only this address held") {
  CHECK(RegressionsAfterSoleHolderRestart<StandardConfigurationRules>() == 0);
}

TEST_CASE("start: control: without witnesses an older version is served") {
  CHECK(RegressionsAfterSoleHolderRestart<NoWitnessNotification>() > 0);
}

TEST_CASE("start: an unresponsive peer does not block the start indefinitely") {
  StartFleet test(PluginsWith<>);
  FakeFleet& fleet = test.fleet;
  REQUIRE(test.Apply(1, "create service a") == "accepted");
  fleet.Advance(3s);
  fleet.SetPlatformFault(PlatformFault::kDown);
  fleet.Freeze(3);
  fleet.Restart(1);
  fleet.Advance(9s);
  CHECK(!fleet.At(1).Ready());
  CHECK(fleet.AdvanceUntil([&] { return fleet.At(1).Ready(); }, 4s));
  CHECK(fleet.At(1).Version() == 1);
}

TEST_CASE("start: an invalid delta does not raise the floor of its sender") {
  StartFleet test(PluginsWith<>);
  FakeFleet& fleet = test.fleet;
  REQUIRE(test.Apply(1, "create service a") == "accepted");
  fleet.Advance(3s);
  fleet.Kill(2);
  fleet.SetPlatformFault(PlatformFault::kDown);
  const Change bad{2, "bad", {}, 1, 0};
  fleet.Inject(
      1, PeerMessageReceived{TestSettings(2, "").self, PushChanges{{bad}}});
  fleet.Restart(2);
  fleet.Advance(15s);
  CHECK(fleet.At(2).Ready());
  CHECK(fleet.At(2).Version() == 1);
}

TEST_CASE("start: row head lowers a floor above the newest version") {
  StartFleet test(PluginsWith<>);
  FakeFleet& fleet = test.fleet;
  REQUIRE(test.Apply(1, "create service a") == "accepted");
  fleet.Advance(3s);
  fleet.Kill(2);
  fleet.SetPlatformFault(PlatformFault::kDown);
  fleet.Inject(
      1, PeerMessageReceived{TestSettings(2, "").self, VersionHeld{7, true}});
  fleet.Restart(2);
  fleet.Advance(15s);
  CHECK(!fleet.At(2).Ready());
  fleet.SetPlatformFault(PlatformFault::kNone);
  fleet.Advance(15s);
  CHECK(fleet.At(2).Ready());
}

TEST_CASE("start: all daemons restart together with the platform up") {
  StartFleet test(PluginsWith<>);
  FakeFleet& fleet = test.fleet;
  REQUIRE(test.Apply(2, "create service a") == "accepted");
  for (const uint32_t n : {1U, 2U, 3U, 4U}) fleet.Kill(n);
  for (const uint32_t n : {1U, 2U, 3U, 4U}) fleet.Restart(n);
  fleet.Advance(5s);
  for (const uint32_t n : {1U, 2U, 3U, 4U}) {
    CHECK(fleet.At(n).Ready());
    CHECK(fleet.At(n).Version() == 1);
  }
  CHECK(test.watch.NoViolations());
}

TEST_CASE(
    "start: all daemons restart with the platform down and do not serve") {
  StartFleet test(PluginsWith<>);
  FakeFleet& fleet = test.fleet;
  REQUIRE(test.Apply(2, "create service a") == "accepted");
  fleet.SetPlatformFault(PlatformFault::kDown);
  for (const uint32_t n : {1U, 2U, 3U, 4U}) fleet.Kill(n);
  for (const uint32_t n : {1U, 2U, 3U, 4U}) fleet.Restart(n);
  fleet.Advance(60s);
  for (const uint32_t n : {1U, 2U, 3U, 4U}) CHECK(!fleet.At(n).Ready());
  fleet.SetPlatformFault(PlatformFault::kNone);
  fleet.Advance(15s);
  for (const uint32_t n : {1U, 2U, 3U, 4U}) CHECK(fleet.At(n).Version() == 1);
  CHECK(test.watch.NoViolations());
}

TEST_CASE("start: without a floor an old version is served") {
  // Control for the cases above: daemon 1 serves version 0 after its restart.
  StartFleet test(PluginsWith<NoFloor>);
  REQUIRE(test.Apply(1, "create service a") == "accepted");
  test.fleet.Restart(1);
  test.fleet.Advance(1s);
  CHECK(test.watch.Regressions() > 0);
}

/// Freezes daemon 1 just after it has sent a read of `head` and lets the others
/// accept version 2. Leaves daemon 1 frozen, disconnected from its peers, with
/// the platform not responding.
template <ConfigurationRules Rules,
          AcceptanceRules Acceptance = StandardAcceptanceRules>
struct FreezeRun {
  FreezeRun() : test(PluginsWith<Rules, Acceptance>) {
    FakeFleet& fleet = test.fleet;
    REQUIRE(test.Apply(1, "create service a") == "accepted");
    fleet.Advance(3s);
    // The reply to this read stays in the frozen process's socket buffer.
    const uint64_t reads =
        fleet.At(1).Counter("configuration_head_reads_total");
    REQUIRE(fleet.AdvanceUntil(
        [&] {
          return fleet.At(1).Counter("configuration_head_reads_total") > reads;
        },
        5s));
    fleet.Freeze(1);
    REQUIRE(test.Apply(2, "create service b") == "accepted");
    fleet.Advance(10s);
    test.CutOff(1, {2, 3, 4});
    fleet.SetPlatformFault(PlatformFault::kSilent);
  }
  StartFleet test;
};

TEST_CASE("freeze: a reply from before it does not set the floor") {
  FreezeRun<StandardConfigurationRules> run;
  run.test.fleet.Thaw(1);
  run.test.fleet.Advance(5s);
  CHECK(!run.test.fleet.At(1).Ready());
  run.test.fleet.SetFilter({});
  run.test.fleet.SetPlatformFault(PlatformFault::kNone);
  run.test.fleet.Advance(10s);
  CHECK(run.test.fleet.At(1).Ready());
  CHECK(run.test.fleet.At(1).Version() == 2);
}

TEST_CASE("freeze: control: an old reply sets the floor") {
  FreezeRun<AcceptsStaleReplies> run;
  run.test.fleet.Thaw(1);
  CHECK(run.test.fleet.At(1).Ready());
}

TEST_CASE("freeze: nothing is accepted before the floor is known") {
  FreezeRun<StandardConfigurationRules> run;
  run.test.fleet.Thaw(1);
  const auto answer = nlohmann::json::parse(
      run.test.fleet.Ask(1, "POST", "/v1/changes", "create service c"));
  CHECK(answer["result"] == "refused");
  CHECK(answer["error"] == "not-ready");
}

TEST_CASE(
    "freeze: control: without the rule the daemon does not report not-ready") {
  FreezeRun<StandardConfigurationRules, AcceptsBeforeReady> run;
  run.test.fleet.Thaw(1);
  const auto answer = nlohmann::json::parse(
      run.test.fleet.Ask(1, "POST", "/v1/changes", "create service c"));
  CHECK(answer.contains("result"));
  CHECK(answer.value("error", "") != "not-ready");
}

TEST_CASE("freeze: all daemons recover together with the platform down") {
  StartFleet test(PluginsWith<>);
  FakeFleet& fleet = test.fleet;
  REQUIRE(test.Apply(1, "create service a") == "accepted");
  fleet.Advance(3s);
  fleet.SetPlatformFault(PlatformFault::kDown);
  for (const uint32_t n : {1U, 2U, 3U, 4U}) fleet.Freeze(n);
  fleet.Advance(30s);
  for (const uint32_t n : {1U, 2U, 3U, 4U}) fleet.Thaw(n);
  fleet.Advance(1ms);
  CHECK(!fleet.At(1).Ready());
  fleet.Advance(15s);
  for (const uint32_t n : {1U, 2U, 3U, 4U}) CHECK(fleet.At(n).Ready());
  CHECK(test.watch.NoViolations());
}

}  // namespace
}  // namespace buckthorncart
