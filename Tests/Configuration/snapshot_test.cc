#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

#include "Plugins/Configuration/configuration_rows.h"
#include "Support/configuration_plugins.h"
#include "Support/version_watch.h"

namespace buckthorncart {
namespace {

struct NoFallBack : StandardConfigurationRules {
  static constexpr bool kFallBackToChanges = false;
};
struct SamePeerAgain : StandardConfigurationRules {
  static constexpr bool kAskAnotherPeer = false;
};
struct NoDigest : StandardConfigurationRules {
  static constexpr bool kVerifyDigest = false;
};

constexpr uint32_t kEvery = 8;
constexpr uint32_t kVersions = 40;

/// Two daemons with 40 versions, the third not yet started.
struct SnapshotFleet {
  explicit SnapshotFleet(FakeFleet::PluginFactory plugins = PluginsWith<>)
      : fleet(std::move(plugins)), watch(fleet) {
    for (const uint32_t n : {1U, 2U, 3U}) {
      KernelSettings settings = TestSettings(n, "nl-west-a");
      settings.snapshot_every = kEvery;
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

  /// Starts daemon 3 so that only the platform can tell it anything, and
  /// returns how many rows of changes it has read.
  uint64_t StartThirdAlone(Duration limit = 10s) {
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
  VersionWatch watch;
};

TEST_CASE("snapshot: a start far behind reads few rows") {
  SnapshotFleet test;
  REQUIRE(test.Row());
  CHECK(test.Row()->version == kVersions);
  const uint64_t written =
      test.fleet.At(1).Counter("configuration_snapshots_written_total") +
      test.fleet.At(2).Counter("configuration_snapshots_written_total");
  CHECK(written == kVersions / kEvery);
  CHECK(test.StartThirdAlone() == 0);
  CHECK(test.fleet.At(3).Version() == kVersions);
  CHECK(test.fleet.At(3).Ready());
}

TEST_CASE("snapshot: a missing or bad object is replaced by the changes") {
  for (const bool missing : {true, false}) {
    SnapshotFleet test;
    SnapshotRow row = *test.Row();
    if (missing) {
      row.digest ^= 1U;
      test.fleet.Table().Apply(Transaction{{}, {{kSnapshotKey, Encode(row)}}});
    } else {
      test.fleet.Table().Apply(PutObject{SnapshotName(row), "not a snapshot"});
    }
    CHECK(test.StartThirdAlone() == kVersions);
    CHECK(test.fleet.At(3).Version() == kVersions);
    CHECK(test.fleet.At(3).Counter(
              "configuration_snapshot_objects_bad_total") == 1);
    CHECK(test.watch.Clean());
  }
}

TEST_CASE("snapshot: an object with other contents is held back whole") {
  SnapshotFleet test;
  const SnapshotRow row = *test.Row();
  Snapshot other = *test.fleet.At(1).GetContext().Shared().held;
  other.configuration.services.erase("s3");
  test.fleet.Table().Apply(PutObject{SnapshotName(row), Encode(other)});
  CHECK(test.StartThirdAlone() == kVersions);
  CHECK(test.fleet.At(3).Counter("configuration_versions_held_back_total") ==
        1);
  CHECK(test.fleet.At(3).Version() == kVersions);
  CHECK(test.watch.Clean());
}

TEST_CASE("snapshot: control: without the changes the start stays behind") {
  SnapshotFleet test(PluginsWith<NoFallBack>);
  test.fleet.Table().Apply(
      PutObject{SnapshotName(*test.Row()), "not a snapshot"});
  test.StartThirdAlone(60s);
  CHECK(test.fleet.At(3).Version() < kVersions);
}

/// What daemon 3 holds after daemon 1 has sent it only bad deltas and bad
/// snapshots for 10 s, with the platform down.
template <ConfigurationRules Rules>
struct BadPeer {
  BadPeer() : fleet(PluginsWith<Rules>), watch(fleet) {
    for (const uint32_t n : {1U, 2U, 3U}) fleet.Add(n, "nl-west-a");
    fleet.StartAll();
    fleet.Advance(3s);
    const Address third = fleet.At(3).Self();
    fleet.SetFilter([third](Address from, const Effect& effect) {
      // All that daemon 3 hears comes from the test, until it asks.
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
      ++asked_bad;
      return false;
    });
    Change change = fleet.At(1).GetContext().Shared().recent_changes->front();
    change.edits.front().name = "z";
    fleet.At(3).Deliver(fleet.Now(),
                        PeerMessageReceived{bad, PushChanges{{change}}});
    fleet.Advance(900ms);
  }
  FakeFleet fleet;
  VersionWatch watch;
  uint64_t asked_bad = 0;
};

TEST_CASE("bad delta: it is held back whole, another peer has the good one") {
  BadPeer<StandardConfigurationRules> test;
  CHECK(test.fleet.At(3).Counter("configuration_versions_held_back_total") ==
        1);
  CHECK(test.asked_bad == 0);
  test.fleet.Advance(5s);
  CHECK(test.fleet.At(3).Version() == 1);
  CHECK(test.watch.Clean());
}

TEST_CASE("bad delta: control: the peer that sent it is asked again") {
  BadPeer<SamePeerAgain> test;
  CHECK(test.asked_bad > 0);
}

TEST_CASE("bad delta: control: without the digest it is taken") {
  BadPeer<NoDigest> test;
  CHECK(!test.watch.Clean());
}

}  // namespace
}  // namespace buckthorncart
