#include <doctest/doctest.h>

#include "Support/followed_fleet.h"

namespace buckthorncart {
namespace {

TEST_CASE("follower: a version written by operators reaches every daemon") {
  FollowedFleet test(5);
  test.fleet.StartAll();
  test.fleet.Advance(2s);
  test.Write(7);
  test.fleet.Advance(100ms);
  CHECK(test.AllHold(7));
}

TEST_CASE("follower: a daemon without a configuration is not ready") {
  FollowedFleet test(2);
  test.fleet.StartAll();
  test.fleet.Advance(2s);
  CHECK_FALSE(test.fleet.At(1).Ready());
  const uint64_t call = test.fleet.Call(1, {"GET", "/v1/x", {}, ""});
  test.fleet.Advance(100ms);
  // Not 404: without a configuration it is unknown whether the route exists.
  CHECK(test.fleet.CallerAnswers()[call].status == 503);
}

TEST_CASE("follower: versions never decrease during frequent changes") {
  FollowedFleet test(5);
  std::map<FakeDaemon*, uint64_t> highest;
  bool went_back = false;
  test.fleet.SetObserver([&](FakeDaemon& daemon) {
    uint64_t& seen = highest[&daemon];
    const uint64_t held = daemon.Version();
    went_back = went_back || held < seen;
    seen = std::max(seen, held);
  });
  test.fleet.StartAll();
  for (uint64_t version = 3; version < 90; version += 3) {
    test.Write(version);
    test.fleet.Advance(60ms);
  }
  // Another writer replaces the row by an older version.
  test.Write(5);
  test.fleet.Advance(2s);
  CHECK_FALSE(went_back);
  CHECK(test.AllHold(87));
}

TEST_CASE(
    "follower: an undecodable row keeps the last valid version in force") {
  FollowedFleet test(3);
  test.fleet.StartAll();
  test.Write(4);
  test.fleet.Advance(1s);
  test.fleet.Put(std::string(kFollowedRow), "\x93\x05 cut");
  test.fleet.Advance(1s);
  CHECK(test.AllHold(4));
  CHECK(test.fleet.At(1).Counter("followed_versions_held_back_total") >= 1);
  test.Write(6);
  test.fleet.Advance(1s);
  CHECK(test.AllHold(6));
}

TEST_CASE(
    "follower: a version with an unknown service is rejected as a whole") {
  FollowedFleet test(2);
  test.fleet.StartAll();
  test.Write(4);
  test.fleet.Advance(1s);
  Snapshot bad = FollowedFleet::MakeSnapshot(5);
  bad.configuration.routes["r"].service = "nowhere";
  test.fleet.Put(std::string(kFollowedRow), Encode(bad));
  test.fleet.Advance(1s);
  CHECK(test.AllHold(4));
}

TEST_CASE("follower: after a lost watch history the row is read again") {
  FollowedFleet test(3);
  test.fleet.StartAll();
  test.Write(4);
  test.fleet.Advance(1s);
  test.fleet.SetPlatformFault(PlatformFault::kDown);
  test.fleet.Advance(25s);
  test.Write(9);
  test.fleet.TruncateWatchHistory();
  test.fleet.SetPlatformFault(PlatformFault::kNone);
  test.fleet.Advance(2s);
  CHECK(test.AllHold(9));
  CHECK(test.fleet.At(1).Counter("followed_histories_lost_total") >= 1);
}

/// Returns whether daemon 1 holds the new version within two seconds while the
/// platform rejects its requests.
bool LearnsFromPeers(bool peers_reach_it) {
  FollowedFleet test(5);
  test.fleet.StartAll();
  test.Write(4);
  test.fleet.Advance(5s);
  const Address cut = test.fleet.At(1).Self();
  if (!peers_reach_it) {
    test.fleet.SetFilter([cut](Address from, const Effect& effect) {
      const auto* datagram = std::get_if<SendDatagram>(&effect);
      const auto* message = std::get_if<SendPeer>(&effect);
      return from != cut && (datagram == nullptr || datagram->to != cut) &&
             (message == nullptr || message->to != cut);
    });
  }
  test.fleet.RefusePlatformCalls({1});
  test.fleet.Advance(25s);
  test.Write(8);
  test.fleet.Advance(2s);
  return test.Held(1) == 8;
}

TEST_CASE("follower: a daemon that the platform rejects pulls from peers") {
  CHECK(LearnsFromPeers(true));
  CHECK_FALSE(LearnsFromPeers(false));
}

TEST_CASE("follower: after a freeze the newest version is read at once") {
  FollowedFleet test(3);
  test.fleet.StartAll();
  test.Write(4);
  test.fleet.Advance(1s);
  test.fleet.Freeze(2);
  test.fleet.Advance(10s);
  test.Write(5);
  test.fleet.Thaw(2);
  test.fleet.Advance(100ms);
  CHECK(test.Held(2) == 5);
}

TEST_CASE("follower: a restart during an outage serves what peers hold") {
  FollowedFleet test(4);
  test.fleet.StartAll();
  test.Write(4);
  test.fleet.Advance(5s);
  test.fleet.SetPlatformFault(PlatformFault::kSilent);
  test.fleet.Restart(2);
  test.fleet.Advance(3s);
  CHECK(test.Held(2) == 4);
  CHECK(test.fleet.At(2).Ready());
}

TEST_CASE(
    "follower: all daemons recover if the platform is down at their start") {
  FollowedFleet test(4);
  test.fleet.SetPlatformFault(PlatformFault::kDown);
  test.fleet.StartAll();
  test.Write(4);
  test.fleet.Advance(10s);
  CHECK(test.Held(1) == 0);
  test.fleet.SetPlatformFault(PlatformFault::kNone);
  test.fleet.Advance(2s);
  CHECK(test.AllHold(4));
  // The daemons discover one another through the rows that they can now write.
  test.fleet.Advance(2s);
  CHECK(test.fleet.At(1).GetContext().Shared().members.size() == 3);
}

}  // namespace
}  // namespace buckthorncart
