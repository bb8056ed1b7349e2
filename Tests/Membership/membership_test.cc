#include <doctest/doctest.h>

#include <algorithm>

#include "Membership/large_fleet.h"

namespace buckthorncart {
namespace {

constexpr uint32_t kSize = 30;

struct NoForgivenPause : StandardMembershipRules {
  static constexpr bool kDiscountLocalPause = false;
};
struct NoAccusedTold : StandardMembershipRules {
  static constexpr bool kNotifySuspected = false;
};
struct NoComparedTables : StandardMembershipRules {
  static constexpr bool kCompareTables = false;
};
struct NoExpiredLeaving : StandardMembershipRules {
  static constexpr bool kExpireLeaving = false;
};
struct NoForgottenGone : StandardMembershipRules {
  static constexpr bool kRemoveGone = false;
};

/// Status of member `of` in the table of `at`; one that is forgotten is gone.
MemberStatus StatusOf(LargeFleet& test, uint32_t at, uint32_t of) {
  const auto& members = test.fleet.At(at).GetContext().Shared().members;
  const auto it = members.find(TestSettings(of, "").self);
  return it == members.end() ? MemberStatus::kGone : it->second.status;
}

/// Accusations by a daemon that is paused right after it has sent a probe and
/// that loses what is sent to it meanwhile.
template <MembershipRules Rules>
uint64_t AccusationsAfterPause() {
  constexpr uint32_t kPaused = 7;
  LargeFleet test(kSize, PluginsWithRules<Rules>);
  REQUIRE(test.fleet.AdvanceUntil([&] { return test.WholeEverywhere(); }, 10s));
  test.fleet.Advance(5s);
  bool probed = false;
  test.Lose([&probed](Address from, const Effect& effect) {
    const auto* datagram = std::get_if<SendDatagram>(&effect);
    if (datagram == nullptr) return false;
    if (LargeFleet::NumberOf(from) == kPaused) {
      probed = probed || std::holds_alternative<Probe>(datagram->message);
      return false;
    }
    return probed && LargeFleet::NumberOf(datagram->to) == kPaused;
  });
  REQUIRE(test.fleet.AdvanceUntil([&] { return probed; }, 5s));
  test.fleet.Freeze(kPaused);
  test.fleet.Advance(2'500ms);
  test.Heal();
  test.fleet.Thaw(kPaused);
  test.fleet.Advance(500ms);
  return test.fleet.At(kPaused).Counter("membership_suspicions_total");
}

TEST_CASE("membership: a daemon that was paused accuses nobody") {
  CHECK(AccusationsAfterPause<StandardMembershipRules>() == 0);
}

TEST_CASE("membership control: without forgiving a pause it accuses") {
  CHECK(AccusationsAfterPause<NoForgivenPause>() > 0);
}

struct Healing {
  bool whole = false;
  Duration time{};
  double bytes_per_second = 0;
};

/// Cuts one data centre off until both sides take each other as gone.
template <MembershipRules Rules>
Healing HealPartition(uint32_t size) {
  LargeFleet test(size, PluginsWithRules<Rules>);
  REQUIRE(test.fleet.AdvanceUntil([&] { return test.WholeEverywhere(); }, 20s));
  test.Cut([](uint32_t n) { return n % 5 == 0; });
  test.fleet.Advance(60s);
  CHECK(StatusOf(test, 5, 1) == MemberStatus::kGone);
  CHECK(StatusOf(test, 1, 5) == MemberStatus::kGone);
  test.Heal();
  const Time healed = test.fleet.Now();
  const uint64_t before = test.SentBytesOfAll();
  Healing healing;
  healing.whole =
      test.fleet.AdvanceUntil([&] { return test.WholeEverywhere(); }, 120s);
  healing.time = test.fleet.Now() - healed;
  const double seconds = std::chrono::duration<double>(healing.time).count();
  healing.bytes_per_second =
      static_cast<double>(test.SentBytesOfAll() - before) / seconds / size;
  return healing;
}

/// Bound of the whole fleet's agreement on a change of membership.
constexpr Duration kAgreement = 20s;
/// Control traffic of a daemon, bytes a second.
constexpr double kControlTarget = 5'000;

TEST_CASE("membership: both sides of a healed partition merge in seconds") {
  for (const uint32_t size : {kSize, 100U}) {
    const Healing healing = HealPartition<StandardMembershipRules>(size);
    MESSAGE("size " << size << ": " << ToMilliseconds(healing.time) << " ms, "
                    << healing.bytes_per_second << " B/s a daemon");
    CHECK(healing.whole);
    CHECK(healing.time <= kAgreement);
    CHECK(healing.bytes_per_second <= kControlTarget);
  }
}

TEST_CASE("membership control: without telling the accused it takes longer") {
  const Healing healing = HealPartition<NoAccusedTold>(kSize);
  MESSAGE(ToMilliseconds(healing.time) << " ms");
  CHECK(healing.time > kAgreement);
}

/// Status of a daemon that left and ended, half a minute later.
template <MembershipRules Rules>
std::vector<MemberStatus> StatusesAfterLeaving() {
  constexpr uint32_t kLeaver = 9;
  LargeFleet test(kSize, PluginsWithRules<Rules>);
  REQUIRE(test.fleet.AdvanceUntil([&] { return test.WholeEverywhere(); }, 10s));
  test.fleet.At(kLeaver).Deliver(test.fleet.Now(), ShutdownRequested{});
  bool back = false;
  std::map<uint32_t, bool> left;
  test.fleet.SetObserver([&](FakeDaemon& daemon) {
    const auto& members = daemon.GetContext().Shared().members;
    const auto it = members.find(TestSettings(kLeaver, "").self);
    if (it == members.end()) return;
    bool& seen = left[LargeFleet::NumberOf(daemon.Self())];
    const bool leaves = it->second.status >= MemberStatus::kLeaving;
    back = back || (seen && !leaves);
    seen = leaves;
  });
  test.fleet.Advance(3s);
  test.fleet.Kill(kLeaver);
  test.fleet.Advance(27s);
  CHECK_FALSE(back);
  std::vector<MemberStatus> statuses;
  for (const uint32_t n : test.fleet.Numbers()) {
    statuses.push_back(StatusOf(test, n, kLeaver));
  }
  return statuses;
}

TEST_CASE("membership: one that has left never comes back and is then gone") {
  const auto statuses = StatusesAfterLeaving<StandardMembershipRules>();
  CHECK(std::count(statuses.begin(), statuses.end(), MemberStatus::kGone) ==
        kSize - 1);
}

TEST_CASE("membership control: without expiry it stays as leaving") {
  const auto statuses = StatusesAfterLeaving<NoExpiredLeaving>();
  CHECK(std::count(statuses.begin(), statuses.end(), MemberStatus::kGone) == 0);
}

TEST_CASE("membership: a restart with a clock that went back is taken") {
  constexpr uint32_t kRestarted = 4;
  LargeFleet test(kSize);
  REQUIRE(test.fleet.AdvanceUntil([&] { return test.WholeEverywhere(); }, 10s));
  const uint64_t before =
      test.fleet.At(kRestarted).GetContext().Shared().self.incarnation;
  test.fleet.Kill(kRestarted);
  test.fleet.Advance(30s);
  test.fleet.Restart(kRestarted, 10min);
  CHECK(test.fleet.AdvanceUntil([&] { return test.WholeEverywhere(); }, 10s));
  const uint64_t after =
      test.fleet.At(kRestarted).GetContext().Shared().self.incarnation;
  CHECK(after > before);
}

/// Whether a daemon that heard nothing while an update was passed on learns of
/// it afterwards.
template <MembershipRules Rules>
bool LearnsLostUpdate(Duration join_limit) {
  constexpr uint32_t kDeaf = 11;
  constexpr uint32_t kChanged = 12;
  LargeFleet test(kSize, PluginsWithRules<Rules>, [](KernelSettings& settings) {
    settings.suspicion_ms = 60'000;
  });
  REQUIRE(test.fleet.AdvanceUntil([&] { return test.WholeEverywhere(); },
                                  join_limit));
  test.fleet.Advance(10s);
  test.Cut([](uint32_t n) { return n == kDeaf; });
  test.fleet.Announce(kChanged, "catalogus");
  test.fleet.Advance(30s);
  test.Heal();
  test.fleet.Advance(30s);
  const auto& members = test.fleet.At(kDeaf).GetContext().Shared().members;
  return members.at(TestSettings(kChanged, "").self).backend.service ==
         "catalogus";
}

TEST_CASE("membership: a lost update is repaired by comparing tables") {
  CHECK(LearnsLostUpdate<StandardMembershipRules>(10s));
}

TEST_CASE("membership control: without comparing tables it stays lost") {
  CHECK_FALSE(LearnsLostUpdate<NoComparedTables>(120s));
}

struct Remains {
  size_t members = 0;
  size_t announcements = 0;
  uint64_t platform_writes = 0;
};

/// What is left of four daemons two hours after their end.
template <MembershipRules Rules>
Remains RemainsOfDead() {
  constexpr uint32_t kFleet = 10;
  LargeFleet test(kFleet, PluginsWithRules<Rules>);
  REQUIRE(test.fleet.AdvanceUntil([&] { return test.WholeEverywhere(); }, 10s));
  for (uint32_t n = 7; n <= kFleet; ++n) test.fleet.Kill(n);
  test.fleet.Advance(30s);
  const uint64_t writes = test.fleet.PlatformWrites();
  test.fleet.Advance(65min);
  const auto rows = test.fleet.Table().Apply(ScanRows{"vm/", "", 100}).rows;
  return {test.fleet.At(1).GetContext().Shared().members.size(), rows.size(),
          test.fleet.PlatformWrites() - writes};
}

TEST_CASE("membership: the dead are forgotten with their announcements") {
  const Remains remains = RemainsOfDead<StandardMembershipRules>();
  CHECK(remains.members == 5);
  CHECK(remains.announcements == 6);
  CHECK(remains.platform_writes <= 4 * 2);
}

TEST_CASE("membership control: without forgetting they stay") {
  const Remains remains = RemainsOfDead<NoForgottenGone>();
  CHECK(remains.members == 9);
  CHECK(remains.announcements == 10);
}

/// Bytes a second that a daemon sends when nothing changes.
double BytesAtRest(uint32_t size) {
  LargeFleet test(size);
  REQUIRE(test.fleet.AdvanceUntil([&] { return test.WholeEverywhere(); }, 30s));
  test.fleet.Advance(30s);
  const uint64_t before = test.SentBytesOfAll();
  test.fleet.Advance(20s);
  return static_cast<double>(test.SentBytesOfAll() - before) / 20 / size;
}

TEST_CASE("membership: the cost at rest does not grow with the fleet") {
  const double small = BytesAtRest(10);
  const double large = BytesAtRest(100);
  MESSAGE(small << " B/s at 10 daemons, " << large << " B/s at 100");
  CHECK(large <= 1.25 * small);
  CHECK(large <= kControlTarget);
}

}  // namespace
}  // namespace buckthorncart
