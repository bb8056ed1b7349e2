#include <doctest/doctest.h>

#include "Requests/request_fleet.h"

namespace buckthorncart {
namespace {

/// One backend server with one slot that takes 50 ms.
struct OneSlot {
  explicit OneSlot(FakeFleet::PluginFactory plugins)
      : test(std::move(plugins), {1, 1, 1}) {
    test.fleet.Behaviours()[2].time = 50ms;
  }
  /// Lets the daemons learn the time of a request.
  void Learn() {
    const uint64_t call = test.Get(1, "/proofs", 5'000);
    test.fleet.Advance(100ms);
    REQUIRE(test.IsWhole(call));
  }
  RequestFleet test;
};

struct NoServiceTime : StandardRequestRules {
  static constexpr bool kCheckServiceTime = false;
};
struct NoCancel : StandardRequestRules {
  static constexpr bool kCancelExpired = false;
};
struct NoShed : StandardRequestRules {
  static constexpr bool kTreatShedAsNotRun = false;
};

template <RequestRules Rules>
std::pair<uint64_t, std::string> CallWithoutTime() {
  OneSlot slot(PluginsWith<Rules>);
  slot.Learn();
  const uint64_t runs = slot.test.fleet.RunsAt(2);
  const uint64_t call = slot.test.Get(1, "/proofs", 20);
  slot.test.fleet.Advance(1s);
  return {slot.test.fleet.RunsAt(2) - runs, slot.test.Outcome(call)};
}

TEST_CASE("admission: a call without time for its run is not attempted") {
  CHECK(CallWithoutTime<StandardRequestRules>() ==
        std::pair<uint64_t, std::string>(0, "not-run"));
  CHECK(CallWithoutTime<NoServiceTime>().first == 1);
}

TEST_CASE("admission: a server that was slow is tried again") {
  OneSlot slot(PluginsWith<StandardRequestRules>);
  slot.Learn();
  slot.test.fleet.Behaviours()[2].time = 5ms;
  slot.test.fleet.Advance(10s);
  const uint64_t call = slot.test.Get(1, "/proofs", 20);
  slot.test.fleet.Advance(1s);
  CHECK(slot.test.IsWhole(call));
}

/// Runs of a call whose receiving daemon has been frozen past the deadline.
template <RequestRules Rules>
uint64_t CancelledAfterDeadline() {
  OneSlot slot(PluginsWith<Rules>);
  slot.test.fleet.Behaviours()[2].never_answers = true;
  slot.test.Get(1, "/proofs", 300);
  slot.test.fleet.Freeze(1);
  slot.test.fleet.Advance(1s);
  return slot.test.fleet.Cancelled();
}

TEST_CASE("admission: a run past its deadline is cancelled") {
  CHECK(CancelledAfterDeadline<StandardRequestRules>() == 1);
  CHECK(CancelledAfterDeadline<NoCancel>() == 0);
}

template <RequestRules Rules>
bool ShedIsRetried() {
  RequestFleet test(PluginsWith<Rules>, {1, 2, 4});
  test.fleet.Behaviours()[2].sheds = true;
  bool whole = true;
  for (int i = 0; i < 20; ++i) {
    const uint64_t call = test.Get(1, "/proofs", 1'000);
    test.fleet.Advance(20ms);
    whole = whole && test.IsWhole(call);
  }
  return whole;
}

TEST_CASE("admission: a request that was shed runs elsewhere") {
  CHECK(ShedIsRetried<StandardRequestRules>());
  CHECK(!ShedIsRetried<NoShed>());
}

struct NoClasses : StandardRequestRules {
  static constexpr bool kSeparateClasses = false;
};
struct StrictPriority : StandardRequestRules {
  static constexpr bool kShareWithBulk = false;
};

struct Order {
  bool interactive_first = false;
  bool bulk_starved = false;
};

/// Two bulk calls wait while 40 interactive ones arrive.
template <RequestRules Rules>
Order OrderOfStarts() {
  OneSlot slot(PluginsWith<Rules>);
  std::vector<uint64_t> bulk;
  for (int i = 0; i < 3; ++i) {
    bulk.push_back(slot.test.Get(1, "/exports", 9'000));
  }
  std::vector<uint64_t> urgent;
  for (int i = 0; i < 40; ++i) {
    urgent.push_back(slot.test.Get(1, "/proofs", 9'000));
  }
  slot.test.fleet.Advance(9s);
  const auto& at = slot.test.fleet.AnsweredAt();
  // The first bulk call started before there were others.
  return {at.at(urgent.front()) < at.at(bulk[1]),
          at.at(urgent.back()) < at.at(bulk[1])};
}

TEST_CASE("admission: interactive calls go first and bulk is not starved") {
  CHECK(OrderOfStarts<StandardRequestRules>().interactive_first);
  CHECK(!OrderOfStarts<StandardRequestRules>().bulk_starved);
  CHECK(!OrderOfStarts<NoClasses>().interactive_first);
  CHECK(OrderOfStarts<StrictPriority>().bulk_starved);
}

template <RequestRules Rules>
bool InteractiveIsTakenByFullQueue() {
  OneSlot slot(PluginsWith<Rules>);
  const uint32_t limit = slot.test.fleet.At(2).Settings().queue_limit;
  for (uint32_t i = 0; i <= limit; ++i) slot.test.Get(1, "/exports", 9'000);
  slot.test.fleet.Advance(10ms);
  const uint64_t urgent = slot.test.Get(1, "/proofs", 9'000);
  slot.test.fleet.Advance(1s);
  return slot.test.IsWhole(urgent);
}

TEST_CASE("admission: an interactive call evicts bulk from a full queue") {
  CHECK(InteractiveIsTakenByFullQueue<StandardRequestRules>());
  CHECK(!InteractiveIsTakenByFullQueue<NoClasses>());
}

}  // namespace
}  // namespace buckthorncart
