#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <vector>

#include "Requests/request_fleet.h"

namespace buckthorncart {
namespace {

constexpr uint32_t kServers = 6;
constexpr uint32_t kSlots = 4;
constexpr Duration kRunTime = 20ms;
/// 80% of the capacity that remains while three of six backend servers drain:
/// 3 * 4 / 20 ms.
constexpr uint32_t kOfferedPerSecond = 480;
constexpr Duration kMaxPropagationDelay = 2s;

struct DrainResult {
  uint64_t incomplete = 0;
  uint64_t late_runs = 0;
};

/// Runs `drain`, which drains or stops three of six backend servers, while
/// requests are sent. `pass` filters the effects of the daemons after that.
DrainResult DrainThree(const std::function<void(RequestFleet&)>& drain,
                       const std::function<bool(const Effect&)>& pass) {
  RequestFleet test(PluginsWith<StandardRequestRules>, {2, kServers, kSlots});
  for (uint32_t i = 0; i < kServers; ++i) {
    test.fleet.Behaviours()[test.FirstServer() + i].time = kRunTime;
  }
  std::vector<uint64_t> calls;
  const auto send_for = [&](Duration duration) {
    const Time end = test.fleet.Now() + duration;
    while (test.fleet.Now() < end) {
      calls.push_back(test.Get(1 + calls.size() % 2, "/proofs", 2'000));
      test.fleet.Advance(Duration(1s) / kOfferedPerSecond);
    }
  };
  const auto runs_of_three = [&] {
    uint64_t runs = 0;
    for (uint32_t i = 0; i < 3; ++i) {
      runs += test.fleet.RunsAt(test.FirstServer() + i);
    }
    return runs;
  };
  send_for(1s);
  drain(test);
  test.fleet.SetFilter(
      [&](Address, const Effect& effect) { return pass(effect); });
  send_for(kMaxPropagationDelay);
  const uint64_t before = runs_of_three();
  send_for(2s);
  test.fleet.Advance(3s);
  DrainResult result;
  result.late_runs = runs_of_three() - before;
  for (const uint64_t call : calls) {
    if (!test.IsWhole(call)) ++result.incomplete;
  }
  return result;
}

void DrainBackends(RequestFleet& test) {
  for (uint32_t i = 0; i < 3; ++i) {
    test.Announce(test.FirstServer() + i, "draining");
  }
}

void DrainDaemons(RequestFleet& test) {
  for (uint32_t i = 0; i < 3; ++i) {
    FakeDaemon& daemon = test.fleet.At(test.FirstServer() + i);
    daemon.Deliver(test.fleet.Now(), ShutdownRequested{});
  }
}

bool PassAll(const Effect& /*effect*/) { return true; }
bool DropDatagrams(const Effect& effect) {
  return !std::holds_alternative<SendDatagram>(effect);
}

TEST_CASE("drain: three backend servers drain and no request is interrupted") {
  const DrainResult result = DrainThree(DrainBackends, PassAll);
  CHECK(result.incomplete == 0);
  CHECK(result.late_runs == 0);
}

TEST_CASE("drain: refusals suffice when updates about the drain are lost") {
  const DrainResult result = DrainThree(DrainBackends, DropDatagrams);
  CHECK(result.incomplete == 0);
  CHECK(result.late_runs == 0);
}

TEST_CASE("drain: three daemons shut down and no request is interrupted") {
  const DrainResult result = DrainThree(DrainDaemons, PassAll);
  CHECK(result.incomplete == 0);
  CHECK(result.late_runs == 0);
}

TEST_CASE("drain control: daemons that are killed interrupt requests") {
  const auto kill = [](RequestFleet& test) {
    for (uint32_t i = 0; i < 3; ++i) test.fleet.Kill(test.FirstServer() + i);
  };
  CHECK(DrainThree(kill, PassAll).incomplete > 0);
}

TEST_CASE(
    "drain control: a server that does not announce its drain gets new work") {
  CHECK(DrainThree([](RequestFleet&) {}, PassAll).late_runs > 0);
}

TEST_CASE("drain: callers that keep sending are refused and the daemon exits") {
  RequestFleet test(PluginsWith<StandardRequestRules>, {1, 1, kSlots});
  test.fleet.Behaviours()[2].time = kRunTime;
  bool exited = false;
  test.fleet.SetFilter([&](Address, const Effect& effect) {
    exited = exited || std::holds_alternative<Exit>(effect);
    return true;
  });
  test.fleet.At(1).Deliver(test.fleet.Now(), ShutdownRequested{});
  std::vector<uint64_t> calls;
  const Time limit = test.fleet.Now() + 20s;
  while (!exited && test.fleet.Now() < limit) {
    calls.push_back(test.Get(1, "/proofs", 2'000));
    test.fleet.Advance(10ms);
  }
  CHECK(exited);
  for (const uint64_t call : calls) {
    const bool refused =
        test.Outcome(call) == "not-run" && test.Reason(call) == "draining";
    CHECK((test.IsWhole(call) || refused));
  }
}

/// Fills one of two backend servers, whose runs take long, so that calls wait
/// there, and ends it by `end`. Returns the time until the last call is
/// answered or refused.
Duration TimeUntilWaitingCallsEnd(
    const std::function<void(RequestFleet&, uint32_t)>& end) {
  constexpr uint32_t kCalls = 16;
  constexpr uint32_t kDeadlineMs = 30'000;
  RequestFleet test(PluginsWith<StandardRequestRules>, {1, 2, kSlots});
  const uint32_t leaver = test.FirstServer();
  test.fleet.Behaviours()[leaver].time = 20s;
  test.fleet.Behaviours()[leaver + 1].time = kRunTime;
  std::vector<uint64_t> calls;
  for (uint32_t i = 0; i < kCalls; ++i) {
    calls.push_back(test.Get(1, "/proofs", kDeadlineMs));
  }
  test.fleet.Advance(10ms);
  const Time start = test.fleet.Now();
  end(test, leaver);
  const auto unanswered = [&] {
    return std::count_if(calls.begin(), calls.end(), [&](uint64_t call) {
      return !test.fleet.CallerAnswers().contains(call);
    });
  };
  // The calls that run at the leaver keep its slots for 20 s.
  test.fleet.AdvanceUntil([&] { return unanswered() <= kSlots; }, 15s);
  return test.fleet.Now() - start;
}

// Review case 3: calls that waited for a slot of a backend server that had
// deregistered waited until their deadline.
TEST_CASE("drain: calls that wait for a server that deregisters go elsewhere") {
  CHECK(TimeUntilWaitingCallsEnd([](RequestFleet& test, uint32_t leaver) {
          test.fleet.Announce(leaver, "catalogus", "absent");
        }) < 1s);
}

TEST_CASE("drain: calls that wait for a server that drains go elsewhere") {
  CHECK(TimeUntilWaitingCallsEnd([](RequestFleet& test, uint32_t leaver) {
          test.Announce(leaver, "draining");
        }) < 1s);
}

struct DrainLimitResult {
  uint64_t unanswered = 0;
  uint64_t called_not_run = 0;
  uint64_t runs = 0;
};

/// Stops `stopped` while the only backend server, which is beside daemon 2,
/// never answers and further calls wait for a slot, and counts the calls at
/// daemon 1 that have no answer when the stopped daemon exits.
DrainLimitResult StopWithUnansweredCalls(uint32_t stopped) {
  constexpr uint32_t kCalls = 16;
  constexpr uint32_t kDeadlineMs = 60'000;
  constexpr uint32_t kDrainLimitMs = 5'000;
  RequestFleet test(PluginsWith<StandardRequestRules>, {1, 1, kSlots},
                    [](KernelSettings& settings) {
                      settings.drain_limit_ms = kDrainLimitMs;
                    });
  test.fleet.Behaviours()[test.FirstServer()].never_answers = true;
  std::vector<uint64_t> calls;
  for (uint32_t i = 0; i < kCalls; ++i) {
    calls.push_back(test.Get(1, "/proofs", kDeadlineMs));
  }
  test.fleet.Advance(1s);
  bool exited = false;
  test.fleet.SetFilter([&](Address, const Effect& effect) {
    exited = exited || std::holds_alternative<Exit>(effect);
    return true;
  });
  test.fleet.Inject(stopped, ShutdownRequested{});
  CHECK(test.fleet.AdvanceUntil([&] { return exited; }, 10s));
  // The messages of the last moment arrive.
  test.fleet.Advance(10ms);
  DrainLimitResult result;
  result.runs = test.fleet.RunsAt(test.FirstServer());
  for (const uint64_t call : calls) {
    if (!test.fleet.CallerAnswers().contains(call)) {
      ++result.unanswered;
    } else if (test.Outcome(call) == "not-run") {
      ++result.called_not_run;
    }
  }
  return result;
}

// Calls that no answer had come for at the drain limit were left until the
// process was killed, and their callers got neither an answer nor a refusal.
TEST_CASE("drain: calls left at the drain limit get a final answer") {
  constexpr uint32_t kReceiver = 1;
  const DrainLimitResult result = StopWithUnansweredCalls(kReceiver);
  CHECK(result.unanswered == 0);
  CHECK(result.called_not_run == 0);
}

// The process stays after it has requested its exit, while a caller reads its
// last answer slowly, and calls on open connections still arrive.
TEST_CASE("drain: calls after the exit was requested get a final answer") {
  constexpr uint32_t kDrainLimitMs = 5'000;
  RequestFleet test(PluginsWith<StandardRequestRules>, {1, 1, kSlots},
                    [](KernelSettings& settings) {
                      settings.drain_limit_ms = kDrainLimitMs;
                    });
  test.fleet.Behaviours()[test.FirstServer()].never_answers = true;
  test.fleet.Advance(1s);
  bool exited = false;
  test.fleet.SetFilter([&](Address, const Effect& effect) {
    exited = exited || std::holds_alternative<Exit>(effect);
    return true;
  });
  test.fleet.Inject(1, ShutdownRequested{});
  CHECK(test.fleet.AdvanceUntil([&] { return exited; }, 3s));
  const uint64_t call = test.Get(1, "/proofs", 60'000);
  test.fleet.Advance(5s);
  CHECK(test.fleet.CallerAnswers().contains(call));
}

TEST_CASE("drain: calls queued at a daemon at its drain limit are refused") {
  constexpr uint32_t kAdmitting = 2;
  const DrainLimitResult result = StopWithUnansweredCalls(kAdmitting);
  CHECK(result.runs == kSlots);
  CHECK(result.unanswered == result.runs);
  CHECK(result.called_not_run > 0);
}

}  // namespace
}  // namespace buckthorncart
