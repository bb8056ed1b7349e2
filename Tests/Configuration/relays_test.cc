#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "Config/configuration_delta.h"
#include "Plugins/Configuration/delta_history.h"
#include "Support/followed_fleet.h"

namespace buckthorncart {
namespace {

/// Nine daemons in three data centres. The first three, one in each data
/// centre, have enough bandwidth to be relays.
constexpr uint32_t kSize = 9;
constexpr uint32_t kRelays = 3;
constexpr uint32_t kSlots = 4;
constexpr size_t kIdleRoutes = 1'600;
/// Time limit for a version to be in force on every daemon.
constexpr Duration kPropagationLimit = 2'500ms;

struct RelayFleet : FollowedFleet {
  RelayFleet() : FollowedFleet(kSize, kSlots, kRelays) {
    fleet.StartAll();
    Write(2, kIdleRoutes);
    fleet.Advance(5s);
  }
  uint64_t Sum(const std::string& counter, uint32_t first, uint32_t last) {
    uint64_t sum = 0;
    for (uint32_t n = first; n <= last; ++n)
      sum += fleet.At(n).Counter(counter);
    return sum;
  }
};

TEST_CASE(
    "relays: frequent changes to a large configuration are sent as deltas") {
  RelayFleet test;
  uint64_t snapshots = 0;
  size_t largest = 0;
  test.fleet.SetFilter([&](Address /*from*/, const Effect& effect) {
    const auto* message = std::get_if<SendPeer>(&effect);
    if (message == nullptr) return true;
    if (std::holds_alternative<PushSnapshot>(message->message)) ++snapshots;
    largest = std::max(largest, Encode(message->message).size());
    return true;
  });
  const std::string watches = "followed_watches_total";
  const uint64_t before = test.Sum(watches, kRelays + 1, kSize);
  for (uint64_t version = 5; version < 65; version += 3) {
    test.Write(version, kIdleRoutes);
    test.fleet.Advance(330ms);
    CHECK(test.AllHold(version));
  }
  CHECK(test.Sum(watches, kRelays + 1, kSize) == before);
  CHECK(snapshots == 0);
  // A full snapshot of this configuration exceeds 100,000 bytes.
  CHECK(largest < 2'000);
}

TEST_CASE("relays: without relays every daemon watches the platform") {
  RelayFleet test;
  for (uint32_t n = 1; n <= kRelays; ++n) test.fleet.Kill(n);
  test.fleet.Advance(15s);
  test.Write(9, kIdleRoutes);
  test.fleet.Advance(kPropagationLimit);
  CHECK(test.AllHold(9));
}

TEST_CASE("relays: a data centre without a relay is served by another one") {
  RelayFleet test;
  test.fleet.Kill(1);
  test.fleet.Advance(15s);
  const uint64_t before = test.Sum("followed_watches_total", 4, kSize);
  test.Write(9, kIdleRoutes);
  test.fleet.Advance(kPropagationLimit);
  CHECK(test.AllHold(9));
  CHECK(test.Sum("followed_watches_total", 4, kSize) == before);
}

TEST_CASE("relays: a daemon that the platform rejects stops being a relay") {
  RelayFleet test;
  test.fleet.RefusePlatformCalls({1, 2, 3});
  test.fleet.Advance(25s);
  CHECK(test.Sum("followed_watches_total", 4, kSize) > 0);
  test.Write(9, kIdleRoutes);
  test.fleet.Advance(kPropagationLimit);
  CHECK(test.AllHold(9));
}

TEST_CASE("relays: a restarted daemon whose reads fail relies on relays") {
  RelayFleet test;
  test.fleet.RefusePlatformCalls({7});
  test.fleet.Restart(7);
  test.fleet.Advance(5s);
  CHECK(test.Held(7) == 2);
  // A read of a large version that times out transfers nothing usable, and
  // repeating it saturates a narrow link permanently. This happened in the
  // scenario kill_all after big_config.
  const uint64_t reads = test.fleet.At(7).Counter("followed_reads_total");
  test.fleet.Advance(10s);
  CHECK(test.fleet.At(7).Counter("followed_reads_total") == reads);
  test.Write(9, kIdleRoutes);
  test.fleet.Advance(kPropagationLimit);
  CHECK(test.Held(7) == 9);
}

TEST_CASE("relays: a daemon catches up immediately after a freeze") {
  RelayFleet test;
  test.fleet.Freeze(7);
  test.fleet.Advance(4s);
  test.Write(9, kIdleRoutes);
  test.fleet.Advance(1s);
  test.fleet.Thaw(7);
  test.fleet.Advance(300ms);
  CHECK(test.Held(7) == 9);
}

/// Longest time until all daemons hold a change that is written as soon as the
/// platform is back, over outages of different lengths.
Duration WorstTimeAfterOutage(PlatformFault fault, uint32_t relays) {
  Duration worst{};
  for (const Duration outage : {1s, 3s, 8s, 12s, 40s}) {
    for (const Duration offset : {0ms, 700ms, 1'400ms}) {
      FollowedFleet test(kSize, kSlots, relays);
      test.fleet.StartAll();
      test.Write(2);
      test.fleet.Advance(10s + offset);
      test.fleet.SetPlatformFault(fault);
      test.fleet.Advance(outage);
      test.fleet.SetPlatformFault(PlatformFault::kNone);
      const Time back = test.fleet.Now();
      test.Write(9);
      test.fleet.AdvanceUntil([&] { return test.AllHold(9); }, 60s);
      worst = std::max(worst, test.fleet.Now() - back);
    }
  }
  MESSAGE("worst ms " << ToMilliseconds(worst));
  return worst;
}

// The platform swallows a watch and all that follows without an error; a change
// that is made once it is back must not wait for the end of the lost watch.
TEST_CASE(
    "relays: a change is in force soon after any outage of the platform") {
  for (const uint32_t relays : {kRelays, kSize}) {
    for (const auto fault : {PlatformFault::kDown, PlatformFault::kSilent,
                             PlatformFault::kLoseAnswers}) {
      CHECK(WorstTimeAfterOutage(fault, relays) <= kPropagationLimit);
    }
  }
}

TEST_CASE("relays: calls to the platform do not grow with the fleet") {
  const auto reads_at = [](uint32_t size, Duration settled) {
    FollowedFleet test(size, kSlots, size);
    test.fleet.StartAll();
    test.Write(2);
    test.fleet.Advance(settled);
    const uint64_t before = test.fleet.PlatformReads();
    for (uint64_t version = 5; version < 65; version += 3) {
      test.Write(version);
      test.fleet.Advance(1s);
      CHECK(test.AllHold(version));
    }
    return test.fleet.PlatformReads() - before;
  };
  // Watches that had been abandoned kept the queue of a relay full for as long
  // as they were to wait, so that relays failed and were replaced.
  for (const Duration settled : {10s, 12s, 20s}) {
    const uint64_t small = reads_at(12, settled);
    CHECK(reads_at(48, settled) <= small + small / 10);
  }
}

TEST_CASE("relays: deltas are retained only as a contiguous series") {
  DeltaHistory history;
  history.Add({2, 5, 0, {}, {}, {}});
  history.Add({5, 6, 0, {}, {}, {}});
  CHECK(history.After(2).size() == 2);
  CHECK(history.After(5).size() == 1);
  CHECK(history.After(3).empty());
  CHECK(history.After(6).empty());
  history.Add({8, 9, 0, {}, {}, {}});
  CHECK(history.After(2).empty());
  CHECK(history.After(8).size() == 1);
}

Snapshot RandomSnapshot(uint64_t version) {
  Snapshot snapshot;
  snapshot.version = version;
  const auto numbers = *rc::gen::container<std::vector<uint32_t>>(
      rc::gen::inRange<uint32_t>(0, 12));
  for (const uint32_t n : numbers) {
    Route route;
    route.name = "r" + std::to_string(n);
    route.path = "/" + std::to_string(*rc::gen::inRange(0, 3));
    snapshot.configuration.routes[route.name] = route;
    Service service;
    service.name = "s" + std::to_string(n);
    snapshot.configuration.services[service.name] = service;
  }
  return snapshot;
}

TEST_CASE("relays: applying a delta yields exactly the target version") {
  const bool held = rc::check([] {
    const Snapshot from = RandomSnapshot(3);
    const Snapshot to = RandomSnapshot(7);
    const Snapshot made = ApplyDelta(from, MakeDelta(from, to));
    RC_ASSERT(made.version == to.version);
    RC_ASSERT(made.configuration == to.configuration);
  });
  CHECK(held);
}

}  // namespace
}  // namespace buckthorncart
