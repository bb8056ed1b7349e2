/// What a daemon has acknowledged to its backend server outlives its process.

#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <utility>

#include "Plugins/Admission/leave_record.h"
#include "Support/fake_fleet.h"

namespace buckthorncart {
namespace {

constexpr uint32_t kHome = 1;
constexpr uint64_t kBorn = 1'700'000'100'000;

std::string Announcement(const std::string& id, const std::string& state,
                         uint64_t born, uint64_t sequence) {
  return R"({"service":"catalogus","slots":4,"state":")" + state +
         R"(","id":")" + id + R"(","started_ms":)" + std::to_string(born) +
         R"(,"sequence":)" + std::to_string(sequence) + "}";
}

std::string Departure(const std::string& id, uint64_t born) {
  return R"({"state":"absent","id":")" + id + R"(","started_ms":)" +
         std::to_string(born) + "}";
}

/// Three daemons; the backend server of the first has announced itself.
struct RestartFleet {
  explicit RestartFleet(FakeFleet::PluginFactory plugins = StandardPlugins)
      : fleet(std::move(plugins)) {
    for (uint32_t n = 1; n <= 3; ++n) fleet.Add(n, "nl-west-a");
    fleet.StartAll();
    fleet.Advance(2s);
    CHECK(Announce(Announcement("i-1", "ready", kBorn, 1)) == "announced");
  }

  /// Returns the result of an announcement to the first daemon, or "refused".
  std::string Announce(const std::string& body) {
    const std::string answer =
        fleet.Ask(kHome, "POST", "/v1/backend-server", body, 2s);
    for (const char* result : {"announced", "outdated"}) {
      if (answer.find(result) != std::string::npos) return result;
    }
    return answer.empty() ? "unanswered" : "refused";
  }

  BackendState State() {
    return fleet.At(kHome).GetContext().Shared().self.backend.state;
  }

  bool IsInUse() { return State() == BackendState::kReady; }

  /// Checks that an announcement from before the departure is rejected.
  void CheckLateAnnouncement(uint64_t sequence = 2) {
    CHECK(Announce(Announcement("i-1", "ready", kBorn, sequence)) ==
          "outdated");
    CHECK(!IsInUse());
  }

  FakeFleet fleet;
};

// Review case 4: a heartbeat that was late put an upstream that had
// deregistered back into use after the restart of its daemon.
TEST_CASE("restart: a late announcement does not bring a server back") {
  for (const bool drains : {false, true}) {
    RestartFleet test;
    CHECK(test.Announce(drains ? Announcement("i-1", "draining", kBorn, 3)
                               : Departure("i-1", kBorn)) == "announced");
    test.fleet.Restart(kHome);
    test.fleet.Advance(500ms);
    test.CheckLateAnnouncement();
    test.fleet.Advance(10s);
    test.CheckLateAnnouncement(4);
  }
}

TEST_CASE("restart: an announcement that is earlier than the record waits") {
  RestartFleet test;
  CHECK(test.Announce(Departure("i-1", kBorn)) == "announced");
  test.fleet.Restart(kHome);
  test.CheckLateAnnouncement();
  test.fleet.Advance(3s);
  CHECK(!test.IsInUse());
}

struct PlatformNotUsed : StandardLeaveRecordRules {
  static constexpr bool kUsePlatform = false;
};

FakeDaemon::Plugins PluginsWithoutRecord(const KernelSettings& settings) {
  FakeDaemon::Plugins plugins = StandardPlugins(settings);
  for (auto& plugin : plugins) {
    using Standard = LeaveRecord<StandardLeaveRecordRules>;
    if (dynamic_cast<Standard*>(plugin.get()) == nullptr) continue;
    plugin = std::make_unique<LeaveRecord<PlatformNotUsed>>();
  }
  return plugins;
}

/// Kills all daemons right after the acknowledgement of a departure. Returns
/// true if a late announcement puts the backend server into use again.
bool ReturnsAfterKillOfAll(FakeFleet::PluginFactory plugins) {
  RestartFleet test(std::move(plugins));
  CHECK(test.Announce(Departure("i-1", kBorn)) == "announced");
  for (const uint32_t n : {1U, 2U, 3U}) test.fleet.Kill(n);
  test.fleet.Advance(1s);
  for (const uint32_t n : {1U, 2U, 3U}) test.fleet.Restart(n);
  test.fleet.Advance(200ms);
  test.Announce(Announcement("i-1", "ready", kBorn, 2));
  return test.IsInUse();
}

TEST_CASE("restart: all daemons killed after the acknowledgement") {
  CHECK(!ReturnsAfterKillOfAll(StandardPlugins));
}

TEST_CASE("restart control: without the record the server is in use again") {
  CHECK(ReturnsAfterKillOfAll(PluginsWithoutRecord));
}

TEST_CASE("restart: the platform is away from the departure on") {
  RestartFleet test;
  test.fleet.SetPlatformFault(PlatformFault::kDown);
  test.fleet.Advance(1s);
  CHECK(test.Announce(Departure("i-1", kBorn)) == "announced");
  test.fleet.Restart(kHome);
  test.fleet.Advance(500ms);
  test.CheckLateAnnouncement();
}

