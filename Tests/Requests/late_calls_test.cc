/// Calls that are held up between two daemons.

#include <doctest/doctest.h>

#include <optional>

#include "Kernel/transit_clock.h"
#include "Support/followed_fleet.h"

namespace buckthorncart {
namespace {

constexpr uint32_t kSize = 2;
constexpr uint32_t kSlots = 4;
/// The clock of the sender differs from the receiver's.
constexpr Duration kOffset = -3h;

TEST_CASE("transit clock: the usual transit is no delay") {
  TransitClock clock;
  for (int i = 0; i < 100; ++i) {
    const Time sent = 1h + i * 100ms;
    CHECK(clock.DelayOf(sent + kOffset, sent + 2ms) <= 1ms);
  }
}

TEST_CASE("transit clock: messages that were held up together are late") {
  TransitClock clock;
  clock.DelayOf(1h + kOffset, 1h + 1ms);
  // Sent within 2 s, held up by a lost packet, arrived at once.
  const Time arrival = 1h + 3s;
  for (int i = 0; i < 20; ++i) {
    const Time sent = 1h + 1s + i * 100ms;
    const Duration delay = clock.DelayOf(sent + kOffset, arrival);
    CHECK(delay > arrival - sent - 2ms);
    CHECK(delay <= arrival - sent);
  }
  // What follows is on time.
  CHECK(clock.DelayOf(1h + 3s + kOffset, 1h + 3s + 1ms) <= 1ms);
}

TEST_CASE("transit clock: a sender whose clock stood still is late briefly") {
  TransitClock clock;
  clock.DelayOf(1h + kOffset, 1h + 1ms);
  constexpr Duration kStandstill = 5s;
  int late = 0;
  for (int i = 0; i < 100; ++i) {
    const Time sent = 1h + 10s + i * 100ms;
    const Duration delay =
        clock.DelayOf(sent + kOffset - kStandstill, sent + 1ms);
    if (delay > 50ms) ++late;
  }
  CHECK(late <= 5);
}

TEST_CASE("transit clock: a sender with few calls is not late for good") {
  TransitClock clock;
  clock.DelayOf(1h + kOffset, 1h + 1ms);
  int late = 0;
  for (int i = 0; i < 10; ++i) {
    const Time sent = 1h + 10s + i * 10s;
    if (clock.DelayOf(sent + kOffset - 5s, sent + 1ms) > 50ms) ++late;
  }
  CHECK(late == 2);
}

TEST_CASE("transit clock: a clock that starts anew is not late") {
  TransitClock clock;
  clock.DelayOf(1h, 1h + 1ms);
  // The sender's VM has started again: its clock begins at zero, or later.
  CHECK(clock.DelayOf(1s, 1h + 5s) == Duration::zero());
  CHECK(clock.DelayOf(5h, 1h + 6s) == Duration::zero());
}

TEST_CASE("transit clock: clocks that drift apart are not late") {
  TransitClock clock;
  // 100 us a second for a day.
  for (int i = 0; i < 86'400; ++i) {
    const Time now = 1h + i * 1s;
    const Time sent = now + kOffset - i * 100us;
    REQUIRE(clock.DelayOf(sent, now + 1ms) <= 50ms);
  }
}

HttpRequest Request(const char* deadline_ms) {
  return {"GET", "/v4/x", {{std::string(header::kDeadline), deadline_ms}}, ""};
}

/// Daemon 1 has no backend server, so that its calls go to daemon 2.
struct TwoDaemons {
  TwoDaemons() : test(kSize, kSlots) {
    test.fleet.Announce(1, "catalogus", "draining", kSlots);
    test.fleet.StartAll();
    test.fleet.Put(std::string(kFollowedRow),
                   Encode(FollowedFleet::MakeSnapshot(4)));
    test.fleet.Advance(5s);
    test.fleet.Call(1, Request("1000"));
    test.fleet.Advance(1s);
    REQUIRE(test.fleet.RunsAt(2) == 1);
  }
  FollowedFleet test;
};

TEST_CASE("late calls: a call whose deadline passed in transit does not run") {
  TwoDaemons two;
  FakeFleet& fleet = two.test.fleet;
  fleet.SetDelay(940ms);
  fleet.Call(1, Request("250"));
  fleet.SetDelay(1ms);
  fleet.Advance(3s);
  CHECK(fleet.RunsAt(2) == 1);
}

TEST_CASE("late calls: a call with time left after the transit runs") {
  TwoDaemons two;
  FakeFleet& fleet = two.test.fleet;
  fleet.SetDelay(400ms);
  const uint64_t call = fleet.Call(1, Request("2000"));
  fleet.SetDelay(1ms);
  fleet.Advance(3s);
  CHECK(fleet.RunsAt(2) == 2);
  CHECK(fleet.CallerAnswers()[call].status == 200);
}

/// Sends a call of daemon 1 twice to daemon 2, on time and then after
/// `transit`; returns how many of them ran. Both carry `sent_us`, or the time
/// at which the first is sent.
uint64_t RunsAfterTransit(std::optional<uint64_t> sent_us, Duration transit) {
  TwoDaemons two;
  FakeFleet& fleet = two.test.fleet;
  const uint64_t before = fleet.RunsAt(2);
  const Address from = fleet.At(1).Self();
  Call call;
  call.id = 1ULL << 40U;
  call.service = "catalogus";
  call.remaining_ms = 250;
  call.request = {"GET", "/v4/x", {}, ""};
  call.sent_us = sent_us.value_or(static_cast<uint64_t>(fleet.Now().count()));
  for (const Duration delay : {Duration::zero(), transit}) {
    fleet.Advance(delay);
    ++call.id;
    call.fingerprint = call.id;
    fleet.Inject(2, PeerMessageReceived{from, call});
  }
  fleet.Advance(1s);
  return fleet.RunsAt(2) - before;
}

TEST_CASE("late calls control: without the time of sending a late call runs") {
  CHECK(RunsAfterTransit(0, 940ms) == 2);
  CHECK(RunsAfterTransit(std::nullopt, 940ms) == 1);
}

TEST_CASE("late calls: a time of sending that no clock shows is ignored") {
  CHECK(RunsAfterTransit(~0ULL, 940ms) == 2);
  CHECK(RunsAfterTransit(1ULL << 63U, 940ms) == 2);
}

TEST_CASE("late calls: a new connection begins with a new clock") {
  TwoDaemons two;
  FakeFleet& fleet = two.test.fleet;
  fleet.Inject(2, PeerConnectionLost{fleet.At(1).Self()});
  fleet.SetDelay(400ms);
  fleet.Call(1, Request("300"));
  fleet.SetDelay(1ms);
  fleet.Advance(3s);
  // Nothing is known of the usual transit yet, so that the call starts.
  CHECK(fleet.RunsAt(2) == 2);
}

}  // namespace
}  // namespace buckthorncart
