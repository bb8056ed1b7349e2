#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

#include "Support/configuration_plugins.h"
#include "Support/version_watch.h"

namespace buckthorncart {
namespace {

struct FirstReportDecides : StandardConfigurationRules {
  static constexpr bool kAwaitAllPeerReports = false;
};
struct NoWitnesses : StandardConfigurationRules {
  static constexpr bool kNotifyWitnesses = false;
};
struct OldRepliesCount : StandardConfigurationRules {
  static constexpr bool kIgnoreStaleReplies = false;
};
struct NoFloor : StandardConfigurationRules {
  static constexpr bool kWaitForFloor = false;
};
struct AcceptsAnyTime : StandardAcceptanceRules {
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
  /// Loses all between `n` and the daemons in `others`.
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
  VersionWatch watch;
};

/// Daemon 1 has served version 2, as 3 has; 2 and 4 are behind, because they
/// were cut off from both. The platform is down and 1 starts anew; 3 is slower
/// to answer than the two that are behind.
template <ConfigurationRules Rules>
uint64_t RestartAmongPeersBehind() {
  StartFleet test(PluginsWith<Rules>);
  FakeFleet& fleet = test.fleet;
  REQUIRE(test.Apply(1, "create service a") == "accepted");
  fleet.Advance(3s);
  const auto side = [](Address address) { return (address.ip & 1U) == 0; };
  fleet.SetFilter([side](Address from, const Effect& effect) {
    if (std::holds_alternative<CallPlatform>(effect)) return !side(from);
    if (const auto* send = std::get_if<SendPeer>(&effect)) {
      return side(from) == side(send->to);
    }
    if (const auto* send = std::get_if<SendDatagram>(&effect)) {
      return side(from) == side(send->to);
    }
    return true;
  });
  REQUIRE(test.Apply(1, "create service b") == "accepted");
  fleet.Advance(100ms);
  REQUIRE(fleet.At(1).Version() == 2);
  REQUIRE(fleet.At(3).Version() == 2);
  REQUIRE(fleet.At(2).Version() == 1);
  fleet.SetPlatformFault(PlatformFault::kDown);
  const Time heal = fleet.Now() + 4s;
  fleet.SetFilter([heal, &fleet](Address from, const Effect& effect) {
    const bool late = fleet.Now() < heal;
    if (!late) return true;
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

TEST_CASE("start: with the platform down nothing below what was held") {
  CHECK(RestartAmongPeersBehind<StandardConfigurationRules>() == 0);
}

TEST_CASE("start: control: the first report decides") {
  CHECK(RestartAmongPeersBehind<FirstReportDecides>() > 0);
}

/// Daemon 1 alone has taken version 2 from the platform; its pushes are lost,
/// only its words to the witnesses arrive.
template <ConfigurationRules Rules>
uint64_t RestartOfTheOnlyHolder() {
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

TEST_CASE("start: witnesses remember what an address alone has held") {
  CHECK(RestartOfTheOnlyHolder<StandardConfigurationRules>() == 0);
}

TEST_CASE("start: control: nobody is told of what was held") {
  CHECK(RestartOfTheOnlyHolder<NoWitnesses>() > 0);
}

TEST_CASE("start: a peer that stays silent does not block for ever") {
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

TEST_CASE("start: a bad delta does not raise the floor of its sender") {
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

TEST_CASE("start: head lowers a floor that no version reaches") {
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

TEST_CASE("start: all at once with the platform up") {
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
  CHECK(test.watch.Clean());
}

TEST_CASE("start: all at once with the platform down serves nothing") {
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
  CHECK(test.watch.Clean());
}

TEST_CASE("start: without a floor an old version is served") {
  // Control of the cases above: daemon 1 serves version 0 after its restart.
  StartFleet test(PluginsWith<NoFloor>);
  REQUIRE(test.Apply(1, "create service a") == "accepted");
  test.fleet.Restart(1);
  test.fleet.Advance(1s);
  CHECK(test.watch.Regressions() > 0);
}

/// Freezes daemon 1 just after it has read `head`, lets version 2 come about
/// and thaws it. Returns how often it was ready with version 1 afterwards.
template <ConfigurationRules Rules,
          AcceptanceRules Acceptance = StandardAcceptanceRules>
struct FreezeRun {
  FreezeRun() : test(PluginsWith<Rules, Acceptance>) {
    FakeFleet& fleet = test.fleet;
    REQUIRE(test.Apply(1, "create service a") == "accepted");
    fleet.Advance(3s);
    // The reply to this read waits in the socket of the frozen process.
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
  FreezeRun<OldRepliesCount> run;
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

TEST_CASE("freeze: control: a daemon that accepts at any time takes it on") {
  FreezeRun<StandardConfigurationRules, AcceptsAnyTime> run;
  run.test.fleet.Thaw(1);
  const auto answer = nlohmann::json::parse(
      run.test.fleet.Ask(1, "POST", "/v1/changes", "create service c"));
  CHECK(answer.contains("result"));
  CHECK(answer.value("error", "") != "not-ready");
}

TEST_CASE("freeze: of all at once with the platform down ends") {
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
  CHECK(test.watch.Clean());
}

}  // namespace
}  // namespace buckthorncart
