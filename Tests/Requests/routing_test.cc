#include <doctest/doctest.h>

#include "Requests/request_fleet.h"

namespace buckthorncart {
namespace {

struct NoAttemptTracking : StandardRequestRules {
  static constexpr bool kTrackPossibleRuns = false;
};
struct NoExclusion : StandardRequestRules {
  static constexpr bool kExcludeUnavailable = false;
};
struct NoSlowStart : StandardRequestRules {
  static constexpr bool kSlowStart = false;
};

/// Outcome of a call after `warm_up` others, when the backend server of daemon
/// 2 breaks the connection of every request that it runs and the one of daemon
/// 3 is unreachable. Empty if the call did not run at daemon 2.
template <RequestRules Rules>
std::string OutcomeAfter(int warm_up) {
  RequestFleet test(PluginsWith<Rules>, {1, 2, 4});
  // The crash guard does not suspect a request that has been answered before,
  // so that the call is retried at the other daemon.
  for (int i = 0; i < warm_up || test.fleet.RunsAt(2) == 0; ++i) {
    test.Get(1, "/proofs", 1'000);
    test.fleet.Advance(100ms);
  }
  test.fleet.Behaviours()[2].fault = BackendFault::kConnectionBroken;
  test.fleet.Behaviours()[3].fault = BackendFault::kNotConnected;
  const uint64_t runs = test.fleet.RunsAt(2);
  const uint64_t call = test.Get(1, "/proofs", 1'000);
  test.fleet.Advance(100ms);
  return test.fleet.RunsAt(2) == runs ? "" : test.Outcome(call);
}

/// "not-run" if any call that ran and broke was answered so, else "unknown".
template <RequestRules Rules>
std::string OutcomeAfterBrokenRun() {
  constexpr int kTrials = 16;
  for (int i = 0; i < kTrials; ++i) {
    const std::string outcome = OutcomeAfter<Rules>(i);
    if (outcome == "not-run") return outcome;
    CHECK((outcome.empty() || outcome == "unknown"));
  }
  return "unknown";
}

TEST_CASE(
    "routing: not-run is not reported after an attempt that may have run") {
  CHECK(OutcomeAfterBrokenRun<StandardRequestRules>() == "unknown");
  CHECK(OutcomeAfterBrokenRun<NoAttemptTracking>() == "not-run");
}

/// Number of refusals by a daemon whose backend server drains, while the
/// membership datagrams that would announce that are lost.
template <RequestRules Rules>
uint64_t RefusalsOfDrainingServer() {
  RequestFleet test(PluginsWith<Rules>, {1, 2, 4});
  test.fleet.SetFilter([](Address, const Effect& effect) {
    return !std::holds_alternative<SendDatagram>(effect);
  });
  test.Announce(2, "draining");
  const uint64_t before = test.SumCounter("admission_refused_total");
  for (int i = 0; i < 40; ++i) {
    const uint64_t call = test.Get(1, "/proofs", 1'000);
    test.fleet.Advance(10ms);
    CHECK(test.IsWhole(call));
  }
  return test.SumCounter("admission_refused_total") - before;
}

TEST_CASE("routing: a daemon that refuses as draining is excluded") {
  CHECK(RefusalsOfDrainingServer<StandardRequestRules>() <= 1);
  CHECK(RefusalsOfDrainingServer<NoExclusion>() > 1);
}

/// Share of the calls that a new backend server gets in its first 200 ms as
/// ready.
template <RequestRules Rules>
double ShareOfNewServer() {
  constexpr int kCalls = 400;
  RequestFleet test(PluginsWith<Rules>, {1, 4, 8});
  for (uint32_t n = 2; n <= 5; ++n) test.fleet.Behaviours()[n].time = 4ms;
  test.Announce(5, "starting");
  test.fleet.Advance(2s);
  test.Announce(5, "ready");
  const bool known = test.fleet.AdvanceUntil(
      [&] {
        const auto& members = test.fleet.At(1).GetContext().Shared().members;
        const Member& member = members.at(test.fleet.At(5).Self());
        return member.backend.state == BackendState::kReady;
      },
      5s);
  REQUIRE(known);
  const uint64_t runs = test.fleet.RunsAt(5);
  for (int i = 0; i < kCalls; ++i) {
    test.Get(1, "/proofs", 1'000);
    test.fleet.Advance(500us);
  }
  return static_cast<double>(test.fleet.RunsAt(5) - runs) / kCalls;
}

TEST_CASE(
    "routing: a new backend server starts with a small share of the calls") {
  const double slow = ShareOfNewServer<StandardRequestRules>();
  const double full = ShareOfNewServer<NoSlowStart>();
  MESSAGE("share of a new server " << slow << ", without the rule " << full);
  CHECK(slow <= 0.125);
  CHECK(full > 0.125);
}

struct SpillResult {
  uint64_t remote_runs_when_idle = 0;
  uint64_t remote_runs_when_full = 0;
  uint64_t queued = 0;
};

/// Sends one call, then eight at once, with four slots in the local data
/// centre.
template <BackendChoice Choice>
SpillResult RunSpill() {
  RequestFleet test(PluginsWith<StandardRequestRules, Choice>,
                    {1, 2, 4, {"nl-west-a", "nl-west-b"}});
  for (uint32_t n = 2; n <= 3; ++n) test.fleet.Behaviours()[n].time = 20ms;
  test.Get(1, "/proofs", 1'000);
  test.fleet.Advance(100ms);
  SpillResult result;
  result.remote_runs_when_idle = test.fleet.RunsAt(3);
  for (int i = 0; i < 8; ++i) test.Get(1, "/proofs", 1'000);
  test.fleet.Advance(100ms);
  result.remote_runs_when_full = test.fleet.RunsAt(3);
  result.queued = test.fleet.At(2).Counter("admission_queued_total");
  return result;
}

TEST_CASE("routing: calls spill to the next data centre before queues grow") {
  const SpillResult spill = RunSpill<TwoRandomChoices>();
  CHECK(spill.remote_runs_when_idle == 0);
  CHECK(spill.remote_runs_when_full > 0);
  CHECK(spill.queued == 0);
  // The uniform choice never leaves the local data centre.
  CHECK(RunSpill<UniformChoice>().queued > 0);
}

}  // namespace
}  // namespace buckthorncart
