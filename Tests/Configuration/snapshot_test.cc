#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

#include "Plugins/Configuration/configuration_rows.h"
#include "Support/configuration_plugins.h"
#include "Support/version_checker.h"

namespace buckthorncart {
namespace {

struct NoFallBackToChangeRows : StandardConfigurationRules {
  static constexpr bool kFallBackToChangeRows = false;
};
struct NoRetryOtherPeer : StandardConfigurationRules {
  static constexpr bool kRetryOtherPeer = false;
};
struct NoDigestCheck : StandardConfigurationRules {
  static constexpr bool kVerifyDigest = false;
};

constexpr uint32_t kSnapshotEvery = 8;
constexpr uint32_t kVersions = 40;

/// Two daemons that hold 40 versions, and a third one that is stopped.
struct SnapshotFleet {
  explicit SnapshotFleet(FakeFleet::PluginFactory plugins = PluginsWith<>)
      : fleet(std::move(plugins)), watch(fleet) {
    for (const uint32_t n : {1U, 2U, 3U}) {
      KernelSettings settings = TestSettings(n, "nl-west-a");
      settings.snapshot_every = kSnapshotEvery;
      fleet.Add(settings);
    }
    fleet.StartAll();
    fleet.Advance(3s);
    fleet.Kill(3);
    for (uint32_t i = 0; i < kVersions; ++i) {
      fleet.Ask(1, "POST", "/v1/changes",
                "create service s" + std::to_string(i));
      fleet.Advance(100ms);
    }
    fleet.Advance(12s);
  }

  std::optional<SnapshotRow> Row() {
    const PlatformReply reply = fleet.Table().Apply(ReadRows{{kSnapshotKey}});
    const auto it = reply.rows.find(kSnapshotKey);
    if (it == reply.rows.end()) return std::nullopt;
    return *Decode<SnapshotRow>(it->second);
  }

  /// Starts daemon 3 with access to the platform only and returns the number of
  /// change rows that it reads.
  uint64_t StartThirdIsolated(Duration limit = 10s) {
    uint64_t rows = 0;
    const Address third = TestSettings(3, "").self;
    fleet.SetFilter([&rows, third](Address from, const Effect& effect) {
      if (std::holds_alternative<SendPeer>(effect)) return false;
      if (std::holds_alternative<SendDatagram>(effect)) return false;
      const auto* call = std::get_if<CallPlatform>(&effect);
      if (call == nullptr || from != third) return true;
      const auto* read = std::get_if<ReadRows>(&call->request);
      if (read == nullptr) return true;
      for (const std::string& key : read->keys) {
        if (key.starts_with("change/")) ++rows;
      }
      return true;
    });
    fleet.Restart(3);
    fleet.Advance(limit);
    return rows;
  }

