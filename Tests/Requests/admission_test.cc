#include <doctest/doctest.h>

#include "Requests/request_fleet.h"
#include "Support/followed_fleet.h"

namespace buckthorncart {
namespace {

/// A fleet with one backend server, which has one slot and takes 50 ms for each
/// request.
struct OneSlotFleet {
  explicit OneSlotFleet(FakeFleet::PluginFactory plugins)
      : test(std::move(plugins), {1, 1, 1}) {
    test.fleet.Behaviours()[2].time = 50ms;
  }
  /// Runs one request, so that the daemons know the expected run time.
  void WarmUp() {
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
std::pair<uint64_t, std::string> RunsAndOutcomeOfShortCall() {
  OneSlotFleet fixture(PluginsWith<Rules>);
  fixture.WarmUp();
  const uint64_t runs = fixture.test.fleet.RunsAt(2);
  const uint64_t call = fixture.test.Get(1, "/proofs", 20);
  fixture.test.fleet.Advance(1s);
  return {fixture.test.fleet.RunsAt(2) - runs, fixture.test.Outcome(call)};
}

TEST_CASE(
    "admission: a call with too little time for its run is not attempted") {
  CHECK(RunsAndOutcomeOfShortCall<StandardRequestRules>() ==
        std::pair<uint64_t, std::string>(0, "not-run"));
  CHECK(RunsAndOutcomeOfShortCall<NoServiceTime>().first == 1);
}

TEST_CASE("admission: a server that was slow is tried again") {
  OneSlotFleet fixture(PluginsWith<StandardRequestRules>);
  fixture.WarmUp();
  fixture.test.fleet.Behaviours()[2].time = 5ms;
  fixture.test.fleet.Advance(10s);
  const uint64_t call = fixture.test.Get(1, "/proofs", 20);
  fixture.test.fleet.Advance(1s);
  CHECK(fixture.test.IsWhole(call));
}

/// Returns the number of runs that are cancelled when the receiving daemon of a
/// call is frozen until after the deadline.
template <RequestRules Rules>
uint64_t CancelledAfterDeadline() {
  OneSlotFleet fixture(PluginsWith<Rules>);
  fixture.test.fleet.Behaviours()[2].never_answers = true;
  fixture.test.Get(1, "/proofs", 300);
  fixture.test.fleet.Freeze(1);
  fixture.test.fleet.Advance(1s);
  return fixture.test.fleet.Cancelled();
}

TEST_CASE("admission: a run past its deadline is cancelled") {
  CHECK(CancelledAfterDeadline<StandardRequestRules>() == 1);
  CHECK(CancelledAfterDeadline<NoCancel>() == 0);
}

/// One daemon with a backend server of one slot, which loses the answer to an
/// unrepeatable call. Returns whether a later call is served.
bool IsServedAfterLostAnswer(Duration later) {
  FollowedFleet test(1, 1);
  test.fleet.StartAll();
  Snapshot snapshot = FollowedFleet::MakeSnapshot(2);
  snapshot.configuration.routes["r"].repeatable = false;
  test.fleet.Put(std::string(kFollowedRow), Encode(snapshot));
  test.fleet.Advance(3s);
  HttpRequest request{
      "POST", "/v2/x", {{std::string(header::kDeadline), "300"}}, ""};
  test.fleet.Behaviours()[1].never_answers = true;
  test.fleet.Call(1, request);
  test.fleet.Advance(later);
  test.fleet.Behaviours()[1].never_answers = false;
  // Long enough for the run time that the lost answer has made likely.
  request.headers = {{std::string(header::kDeadline), "2000"}};
  const uint64_t call = test.fleet.Call(1, request);
  test.fleet.Advance(10ms);
  constexpr uint16_t kHttpOk = 200;
  return test.fleet.CallerAnswers()[call].status == kHttpOk;
}

// Each lost answer to an unrepeatable request must not take a slot for good.
TEST_CASE("admission: the slot of a run without an answer is used again") {
  CHECK_FALSE(IsServedAfterLostAnswer(200ms));
  CHECK(IsServedAfterLostAnswer(2s));
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

TEST_CASE("admission: a shed request runs at another backend server") {
  CHECK(ShedIsRetried<StandardRequestRules>());
  CHECK(!ShedIsRetried<NoShed>());
}

struct NoClasses : StandardRequestRules {
  static constexpr bool kSeparateClasses = false;
};
struct StrictPriority : StandardRequestRules {
  static constexpr bool kShareWithBulk = false;
};

struct StartOrder {
  bool interactive_first = false;
  bool bulk_starved = false;
};

/// Sends 40 interactive calls while two bulk calls wait.
template <RequestRules Rules>
StartOrder MeasureStartOrder() {
  OneSlotFleet fixture(PluginsWith<Rules>);
  std::vector<uint64_t> bulk;
  for (int i = 0; i < 3; ++i) {
    bulk.push_back(fixture.test.Get(1, "/exports", 9'000));
  }
  std::vector<uint64_t> urgent;
  for (int i = 0; i < 40; ++i) {
    urgent.push_back(fixture.test.Get(1, "/proofs", 9'000));
  }
  fixture.test.fleet.Advance(9s);
  const auto& answered_at = fixture.test.fleet.AnsweredAt();
  // The first bulk call started before the other calls arrived.
  return {answered_at.at(urgent.front()) < answered_at.at(bulk[1]),
          answered_at.at(urgent.back()) < answered_at.at(bulk[1])};
}

TEST_CASE("admission: interactive calls go first and bulk is not starved") {
  CHECK(MeasureStartOrder<StandardRequestRules>().interactive_first);
  CHECK(!MeasureStartOrder<StandardRequestRules>().bulk_starved);
  CHECK(!MeasureStartOrder<NoClasses>().interactive_first);
  CHECK(MeasureStartOrder<StrictPriority>().bulk_starved);
}

template <RequestRules Rules>
bool InteractiveIsAdmittedToFullQueue() {
  OneSlotFleet fixture(PluginsWith<Rules>);
  const uint32_t limit = fixture.test.fleet.At(2).Settings().queue_limit;
  for (uint32_t i = 0; i <= limit; ++i) fixture.test.Get(1, "/exports", 9'000);
  fixture.test.fleet.Advance(10ms);
  const uint64_t urgent = fixture.test.Get(1, "/proofs", 9'000);
  fixture.test.fleet.Advance(1s);
  return fixture.test.IsWhole(urgent);
}

TEST_CASE("admission: an interactive call evicts bulk from a full queue") {
  CHECK(InteractiveIsAdmittedToFullQueue<StandardRequestRules>());
  CHECK(!InteractiveIsAdmittedToFullQueue<NoClasses>());
}

// Review: a server that never ended an answer that was of no use kept its
// connection, and a slot, for good.
TEST_CASE("admission: an answer of no use that has no end is cancelled") {
  for (const bool refuses : {true, false}) {
    RequestFleet test(PluginsWith<StandardRequestRules>, {1, 1, 4});
    AnswerPart part;
    part.status = refuses ? 503 : 200;
    if (refuses) part.headers = {{std::string(header::kOutcome), "not-run"}};
    part.body = "endless";
    BackendBehaviour& behaviour = test.fleet.Behaviours()[test.FirstServer()];
    behaviour.never_answers = true;
    const uint64_t call = test.Get(1, "/proofs", 2'000);
    test.fleet.Advance(20ms);
    const BackendFault fault =
        refuses ? BackendFault::kNone : BackendFault::kConnectionBroken;
    test.fleet.Inject(test.FirstServer(), BackendAnswered{1, part, fault});
    CHECK(test.fleet.Cancelled() == 1);
    test.fleet.Advance(2s);
    CHECK(!test.IsWhole(call));
  }
}

}  // namespace
}  // namespace buckthorncart
