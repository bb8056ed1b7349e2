#include "Plugins/Claims/claims.h"

#include <doctest/doctest.h>

#include <memory>
#include <set>
#include <string>
#include <vector>

#include "Plugins/Claims/claim_row_cleanup.h"
#include "Requests/order_fleet.h"

namespace buckthorncart {
namespace {

struct InsertAlways : StandardClaimRules {
  static constexpr bool kInsertOnlyIfAbsent = false;
};
struct IgnoreLostAnswers : StandardClaimRules {
  static constexpr bool kSettleLostAnswers = false;
};
struct TakeOverAlways : StandardClaimRules {
  static constexpr bool kTakeOverOnlyIfNeverRan = false;
};
struct IgnoreDeadline : StandardClaimRules {
  static constexpr bool kCheckDeadline = false;
};
struct NoShortCircuit : StandardClaimRules {
  static constexpr bool kShortCircuit = false;
};
struct ExitWithoutRecording : StandardClaimRules {
  static constexpr bool kRecordBeforeExit = false;
};
struct IgnoreFingerprint : StandardClaimRules {
  static constexpr bool kCompareRequests = false;
};

/// Five daemons whose claims plug-ins follow `Rules`.
template <ClaimRules Rules = StandardClaimRules>
OrderFleet MakeFleet() {
  return OrderFleet(ReplacePlugin<Claims<StandardClaimRules>, Claims<Rules>>);
}

template <ClaimRules Rules>
uint32_t RunsOfTenConcurrent() {
  OrderFleet test = MakeFleet<Rules>();
  std::vector<uint64_t> calls;
  for (uint32_t i = 0; i < 10; ++i) {
    calls.push_back(test.Order(1 + i % kOrderDaemons, "k"));
  }
  test.fleet.Advance(5s);
  for (const uint64_t call : calls) CHECK(test.OutcomeOf(call) == "ran");
  return test.RunsOf("k");
}

TEST_CASE("claims: ten concurrent calls with one key run once, same answer") {
  CHECK(RunsOfTenConcurrent<StandardClaimRules>() == 1);
  CHECK(RunsOfTenConcurrent<InsertAlways>() > 1);
}

TEST_CASE("claims: a repeated request gets the recorded answer") {
  OrderFleet test = MakeFleet();
  const uint64_t first = test.Order(1, "k");
  test.fleet.Advance(1s);
  const uint64_t again = test.Order(2, "k");
  test.fleet.Advance(1s);
  CHECK(test.OutcomeOf(again) == "ran");
  CHECK(test.BodyOf(first) == test.BodyOf(again));
  CHECK(test.RunsOf("k") == 1);
}

/// The platform's answer to the first claim is lost, whether the row was
/// written or not, and the caller immediately repeats the request through
/// another daemon.
template <ClaimRules Rules>
uint32_t RunsAfterLostAnswer(PlatformFault fault) {
  OrderFleet test = MakeFleet<Rules>();
  test.fleet.SetPlatformFault(fault);
  test.Order(1, "k");
  test.fleet.Advance(4ms);
  test.fleet.SetPlatformFault(PlatformFault::kNone);
  const uint64_t again = test.Order(2, "k");
  test.fleet.Advance(10s);
  CHECK(test.EveryNotRunIsTrue());
  CHECK(test.OutcomeOf(again) == "ran");
  return test.RunsOf("k");
}

TEST_CASE("claims: a lost answer is resolved before the request runs") {
  CHECK(RunsAfterLostAnswer<StandardClaimRules>(PlatformFault::kLoseAnswers) ==
        1);
  CHECK(RunsAfterLostAnswer<StandardClaimRules>(PlatformFault::kSilent) == 1);
  CHECK(RunsAfterLostAnswer<IgnoreLostAnswers>(PlatformFault::kSilent) > 1);
}

/// The admitting daemon is killed `delay` after the claim was written, and the
/// caller repeats the request.
template <ClaimRules Rules>
uint32_t RunsAfterKill(Duration delay, std::string* outcome) {
  OrderFleet test = MakeFleet<Rules>();
  test.SetRunTime(50ms);
  test.Order(1, "k");
  const uint32_t admitting = test.WaitForClaim("k");
  test.fleet.Advance(delay);
  test.fleet.Kill(admitting);
  const uint64_t again = test.Order(test.Other(admitting), "k");
  test.fleet.Advance(10s);
  CHECK(test.EveryNotRunIsTrue());
  *outcome = test.OutcomeOf(again);
  return test.RunsOf("k");
}

TEST_CASE("claims: the admitting daemon is killed after writing the claim") {
  std::string outcome;
  // The platform's answer takes 2 ms.
  CHECK(RunsAfterKill<StandardClaimRules>(1ms, &outcome) == 0);
  CHECK(outcome == "unknown");
}

TEST_CASE("claims: the admitting daemon is killed during the run") {
  std::string outcome;
  CHECK(RunsAfterKill<StandardClaimRules>(20ms, &outcome) == 1);
  CHECK(outcome == "unknown");
  CHECK(RunsAfterKill<TakeOverAlways>(20ms, &outcome) == 2);
}

TEST_CASE("claims: a restarted daemon has no record of its old claim") {
  OrderFleet test = MakeFleet();
  test.SetRunTime(50ms);
  test.Order(1, "k");
  test.fleet.Advance(20ms);
  test.fleet.Restart(test.ClaimantOf("k"));
  test.fleet.Advance(5s);
  const uint64_t again = test.Order(1, "k");
  test.fleet.Advance(5s);
  CHECK(test.OutcomeOf(again) == "unknown");
  CHECK(test.RunsOf("k") == 1);
}

/// The admitting daemon is frozen between claim and run until after the
/// caller's deadline. Returns the number of runs that started afterwards.
template <ClaimRules Rules>
uint32_t RunsAfterDeadline() {
  OrderFleet test = MakeFleet<Rules>();
  test.Order(1, "k", "body", 2'000);
  const uint32_t admitting = test.WaitForClaim("k");
  test.fleet.Freeze(admitting);
  const uint64_t again = test.Order(test.Other(admitting), "k", "body", 1'000);
  test.fleet.Advance(10s);
  CHECK(test.RunsOf("k") == 0);
  CHECK(test.OutcomeOf(again) == "unknown");
  test.fleet.Thaw(admitting);
  test.fleet.Advance(5s);
  CHECK(test.EveryNotRunIsTrue());
  return test.RunsOf("k");
}

TEST_CASE("claims: a daemon frozen past the deadline does not run") {
  CHECK(RunsAfterDeadline<StandardClaimRules>() == 0);
  CHECK(RunsAfterDeadline<IgnoreDeadline>() == 1);
}

TEST_CASE("claims: a released claim can be taken by the next call") {
  OrderFleet test = MakeFleet();
  test.Order(1, "k", "body", 2'000);
  const uint32_t admitting = test.WaitForClaim("k");
  test.fleet.Freeze(admitting);
  test.fleet.Advance(10s);
  test.fleet.Thaw(admitting);
  test.fleet.Advance(10s);
  const uint64_t again = test.Order(test.Other(admitting), "k");
  test.fleet.Advance(2s);
  CHECK(test.OutcomeOf(again) == "ran");
  CHECK(test.RunsOf("k") == 1);
}

TEST_CASE("claims: the backend server is killed during the run") {
  OrderFleet test = MakeFleet();
  test.SetFault(BackendFault::kConnectionBroken);
  const uint64_t first = test.Order(1, "k");
  test.fleet.Advance(2s);
  CHECK(test.OutcomeOf(first) == "unknown");
  test.SetFault(BackendFault::kNone);
  const uint64_t again = test.Order(2, "k");
  test.fleet.Advance(2s);
  CHECK(test.OutcomeOf(again) == "unknown");
  CHECK(test.RunsOf("k") == 1);
}

TEST_CASE("claims: a backend server that was not reached releases the claim") {
  OrderFleet test = MakeFleet();
  test.SetFault(BackendFault::kNotConnected);
  const uint64_t first = test.Order(1, "k");
  test.fleet.Advance(2s);
  CHECK(test.OutcomeOf(first) == "not-run");
  test.SetFault(BackendFault::kNone);
  const uint64_t again = test.Order(2, "k");
  test.fleet.Advance(2s);
  CHECK(test.OutcomeOf(again) == "ran");
  CHECK(test.RunsOf("k") == 1);
}

TEST_CASE("claims: the receiving daemon is killed, the caller repeats") {
  OrderFleet test = MakeFleet();
  test.SetRunTime(50ms);
  test.Order(5, "k");
  test.fleet.Advance(10ms);
  test.fleet.Kill(5);
  const uint64_t again = test.Order(2, "k");
  test.fleet.Advance(2s);
  CHECK(test.OutcomeOf(again) == "ran");
  CHECK(test.RunsOf("k") == 1);
}

/// The platform does not answer for a minute while 20 calls a second arrive.
/// Returns how many of them were refused within 50 ms.
template <ClaimRules Rules>
uint32_t ImmediateRefusals() {
  OrderFleet test = MakeFleet<Rules>();
  test.fleet.SetPlatformFault(PlatformFault::kSilent);
  uint32_t immediate = 0;
  std::vector<uint64_t> calls;
  for (uint32_t i = 0; i < 1'200; ++i) {
    const uint64_t call = test.Order(1, "k" + std::to_string(i), "body", 5'000);
    test.fleet.Advance(50ms);
    if (test.OutcomeOf(call) == "not-run") ++immediate;
  }
  test.fleet.SetPlatformFault(PlatformFault::kNone);
  test.fleet.Advance(10s);
  CHECK(test.EveryNotRunIsTrue());
  const uint64_t after = test.Order(1, "k0");
  test.fleet.Advance(1s);
  CHECK(test.OutcomeOf(after) == "ran");
  return immediate;
}

TEST_CASE("claims: calls are refused immediately while the platform is down") {
  const uint32_t with_circuit = ImmediateRefusals<StandardClaimRules>();
  const uint32_t without_circuit = ImmediateRefusals<NoShortCircuit>();
  MESSAGE("refused within 50 ms of 1200: "
          << with_circuit << ", without the rule " << without_circuit);
  // A probe takes three timeouts of one second, and half a second passes before
  // the next: each of the five daemons delays at most one call in that time, in
  // addition to the calls of the first second.
  constexpr uint32_t kMinImmediate =
      1'200 - 20 - kOrderDaemons * (60'000 / 3'500 + 1);
  CHECK(with_circuit > kMinImmediate);
  CHECK_FALSE(without_circuit > kMinImmediate);
}

template <ClaimRules Rules>
std::string OutcomeOfReusedKey() {
  OrderFleet test = MakeFleet<Rules>();
  test.Order(1, "k", "one slate");
  test.fleet.Advance(1s);
  const uint64_t other = test.Order(2, "k", "two slates");
  test.fleet.Advance(1s);
  if (test.OutcomeOf(other) == "not-run") {
    CHECK(test.ReasonOf(other) == "idempotency-key-reused");
    CHECK(test.fleet.CallerAnswers()[other].status == 422);
  }
  return test.OutcomeOf(other);
}

TEST_CASE("claims: a key reused with another body is refused") {
  CHECK(OutcomeOfReusedKey<StandardClaimRules>() == "not-run");
  CHECK(OutcomeOfReusedKey<IgnoreFingerprint>() == "ran");
}

TEST_CASE("claims: keys that are too long or not printable are refused") {
  OrderFleet test = MakeFleet();
  for (const std::string& key :
       {std::string(256, 'k'), std::string("a b"), std::string("\x01")}) {
    const uint64_t call = test.Order(1, key);
    CHECK(test.fleet.CallerAnswers()[call].status == 400);
    CHECK(test.ReasonOf(call) == "invalid-idempotency-key");
    CHECK(test.OutcomeOf(call) == "not-run");
  }
}

/// An order ends while the platform is down and its daemon is asked to shut
/// down. Returns the outcome that the caller gets for a repeated request after
/// the platform has recovered.
template <ClaimRules Rules>
std::string OutcomeAfterDrain() {
  OrderFleet test = MakeFleet<Rules>();
  std::set<Address> exited;
  test.fleet.SetFilter([&exited](Address from, const Effect& effect) {
    if (std::holds_alternative<Exit>(effect)) exited.insert(from);
    return true;
  });
  test.SetRunTime(50ms);
  test.Order(1, "k");
  const uint32_t admitting = test.WaitForClaim("k");
  test.fleet.Advance(20ms);
  test.fleet.SetPlatformFault(PlatformFault::kDown);
  FakeDaemon& daemon = test.fleet.At(admitting);
  daemon.Deliver(test.fleet.Now(), ShutdownRequested{});
  const Address address = daemon.Self();
  const auto has_exited = [&] { return exited.contains(address); };
  test.fleet.AdvanceUntil(has_exited, 10s);
  if (has_exited()) test.fleet.Kill(admitting);
  // Requests that the daemon sent before its exit fail while the platform is
  // down.
  test.fleet.Advance(1s);
  test.fleet.SetPlatformFault(PlatformFault::kNone);
  if (!has_exited() && test.fleet.AdvanceUntil(has_exited, 10s)) {
    test.fleet.Kill(admitting);
  }
  test.fleet.Advance(2s);
  const uint64_t again = test.Order(test.Other(admitting), "k");
  test.fleet.Advance(2s);
  CHECK(has_exited());
  CHECK(test.RunsOf("k") == 1);
  return test.OutcomeOf(again);
}

TEST_CASE("claims: a draining daemon records its outcomes before it exits") {
  CHECK(OutcomeAfterDrain<StandardClaimRules>() == "ran");
  CHECK(OutcomeAfterDrain<ExitWithoutRecording>() == "unknown");
}

/// Number of platform writes per order at a steady rate through all daemons.
double WritesForEachOrder(uint32_t orders_per_second) {
  OrderFleet test = MakeFleet();
  constexpr uint32_t kSeconds = 4;
  const uint64_t before = test.fleet.PlatformWrites();
  const uint32_t orders = orders_per_second * kSeconds;
  for (uint32_t i = 0; i < orders; ++i) {
    test.Order(1 + i % kOrderDaemons, "k" + std::to_string(i));
    test.fleet.Advance(Duration(1s) / orders_per_second);
  }
  test.fleet.Advance(5s);
  return static_cast<double>(test.fleet.PlatformWrites() - before) / orders;
}

TEST_CASE("claims: an order costs two writes at any rate") {
  for (const uint32_t rate : {5U, 50U, 500U}) {
    const double writes = WritesForEachOrder(rate);
    MESSAGE("orders/s " << rate << ": writes for each order " << writes);
    CHECK(writes <= 2.0);
  }
}

TEST_CASE("claims: rows are deleted after their retention") {
  OrderFleet test = MakeFleet();
  for (int i = 0; i < 20; ++i) test.Order(1, "k" + std::to_string(i));
  test.fleet.Advance(2s);
  CHECK(test.ClaimRows() == 20);
  test.fleet.Advance(std::chrono::milliseconds(kClaimRetentionMs) - 60s);
  CHECK(test.ClaimRows() == 20);
  test.fleet.Advance(5min);
  CHECK(test.ClaimRows() == 0);
}

}  // namespace
}  // namespace buckthorncart