TEST_CASE("restart: the platform is away at the departure only") {
  RestartFleet test;
  test.fleet.SetPlatformFault(PlatformFault::kSilent);
  CHECK(test.Announce(Departure("i-1", kBorn)) == "announced");
  test.fleet.Kill(kHome);
  test.fleet.SetPlatformFault(PlatformFault::kNone);
  test.fleet.Restart(kHome);
  test.fleet.Advance(500ms);
  test.CheckLateAnnouncement();
}

TEST_CASE("restart: the platform is away after the restart only") {
  RestartFleet test;
  CHECK(test.Announce(Departure("i-1", kBorn)) == "announced");
  test.fleet.Kill(kHome);
  test.fleet.SetPlatformFault(PlatformFault::kDown);
  test.fleet.Restart(kHome);
  test.fleet.Advance(500ms);
  test.CheckLateAnnouncement();
}

TEST_CASE("restart: a departure that nobody can record is not acknowledged") {
  RestartFleet test;
  test.fleet.SetPlatformFault(PlatformFault::kDown);
  test.fleet.SetFilter([](Address /*from*/, const Effect& effect) {
    return !std::holds_alternative<SendDatagram>(effect) &&
           !std::holds_alternative<SendPeer>(effect);
  });
  CHECK(test.Announce(Departure("i-1", kBorn)) == "refused");
  // It is obeyed all the same, and acknowledged once it can be recorded.
  CHECK(!test.IsInUse());
  test.fleet.SetPlatformFault(PlatformFault::kNone);
  test.fleet.Advance(3s);
  CHECK(test.Announce(Departure("i-1", kBorn)) == "announced");
}

TEST_CASE("restart: a server that stays is in use with its next announcement") {
  RestartFleet test;
  test.fleet.Restart(kHome);
  test.fleet.Advance(50ms);
  CHECK(test.Announce(Announcement("i-1", "ready", kBorn, 2)) == "announced");
  CHECK(test.IsInUse());
}

TEST_CASE("restart: an announcement at the start is taken when it is known") {
  RestartFleet test;
  test.fleet.Restart(kHome);
  test.Announce(Announcement("i-1", "ready", kBorn, 2));
  test.fleet.Advance(50ms);
  CHECK(test.IsInUse());
}

TEST_CASE("restart: neither platform nor peers, the server keeps announcing") {
  RestartFleet test;
  test.fleet.Kill(kHome);
  test.fleet.SetPlatformFault(PlatformFault::kDown);
  test.fleet.SetFilter([](Address /*from*/, const Effect& effect) {
    return !std::holds_alternative<SendDatagram>(effect) &&
           !std::holds_alternative<SendPeer>(effect);
  });
  test.fleet.Restart(kHome);
  // Up to three announcements can be late.
  for (uint64_t i = 2; i < 5; ++i) {
    test.Announce(Announcement("i-1", "ready", kBorn, i));
    CHECK(!test.IsInUse());
    test.fleet.Advance(1'500ms);
  }
  test.Announce(Announcement("i-1", "ready", kBorn, 5));
  CHECK(test.IsInUse());
}

TEST_CASE("restart: the address and the id are used again by a new start") {
  RestartFleet test;
  CHECK(test.Announce(Departure("i-1", kBorn)) == "announced");
  test.fleet.Restart(kHome);
  test.fleet.Advance(50ms);
  CHECK(test.Announce(Announcement("i-1", "ready", kBorn + 9'000, 1)) ==
        "announced");
  CHECK(test.IsInUse());
}

TEST_CASE("restart: another server at the address, whose clock is behind") {
  RestartFleet test;
  CHECK(test.Announce(Departure("i-1", kBorn)) == "announced");
  test.fleet.Restart(kHome);
  test.fleet.Advance(50ms);
  CHECK(test.Announce(Announcement("i-2", "ready", kBorn - 30'000, 1)) ==
        "announced");
  CHECK(test.IsInUse());
}

TEST_CASE("restart: the clock of the daemon was set back") {
  RestartFleet test;
  CHECK(test.Announce(Departure("i-1", kBorn)) == "announced");
  test.fleet.Restart(kHome, 60s);
  test.fleet.Advance(500ms);
  test.CheckLateAnnouncement();
}

TEST_CASE("restart: a platform that takes long is asked once at a time") {
  RestartFleet test;
  const uint64_t before =
      test.fleet.At(kHome).Counter("leave_record_writes_total");
  test.fleet.SetPlatformFault(PlatformFault::kSilent);
  CHECK(test.Announce(Departure("i-1", kBorn)) == "announced");
  test.fleet.Advance(std::chrono::milliseconds(
      test.fleet.At(kHome).Settings().platform_timeout_ms / 2));
  CHECK(test.fleet.At(kHome).Counter("leave_record_writes_total") ==
        before + 1);
  test.fleet.SetPlatformFault(PlatformFault::kNone);
  test.fleet.Advance(10s);
  CHECK(test.fleet.Table()
            .Apply(ReadRows{{LeaveRecordKey(TestSettings(kHome, "").self)}})
            .rows.size() == 1);
}

TEST_CASE("restart: an odd row of another writer is no record") {
  RestartFleet test;
  test.fleet.Kill(kHome);
  test.fleet.Put(LeaveRecordKey(TestSettings(kHome, "").self),
                 std::string(300, '\x91'));
  test.fleet.Restart(kHome);
  test.fleet.Advance(50ms);
  CHECK(test.Announce(Announcement("i-1", "ready", kBorn, 2)) == "announced");
}

}  // namespace
}  // namespace buckthorncart
