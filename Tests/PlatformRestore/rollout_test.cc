/// The platform's store comes back from an older copy: staged roll-outs.

#include <doctest/doctest.h>

#include <memory>

#include "Plugins/Rollouts/fencing_token.h"
#include "Rollouts/rollout_fleet.h"

namespace buckthorncart {
namespace {

constexpr uint32_t kRate = 400;
constexpr uint32_t kOrderMs = 16'000;

/// What happens to the decider when the store loses its last write.
enum class DeciderFate : uint8_t { kStays, kIsKilled };

/// Runs a roll-out in a fleet whose store can lose its last write.
struct RestoredRollout {
  explicit RestoredRollout(uint32_t failure_every = 0) : test(8, 6) {
    BackendBehaviour behaviour = RolloutFleet::Good();
    behaviour.failure_every = failure_every;
    test.StartNew(behaviour);
    test.Order("v2", kOrderMs);
    copy = test.fleet.Table();
  }

  /// Calls until the status row has `revision`, and keeps a copy of the store
  /// from before that write.
  void RunTo(uint64_t revision) {
    test.Load(20s, kRate, [&] {
      if (test.Status().revision >= revision) return true;
      copy = test.fleet.Table();
      return false;
    });
    REQUIRE(test.Status().revision >= revision);
  }
  /// The same, until the roll-out has ended.
  void RunToEnd() {
    test.Load(20s, kRate, [&] {
      const bool ended = test.Status().revision > 0 && !test.IsRunning();
      if (!ended) copy = test.fleet.Table();
      return ended;
    });
    REQUIRE(!test.IsRunning());
  }
  void Restore(DeciderFate fate) {
    const uint32_t decider = test.Decider();
    test.fleet.SetPlatformFault(PlatformFault::kDown);
    test.Load(1s, kRate);
    if (fate == DeciderFate::kIsKilled) test.fleet.Kill(decider);
    test.fleet.SetPlatformFault(PlatformFault::kNone);
    test.fleet.RestorePlatform(copy);
    // The operator writes again what it has written.
    test.fleet.Put(RolloutOrderKey("catalogus"),
                   Encode(RolloutOrder{"catalogus", "v2", kOrderMs}));
  }

  RolloutFleet test;
  MemoryTable copy;
};

// The decider had the token and the states of rows that are gone, and its
// conditions on them were never met again.
TEST_CASE("restore: a roll-out goes on after the loss of any of its writes") {
  for (const DeciderFate fate : {DeciderFate::kStays, DeciderFate::kIsKilled}) {
    for (uint64_t revision = 1; revision <= 4; ++revision) {
      CAPTURE(static_cast<int>(fate));
      CAPTURE(revision);
      RestoredRollout rollout;
      rollout.RunTo(revision);
      rollout.Restore(fate);
      RolloutFleet& test = rollout.test;
      const uint32_t step = test.Status().step;
      test.Load(20s, kRate, [&] { return test.Status().step > step; });
      test.Load(20s, kRate, [&] { return !test.IsRunning(); });
      CHECK(test.Status().phase == RolloutPhase::kSucceeded);
      CHECK(EraOfToken(test.Status().token) == 2);
    }
  }
}

TEST_CASE("restore: an outcome that the store loses is stored again") {
  for (const DeciderFate fate : {DeciderFate::kStays, DeciderFate::kIsKilled}) {
    for (const uint32_t failure_every : {0U, 4U}) {
      CAPTURE(static_cast<int>(fate));
      CAPTURE(failure_every);
      RestoredRollout rollout(failure_every);
      rollout.RunToEnd();
      RolloutFleet& test = rollout.test;
      const RolloutPhase outcome = test.Status().phase;
      CHECK((outcome == RolloutPhase::kSucceeded) == (failure_every == 0));
      test.Load(500ms, kRate);
      rollout.Restore(fate);
      CHECK(test.IsRunning());
      const uint64_t runs_at_new = test.RunsAtNew();
      const uint64_t runs_at_old = test.RunsAtOld();
      test.Load(10s, kRate);
      CHECK(test.Status().phase == outcome);
      // No version gets calls again that had been taken out of use.
      const bool succeeded = outcome == RolloutPhase::kSucceeded;
      CHECK((succeeded ? test.RunsAtOld() - runs_at_old
                       : test.RunsAtNew() - runs_at_new) == 0);
    }
  }
}

TEST_CASE("restore: tokens of a new era are higher than all earlier ones") {
  CHECK(FirstTokenOf(2) > FirstTokenOf(1) + 1'000'000);
  CHECK(EraOfToken(FirstTokenOf(7) + 5) == 7);
  CHECK(EraOfToken(5) == 0);
}

}  // namespace
}  // namespace buckthorncart
