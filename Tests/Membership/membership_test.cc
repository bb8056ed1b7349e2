#include <doctest/doctest.h>

#include <algorithm>

#include "Membership/large_fleet.h"
#include "Plugins/Membership/update_queue.h"

namespace buckthorncart {
namespace {

constexpr uint32_t kSize = 30;

struct PauseNotDiscounted : StandardMembershipRules {
  static constexpr bool kDiscountLocalPause = false;
};
struct SuspectedNotNotified : StandardMembershipRules {
  static constexpr bool kNotifySuspected = false;
};
struct TablesNotCompared : StandardMembershipRules {
  static constexpr bool kCompareTables = false;
};
struct LeavingNotExpired : StandardMembershipRules {
  static constexpr bool kExpireLeaving = false;
};
struct GoneNotRemoved : StandardMembershipRules {
  static constexpr bool kRemoveGone = false;
};

/// Status of member `of` in the table of daemon `at`; `kGone` if it has been
/// removed.
MemberStatus StatusOf(LargeFleet& test, uint32_t at, uint32_t of) {
  const auto& members = test.fleet.At(at).GetContext().Shared().members;
  const auto it = members.find(TestSettings(of, "").self);
  return it == members.end() ? MemberStatus::kGone : it->second.status;
}

/// Number of suspicions raised by a daemon that is paused directly after it has
/// sent a probe, while the messages sent to it are lost.
template <MembershipRules Rules>
uint64_t SuspicionsAfterPause() {
  constexpr uint32_t kPaused = 7;
  LargeFleet test(kSize, PluginsWithRules<Rules>);
  REQUIRE(
      test.fleet.AdvanceUntil([&] { return test.MembershipConverged(); }, 10s));
  test.fleet.Advance(5s);
  bool probed = false;
  test.SetLossFilter([&probed](Address from, const Effect& effect) {
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

TEST_CASE("membership: a daemon that was paused suspects no other") {
  CHECK(SuspicionsAfterPause<StandardMembershipRules>() == 0);
}

TEST_CASE("membership control: without pause handling it suspects others") {
  CHECK(SuspicionsAfterPause<PauseNotDiscounted>() > 0);
}

struct HealingResult {
  bool converged = false;
  Duration time{};
  double bytes_per_second = 0;
};

/// Partitions one data centre until both sides have marked each other as gone,
/// then heals the partition.
template <MembershipRules Rules>
HealingResult HealPartition(uint32_t size) {
  LargeFleet test(size, PluginsWithRules<Rules>);
  REQUIRE(
      test.fleet.AdvanceUntil([&] { return test.MembershipConverged(); }, 20s));
  test.Partition([](uint32_t n) { return n % 5 == 0; });
  test.fleet.Advance(60s);
  CHECK(StatusOf(test, 5, 1) == MemberStatus::kGone);
  CHECK(StatusOf(test, 1, 5) == MemberStatus::kGone);
  test.Heal();
  const Time healed = test.fleet.Now();
  const uint64_t before = test.TotalSentBytes();
  HealingResult result;
  result.converged =
      test.fleet.AdvanceUntil([&] { return test.MembershipConverged(); }, 120s);
  result.time = test.fleet.Now() - healed;
  const double seconds = std::chrono::duration<double>(result.time).count();
  result.bytes_per_second =
      static_cast<double>(test.TotalSentBytes() - before) / seconds / size;
  return result;
}

/// Bound on the time until the whole fleet agrees on a change of membership.
constexpr Duration kMaxConvergenceTime = 20s;
/// Bound on the control traffic of one daemon, bytes per second.
constexpr double kMaxControlBytesPerSecond = 5'000;

TEST_CASE("membership: both sides of a healed partition merge in seconds") {
  for (const uint32_t size : {kSize, 100U}) {
    const HealingResult result = HealPartition<StandardMembershipRules>(size);
    MESSAGE("size " << size << ": " << ToMilliseconds(result.time) << " ms, "
                    << result.bytes_per_second << " B/s a daemon");
    CHECK(result.converged);
    CHECK(result.time <= kMaxConvergenceTime);
    CHECK(result.bytes_per_second <= kMaxControlBytesPerSecond);
  }
}

TEST_CASE("membership control: without notifying suspects it takes longer") {
  const HealingResult result = HealPartition<SuspectedNotNotified>(kSize);
  MESSAGE(ToMilliseconds(result.time) << " ms");
  CHECK(result.time > kMaxConvergenceTime);
}

/// Status of a daemon in the tables of all others, half a minute after it began
/// to leave; its process ends after 3 s.
template <MembershipRules Rules>
std::vector<MemberStatus> StatusesAfterLeaving() {
  constexpr uint32_t kLeaving = 9;
  LargeFleet test(kSize, PluginsWithRules<Rules>);
  REQUIRE(
      test.fleet.AdvanceUntil([&] { return test.MembershipConverged(); }, 10s));
  test.fleet.At(kLeaving).Deliver(test.fleet.Now(), ShutdownRequested{});
  bool returned = false;
  std::map<uint32_t, bool> left;
  test.fleet.SetObserver([&](FakeDaemon& daemon) {
    const auto& members = daemon.GetContext().Shared().members;
    const auto it = members.find(TestSettings(kLeaving, "").self);
    if (it == members.end()) return;
    bool& seen = left[LargeFleet::NumberOf(daemon.Self())];
    const bool leaves = it->second.status >= MemberStatus::kLeaving;
    returned = returned || (seen && !leaves);
    seen = leaves;
  });
  test.fleet.Advance(3s);
  test.fleet.Kill(kLeaving);
  test.fleet.Advance(27s);
  CHECK_FALSE(returned);
  std::vector<MemberStatus> statuses;
  for (const uint32_t n : test.fleet.Numbers()) {
    statuses.push_back(StatusOf(test, n, kLeaving));
  }
  return statuses;
}

TEST_CASE("membership: a daemon that left never returns and becomes gone") {
  const auto statuses = StatusesAfterLeaving<StandardMembershipRules>();
  CHECK(std::count(statuses.begin(), statuses.end(), MemberStatus::kGone) ==
        kSize - 1);
}

TEST_CASE("membership control: without expiry it stays leaving") {
  const auto statuses = StatusesAfterLeaving<LeavingNotExpired>();
  CHECK(std::count(statuses.begin(), statuses.end(), MemberStatus::kGone) == 0);
}

TEST_CASE("membership: a restart with a clock that was set back is accepted") {
  constexpr uint32_t kRestarted = 4;
  LargeFleet test(kSize);
  REQUIRE(
      test.fleet.AdvanceUntil([&] { return test.MembershipConverged(); }, 10s));
  const uint64_t before =
      test.fleet.At(kRestarted).GetContext().Shared().self.incarnation;
  test.fleet.Kill(kRestarted);
  test.fleet.Advance(30s);
  test.fleet.Restart(kRestarted, 10min);
  CHECK(
      test.fleet.AdvanceUntil([&] { return test.MembershipConverged(); }, 10s));
  const uint64_t after =
      test.fleet.At(kRestarted).GetContext().Shared().self.incarnation;
  CHECK(after > before);
}

/// Returns whether a daemon receives an update that was disseminated while the
/// daemon was partitioned.
template <MembershipRules Rules>
bool ReceivesLostUpdate(Duration join_limit) {
  constexpr uint32_t kPartitioned = 11;
  constexpr uint32_t kChanged = 12;
  LargeFleet test(kSize, PluginsWithRules<Rules>, [](KernelSettings& settings) {
    settings.suspicion_ms = 60'000;
  });
  REQUIRE(test.fleet.AdvanceUntil([&] { return test.MembershipConverged(); },
                                  join_limit));
  test.fleet.Advance(10s);
  test.Partition([](uint32_t n) { return n == kPartitioned; });
  test.fleet.Announce(kChanged, "catalogus");
  test.fleet.Advance(30s);
  test.Heal();
  test.fleet.Advance(30s);
  const auto& members =
      test.fleet.At(kPartitioned).GetContext().Shared().members;
  return members.at(TestSettings(kChanged, "").self).backend.service ==
         "catalogus";
}

TEST_CASE("membership: a lost update is repaired by comparing tables") {
  CHECK(ReceivesLostUpdate<StandardMembershipRules>(10s));
}

TEST_CASE("membership control: without comparing tables it stays lost") {
  CHECK_FALSE(ReceivesLostUpdate<TablesNotCompared>(120s));
}

struct Remains {
  size_t members = 0;
  size_t announcements = 0;
  uint64_t platform_writes = 0;
};

/// What remains of four daemons more than an hour after their processes ended.
template <MembershipRules Rules>
Remains RemainsOfFailedDaemons() {
  constexpr uint32_t kFleet = 10;
  LargeFleet test(kFleet, PluginsWithRules<Rules>);
  REQUIRE(
      test.fleet.AdvanceUntil([&] { return test.MembershipConverged(); }, 10s));
  for (uint32_t n = 7; n <= kFleet; ++n) test.fleet.Kill(n);
  test.fleet.Advance(30s);
  const uint64_t writes = test.fleet.PlatformWrites();
  test.fleet.Advance(65min);
  const auto rows = test.fleet.Table().Apply(ScanRows{"vm/", "", 100}).rows;
  return {test.fleet.At(1).GetContext().Shared().members.size(), rows.size(),
          test.fleet.PlatformWrites() - writes};
}

TEST_CASE("membership: failed daemons are removed with their announcements") {
  const Remains remains = RemainsOfFailedDaemons<StandardMembershipRules>();
  CHECK(remains.members == 5);
  CHECK(remains.announcements == 6);
  CHECK(remains.platform_writes <= 4 * 2);
}

TEST_CASE("membership control: without removal they stay") {
  const Remains remains = RemainsOfFailedDaemons<GoneNotRemoved>();
  CHECK(remains.members == 9);
  CHECK(remains.announcements == 10);
}

/// Bytes per second that a daemon sends when nothing changes.
double BytesAtRest(uint32_t size) {
  LargeFleet test(size);
  REQUIRE(
      test.fleet.AdvanceUntil([&] { return test.MembershipConverged(); }, 30s));
  test.fleet.Advance(30s);
  const uint64_t before = test.TotalSentBytes();
  test.fleet.Advance(20s);
  return static_cast<double>(test.TotalSentBytes() - before) / 20 / size;
}

TEST_CASE("membership: the cost at rest does not grow with the fleet") {
  const double small = BytesAtRest(10);
  const double large = BytesAtRest(100);
  MESSAGE(small << " B/s at 10 daemons, " << large << " B/s at 100");
  CHECK(large <= 1.25 * small);
  CHECK(large <= kMaxControlBytesPerSecond);
}

// After the start of a large fleet every daemon has a record of every other one
// to pass on; records that have reached all must not fill each probe for long.
TEST_CASE(
    "update queue: records that others know already are sent less often") {
  constexpr size_t kFleetSize = 195;
  constexpr size_t kMaxBytes = 1'000;
  const auto transmissions = [](bool duplicates) {
    UpdateQueue queue;
    Member member;
    member.address = Address{1, 1};
    member.sequence = 3;
    queue.Add(member, kFleetSize);
    int n = 0;
    while (!queue.Take(kMaxBytes).empty()) {
      ++n;
      if (duplicates) queue.RecordDuplicate(member);
    }
    return n;
  };
  CHECK(transmissions(false) == 24);
  CHECK(transmissions(true) <= 5);
}

TEST_CASE("update queue: an older copy is no duplicate") {
  UpdateQueue queue;
  Member member;
  member.address = Address{1, 1};
  member.sequence = 3;
  queue.Add(member, 1);
  Member older = member;
  older.sequence = 2;
  for (int i = 0; i < 10; ++i) queue.RecordDuplicate(older);
  CHECK_FALSE(queue.Empty());
}

}  // namespace
}  // namespace buckthorncart
