/// What a daemon has acknowledged to its backend server outlives its process.

#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <utility>

#include "Plugins/Admission/leave_record.h"
#include "Support/fake_fleet.h"
#include "Support/followed_fleet.h"
#include "Wire/codec.h"

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

  /// Kills all daemons at once, and starts new ones `down` later.
  void KillAll(Duration down) {
    for (const uint32_t n : fleet.Numbers()) fleet.Kill(n);
    fleet.Advance(down);
    for (const uint32_t n : {1U, 2U, 3U}) fleet.Restart(n);
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

template <LeaveRecordRules Rules>
FakeDaemon::Plugins PluginsWith(const KernelSettings& settings) {
  FakeDaemon::Plugins plugins = StandardPlugins(settings);
  for (auto& plugin : plugins) {
    using Standard = LeaveRecord<StandardLeaveRecordRules>;
    if (dynamic_cast<Standard*>(plugin.get()) == nullptr) continue;
    plugin = std::make_unique<LeaveRecord<Rules>>();
  }
  return plugins;
}

/// Kills all daemons right after the acknowledgement of a departure. Returns
/// true if a late announcement puts the backend server into use again.
bool ReturnsAfterKillOfAll(FakeFleet::PluginFactory plugins) {
  RestartFleet test(std::move(plugins));
  CHECK(test.Announce(Departure("i-1", kBorn)) == "announced");
  test.KillAll(1s);
  test.fleet.Advance(200ms);
  test.Announce(Announcement("i-1", "ready", kBorn, 2));
  return test.IsInUse();
}

TEST_CASE("restart: all daemons killed after the acknowledgement") {
  CHECK(!ReturnsAfterKillOfAll(StandardPlugins));
}

TEST_CASE("restart control: without the record the server is in use again") {
  CHECK(ReturnsAfterKillOfAll(PluginsWith<PlatformNotUsed>));
}

struct AbsenceTrusted : StandardLeaveRecordRules {
  static constexpr bool kDoubtAbsence = false;
};

/// A departure that only other daemons have recorded, and what follows it.
struct LostDeparture {
  /// The backend server announces that it is draining, and nothing more.
  bool drains = false;
  /// Late announcements that arrive after the kill of all daemons.
  uint64_t late_announcements = 1;
  /// All daemons are killed once more, after the platform is back.
  bool second_kill = false;
  /// Another start, of another id, has left before and is on the platform.
  bool earlier_departure = false;
};

/// Returns true if the late announcements put the backend server into use.
bool ReturnsAfter(const LostDeparture& scenario,
                  FakeFleet::PluginFactory plugins = StandardPlugins) {
  RestartFleet test(std::move(plugins));
  bool in_use = false;
  uint64_t born = kBorn;
  std::string id = "i-1";
  if (scenario.earlier_departure) {
    CHECK(test.Announce(Departure(id, born)) == "announced");
    test.fleet.Advance(1s);
    id = "i-2";
    born += 60'000;
    CHECK(test.Announce(Announcement(id, "ready", born, 1)) == "announced");
  }
  test.fleet.SetPlatformFault(PlatformFault::kDown);
  test.fleet.Advance(300ms);
  CHECK(test.Announce(scenario.drains ? Announcement(id, "draining", born, 8)
                                      : Departure(id, born)) == "announced");
  test.fleet.Advance(700ms);
  test.KillAll(500ms);
  test.fleet.SetObserver(
      [&](FakeDaemon& /*daemon*/) { in_use = in_use || test.IsInUse(); });
  for (uint64_t i = 0; i < scenario.late_announcements; ++i) {
    test.fleet.Advance(1s);
    test.Announce(Announcement(id, "ready", born, 2 + i));
  }
  test.fleet.Advance(500ms);
  test.fleet.SetPlatformFault(PlatformFault::kNone);
  test.fleet.Advance(200ms);
  if (scenario.second_kill) {
    test.KillAll(500ms);
    test.fleet.Advance(200ms);
    test.Announce(Announcement(id, "ready", born, 7));
  }
  test.fleet.Advance(6s);
  return in_use;
}

// Review case 8: the departure was known to daemons only, and all were killed.
// The new ones took the silence of one another, and then of the platform, for
// proof that there was none.
TEST_CASE("restart: all daemons killed, and the platform knows no departure") {
  CHECK_FALSE(ReturnsAfter({}));
  CHECK_FALSE(ReturnsAfter({.drains = true}));
  CHECK_FALSE(ReturnsAfter({.late_announcements = 2}));
  CHECK_FALSE(ReturnsAfter({.second_kill = true}));
  CHECK_FALSE(ReturnsAfter({.earlier_departure = true}));
  CHECK_FALSE(ReturnsAfter({.drains = true,
                            .late_announcements = 2,
                            .second_kill = true,
                            .earlier_departure = true}));
}

TEST_CASE("restart control: an absent record counts as proof") {
  CHECK(ReturnsAfter({}, PluginsWith<AbsenceTrusted>));
  CHECK(ReturnsAfter({.second_kill = true}, PluginsWith<AbsenceTrusted>));
}

TEST_CASE("restart: all daemons killed, the servers that stay come back") {
  RestartFleet test;
  test.fleet.SetPlatformFault(PlatformFault::kDown);
  test.KillAll(500ms);
  const Time killed_at = test.fleet.Now();
  for (uint64_t i = 2; !test.IsInUse() && i < 20; ++i) {
    test.Announce(Announcement("i-1", "ready", kBorn, i));
    test.fleet.Advance(1'500ms);
  }
  CHECK(test.IsInUse());
  CHECK(test.fleet.Now() - killed_at < 7s);
  // The following announcements need no further proof.
  CHECK(test.Announce(Announcement("i-1", "ready", kBorn, 30)) == "announced");
}

/// All daemons of a fleet whose backend servers have health checks are killed
/// at once, while the backend servers run. Returns true if that of the first
/// daemon is in use within half a second of its next announcement.
bool IsConfirmedByHealth(const std::string& answered_id) {
  FollowedFleet test(3);
  test.fleet.StartAll();
  Snapshot snapshot = FollowedFleet::MakeSnapshot(7);
  snapshot.configuration.services["catalogus"].health_path = "/health";
  test.fleet.Put(std::string(kFollowedRow), Encode(snapshot));
  test.fleet.Advance(2s);
  test.fleet.Ask(kHome, "POST", "/v1/backend-server",
                 Announcement("i-1", "ready", kBorn, 1));
  test.fleet.Advance(2s);
  for (const uint32_t n : {1U, 2U, 3U}) test.fleet.Kill(n);
  test.fleet.Advance(500ms);
  for (const uint32_t n : {1U, 2U, 3U}) test.fleet.Restart(n);
  test.fleet.Behaviours()[kHome].healthy_id = answered_id;
  test.fleet.Advance(100ms);
  test.fleet.Ask(kHome, "POST", "/v1/backend-server",
                 Announcement("i-1", "ready", kBorn, 2));
  // The fleet also sends announcements without an id, which follow later.
  return test.fleet.AdvanceUntil(
      [&] {
        const Member& self = test.fleet.At(kHome).GetContext().Shared().self;
        return self.backend.state == BackendState::kReady &&
               self.backend.id == "i-1";
      },
      400ms);
}

TEST_CASE("restart: a health check confirms a server that stays") {
  CHECK(IsConfirmedByHealth("i-1"));
}

TEST_CASE("restart control: other answers to a health check prove nothing") {
  CHECK_FALSE(IsConfirmedByHealth(""));
  CHECK_FALSE(IsConfirmedByHealth("i-2"));
}

TEST_CASE("restart: a server that starts with its VM is in use at once") {
  RestartFleet test;
  test.KillAll(2s);
  const uint64_t born =
      test.fleet.At(kHome).GetContext().Shared().started_wall_ms - 300;
  CHECK(test.Announce(Announcement("i-1", "ready", born, 1)) == "announced");
  CHECK(test.IsInUse());
}

TEST_CASE("restart: a daemon that ran all the time vouches for a server") {
  RestartFleet test;
  test.fleet.Advance(3s);
  test.fleet.Kill(1);
  test.fleet.Kill(2);
  test.fleet.Advance(500ms);
  test.fleet.Restart(1);
  test.fleet.Restart(2);
  test.fleet.Advance(100ms);
  CHECK(test.Announce(Announcement("i-1", "ready", kBorn, 2)) == "announced");
  CHECK(test.IsInUse());
}

struct RowNotStoredAgain : StandardLeaveRecordRules {
  static constexpr bool kStoreAgain = false;
};

/// The platform's store loses the record of a departure, and the daemon is
/// killed `later`. Returns true if the platform has the record then.
bool HasRecordAfterRestore(FakeFleet::PluginFactory plugins, Duration later) {
  RestartFleet test(std::move(plugins));
  test.fleet.Advance(1s);
  const MemoryTable copy = test.fleet.Table();
  CHECK(test.Announce(Departure("i-1", kBorn)) == "announced");
  test.fleet.RestorePlatform(copy);
  // Whoever calls the platform next notices the restore.
  PlatformReply reply{PlatformStatus::kOk, {}, {}, 0};
  reply.era = 2;
  test.fleet.Inject(3, PlatformReplied{1, reply});
  test.fleet.Advance(later);
  test.KillAll(500ms);
  test.fleet.Advance(500ms);
  test.CheckLateAnnouncement();
  const auto rows =
      test.fleet.Table()
          .Apply(ReadRows{{LeaveRecordKey(TestSettings(kHome, "").self)}})
          .rows;
  if (rows.empty()) return false;
  const auto row = Decode<BackendAnnouncement>(rows.begin()->second);
  return row && row->left;
}

TEST_CASE("restart: the store loses a departure, which is stored again") {
  CHECK(HasRecordAfterRestore(StandardPlugins, 500ms));
}

TEST_CASE("restart: the store loses a departure, and all daemons are killed") {
  HasRecordAfterRestore(StandardPlugins, 0ms);
}

TEST_CASE("restart control: a lost departure is not stored again") {
  CHECK_FALSE(HasRecordAfterRestore(PluginsWith<RowNotStoredAgain>, 500ms));
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
