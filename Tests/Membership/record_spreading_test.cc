#include <doctest/doctest.h>

#include <algorithm>

#include "Membership/large_fleet.h"
#include "Plugins/Membership/table_agreement.h"
#include "Plugins/Membership/update_queue.h"

namespace buckthorncart {
namespace {

constexpr uint32_t kSlots = 4;
/// Bound on the time until a change of membership is known everywhere.
constexpr Duration kMaxSpreadingTime = 20s;

struct TablesNotCompared : StandardMembershipRules {
  static constexpr bool kCompareTables = false;
};

/// Returns whether every daemon has the record of `of` with `slots`.
bool AllKnowSlots(LargeFleet& test, uint32_t of, uint32_t slots) {
  const Address address = TestSettings(of, "").self;
  const std::vector<uint32_t> numbers = test.fleet.Numbers();
  return std::all_of(numbers.begin(), numbers.end(), [&](uint32_t n) {
    if (n == of) return true;
    const auto& members = test.fleet.At(n).GetContext().Shared().members;
    const auto it = members.find(address);
    return it != members.end() && it->second.backend.slots == slots;
  });
}

LargeFleet::AdjustSettings WithSeed(uint32_t seed) {
  return [seed](KernelSettings& settings) { settings.seed += 1'000ULL * seed; };
}

void AnnounceAll(LargeFleet& test) {
  for (const uint32_t n : test.fleet.Numbers()) {
    test.fleet.Announce(n, "catalogus", "ready", kSlots);
  }
}

/// Returns whether the fleet agrees again after gossip has ended before two of
/// four daemons had a record.
template <MembershipRules Rules>
bool RepairsLostGossip(uint32_t seed) {
  constexpr uint32_t kSize = 4;
  constexpr uint32_t kChanged = 1;
  constexpr uint32_t kLacking[] = {3, 4};
  LargeFleet test(kSize, PluginsWithRules<Rules>, WithSeed(seed));
  AnnounceAll(test);
  test.fleet.Advance(30s);
  REQUIRE(AllKnowSlots(test, kChanged, kSlots));
  for (const uint32_t n : kLacking) {
    auto& members = test.fleet.At(n).GetContext().Shared().members;
    Member& record = members.at(TestSettings(kChanged, "").self);
    --record.sequence;
    --record.backend.slots;
  }
  // Another change makes the daemons compute the digests of their tables anew.
  test.fleet.Announce(2, "catalogus", "ready", kSlots + 1);
  return test.fleet.AdvanceUntil(
      [&] { return AllKnowSlots(test, kChanged, kSlots); }, kMaxSpreadingTime);
}

// Two halves of the fleet that differed in a record each found enough equal
// peers, so that neither pulled it: backend servers stayed unused for good.
TEST_CASE("membership: daemons that lack the same record still pull it") {
  for (uint32_t seed = 1; seed <= 50; ++seed) {
    CAPTURE(seed);
    CHECK(RepairsLostGossip<StandardMembershipRules>(seed));
  }
}

TEST_CASE("membership control: without comparing tables a record stays lost") {
  CHECK_FALSE(RepairsLostGossip<TablesNotCompared>(1));
}

TEST_CASE("table agreement: equal peers in between do not postpone a pull") {
  TableAgreement agreement;
  Time now = 1h;
  for (int i = 0; i < 10; ++i) CHECK_FALSE(agreement.ShouldPull(true, now));
  // A difference that has just appeared is left to gossip.
  CHECK_FALSE(agreement.ShouldPull(false, now));
  bool pulls = false;
  for (int i = 0; i < 20; ++i) {
    now += 500ms;
    pulls = pulls || agreement.ShouldPull(i % 2 == 0, now);
  }
  CHECK(pulls);
}

struct SpreadingTimes {
  uint32_t changes = 0;
  /// Changes that are not known everywhere after `kMaxSpreadingTime`.
  uint32_t late = 0;
  Duration longest{};
};

/// Changes the record of one daemon after the other.
SpreadingTimes MeasureChanges(uint32_t size, uint32_t seed) {
  constexpr uint32_t kChanges = 30;
  LargeFleet test(size, StandardPlugins, WithSeed(seed));
  AnnounceAll(test);
  test.fleet.Advance(30s);
  SpreadingTimes times;
  for (uint32_t i = 1; i <= kChanges; ++i) {
    const uint32_t of = 1 + i % size;
    test.fleet.Announce(of, "catalogus", "ready", kSlots + i);
    const Time start = test.fleet.Now();
    const bool known = test.fleet.AdvanceUntil(
        [&] { return AllKnowSlots(test, of, kSlots + i); }, kMaxSpreadingTime);
    ++times.changes;
    if (!known) ++times.late;
    times.longest = std::max(times.longest, test.fleet.Now() - start);
    test.fleet.Advance(3s);
  }
  return times;
}

TEST_CASE("membership: each changed record reaches every daemon") {
  for (const uint32_t size : {4U, 8U, 13U, 30U, 100U}) {
    SpreadingTimes sum;
    for (uint32_t seed = 1; seed <= 600 / size; ++seed) {
      const SpreadingTimes times = MeasureChanges(size, seed);
      sum.changes += times.changes;
      sum.late += times.late;
      sum.longest = std::max(sum.longest, times.longest);
    }
    MESSAGE(size << " daemons: " << sum.changes << " changes, longest "
                 << ToMilliseconds(sum.longest) << " ms");
    CHECK(sum.late == 0);
  }
}

// Copies that came back from one daemon ended the gossip before it had reached
// the others; only the comparison of tables repaired that, after seconds.
TEST_CASE(
    "membership: gossip reaches a small fleet before tables are compared") {
  constexpr uint32_t kSize = 4;
  constexpr uint32_t kSeeds = 100;
  constexpr Duration kMaxGossipTime = 5s;
  Duration longest{};
  for (uint32_t seed = 1; seed <= kSeeds; ++seed) {
    longest = std::max(longest, MeasureChanges(kSize, seed).longest);
  }
  MESSAGE("longest " << ToMilliseconds(longest) << " ms");
  CHECK(longest < kMaxGossipTime);
}

TEST_CASE("update queue: copies from one daemon do not end a record") {
  constexpr size_t kFleetSize = 3;
  constexpr size_t kMaxBytes = 1'000;
  UpdateQueue queue;
  Member member;
  member.address = Address{1, 1};
  queue.Add(member, kFleetSize);
  // A probe with the record, its acknowledgement, and a probe of that daemon.
  queue.Take(kMaxBytes);
  queue.RecordDuplicate(member);
  queue.RecordDuplicate(member);
  CHECK_FALSE(queue.Empty());
}

}  // namespace
}  // namespace buckthorncart