  FakeFleet fleet;
  VersionChecker watch;
};

TEST_CASE("snapshot: a daemon that lags far behind starts from the snapshot") {
  SnapshotFleet test;
  REQUIRE(test.Row());
  CHECK(test.Row()->version == kVersions);
  const uint64_t written =
      test.fleet.At(1).Counter("configuration_snapshots_written_total") +
      test.fleet.At(2).Counter("configuration_snapshots_written_total");
  CHECK(written == kVersions / kSnapshotEvery);
  CHECK(test.StartThirdIsolated() == 0);
  CHECK(test.fleet.At(3).Version() == kVersions);
  CHECK(test.fleet.At(3).Ready());
}

TEST_CASE("snapshot: change rows replace a missing or invalid object") {
  for (const bool missing : {true, false}) {
    SnapshotFleet test;
    SnapshotRow row = *test.Row();
    if (missing) {
      row.digest ^= 1U;
      test.fleet.Table().Apply(Transaction{{}, {{kSnapshotKey, Encode(row)}}});
    } else {
      test.fleet.Table().Apply(PutObject{SnapshotName(row), "not a snapshot"});
    }
    CHECK(test.StartThirdIsolated() == kVersions);
    CHECK(test.fleet.At(3).Version() == kVersions);
    CHECK(test.fleet.At(3).Counter(
              "configuration_snapshot_objects_bad_total") == 1);
    CHECK(test.watch.NoViolations());
  }
}

TEST_CASE(
    "snapshot: an object with different contents is rejected as a whole") {
  SnapshotFleet test;
  const SnapshotRow row = *test.Row();
  Snapshot other = *test.fleet.At(1).GetContext().Shared().held;
  other.configuration.services.erase("s3");
  test.fleet.Table().Apply(PutObject{SnapshotName(row), Encode(other)});
  CHECK(test.StartThirdIsolated() == kVersions);
  CHECK(test.fleet.At(3).Counter("configuration_versions_held_back_total") ==
        1);
  CHECK(test.fleet.At(3).Version() == kVersions);
  CHECK(test.watch.NoViolations());
}

TEST_CASE("snapshot: control: without change rows the daemon stays behind") {
  SnapshotFleet test(PluginsWith<NoFallBackToChangeRows>);
  test.fleet.Table().Apply(
      PutObject{SnapshotName(*test.Row()), "not a snapshot"});
  test.StartThirdIsolated(60s);
  CHECK(test.fleet.At(3).Version() < kVersions);
}

/// Daemon 3 receives an invalid delta from daemon 1 while the platform is down.
/// Its pulls from daemon 1 are counted and not delivered.
template <ConfigurationRules Rules>
struct BadPeer {
  BadPeer() : fleet(PluginsWith<Rules>), watch(fleet) {
    for (const uint32_t n : {1U, 2U, 3U}) fleet.Add(n, "nl-west-a");
    fleet.StartAll();
    fleet.Advance(3s);
    const Address third = fleet.At(3).Self();
    fleet.SetFilter([third](Address from, const Effect& effect) {
      // Daemon 3 is isolated until the invalid delta is injected.
      const auto* send = std::get_if<SendPeer>(&effect);
      if (send != nullptr) return send->to != third && from != third;
      return !std::holds_alternative<SendDatagram>(effect);
    });
    fleet.Ask(1, "POST", "/v1/changes", "create service a");
    fleet.Advance(1s);
    fleet.SetPlatformFault(PlatformFault::kDown);
    const Address bad = fleet.At(1).Self();
    fleet.SetFilter([this, bad, third](Address from, const Effect& effect) {
      const auto* send = std::get_if<SendPeer>(&effect);
      if (send == nullptr || from != third || send->to != bad) return true;
      const auto* pull = std::get_if<PullChanges>(&send->message);
      if (pull == nullptr) return true;
      ++pulls_from_bad_peer;
      return false;
    });
    Change change = fleet.At(1).GetContext().Shared().recent_changes->front();
    change.edits.front().name = "z";
    fleet.At(3).Deliver(fleet.Now(),
                        PeerMessageReceived{bad, PushChanges{{change}}});
    fleet.Advance(900ms);
  }
  FakeFleet fleet;
  VersionChecker watch;
  uint64_t pulls_from_bad_peer = 0;
};

TEST_CASE("bad delta: it is rejected and the change pulled from another peer") {
  BadPeer<StandardConfigurationRules> test;
  CHECK(test.fleet.At(3).Counter("configuration_versions_held_back_total") ==
        1);
  CHECK(test.pulls_from_bad_peer == 0);
  test.fleet.Advance(5s);
  CHECK(test.fleet.At(3).Version() == 1);
  CHECK(test.watch.NoViolations());
}

TEST_CASE("bad delta: control: the peer that sent it is asked again") {
  BadPeer<NoRetryOtherPeer> test;
  CHECK(test.pulls_from_bad_peer > 0);
}

TEST_CASE("bad delta: control: without the digest check it is applied") {
  BadPeer<NoDigestCheck> test;
  CHECK(!test.watch.NoViolations());
}

}  // namespace
}  // namespace buckthorncart
