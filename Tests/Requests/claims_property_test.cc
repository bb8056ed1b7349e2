#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <string>
#include <vector>

#include "Plugins/Claims/claims.h"
#include "Requests/order_fleet.h"

namespace buckthorncart {
namespace {

struct TakeOverAlways : StandardClaimRules {
  static constexpr bool kTakeOverOnlyIfNeverRan = false;
};

enum class Step : uint8_t {
  kOrder,
  kRepeat,
  kKill,
  kFreeze,
  kThaw,
  kLoseAnswers,
  kSilent,
  kDown,
  kPlatformUp,
  kDropMessages,
  kCutConnections,
  kBackendServersFail,
  kBackendServersRecover,
  kWait,
};
constexpr uint32_t kSteps = 14;

/// Performs random steps on five daemons that receive orders.
template <ClaimRules Rules>
class RandomScenario {
 public:
  RandomScenario()
      : test_(ReplacePlugin<Claims<StandardClaimRules>, Claims<Rules>>) {
    test_.SetRunTime(20ms);
  }

  /// Each number encodes a step and its argument.
  void Run(const std::vector<uint32_t>& numbers) {
    for (const uint32_t number : numbers) {
      const uint32_t argument = number / kSteps;
      Perform(static_cast<Step>(number % kSteps), argument);
      test_.fleet.Advance(std::chrono::milliseconds(argument % 7));
    }
    Perform(Step::kPlatformUp, 0);
    Perform(Step::kThaw, 0);
    test_.fleet.SetFilter({});
    test_.fleet.Advance(10s);
  }
  bool AtMostOneRunEach() {
    for (const auto& [key, runs] : test_.fleet.RunsByKey()) {
      if (runs > 1) return false;
    }
    return true;
  }
  bool EveryNotRunIsTrue() { return test_.EveryNotRunIsTrue(); }

 private:
  void Perform(Step step, uint32_t argument) {
    FakeFleet& fleet = test_.fleet;
    const uint32_t n = 1 + argument % kOrderDaemons;
    switch (step) {
      case Step::kOrder:
        test_.Order(n, "k" + std::to_string(++orders_));
        return;
      case Step::kRepeat:
        test_.Order(n, "k" + std::to_string(orders_));
        return;
      case Step::kKill:
        fleet.Restart(n);
        return;
      case Step::kFreeze:
        fleet.Freeze(n);
        return;
      case Step::kThaw:
        for (uint32_t i = 1; i <= kOrderDaemons; ++i) fleet.Thaw(i);
        return;
      case Step::kLoseAnswers:
        fleet.SetPlatformFault(PlatformFault::kLoseAnswers);
        return;
      case Step::kSilent:
        fleet.SetPlatformFault(PlatformFault::kSilent);
        return;
      case Step::kDown:
        fleet.SetPlatformFault(PlatformFault::kDown);
        return;
      case Step::kPlatformUp:
        fleet.SetPlatformFault(PlatformFault::kNone);
        return;
      case Step::kDropMessages:
        DropMessages(argument);
        return;
      case Step::kCutConnections:
        CutConnections(n);
        return;
      case Step::kBackendServersFail:
        test_.SetFault(BackendFault::kConnectionBroken);
        return;
      case Step::kBackendServersRecover:
        test_.SetFault(BackendFault::kNone);
        return;
      case Step::kWait:
        fleet.Advance(std::chrono::milliseconds(argument % 2'000));
        return;
    }
  }
  /// Drops one in three messages between daemons, or none.
  void DropMessages(uint32_t argument) {
    if (argument % 2 == 0) {
      test_.fleet.SetFilter({});
      return;
    }
    test_.fleet.SetFilter([this](Address, const Effect& effect) {
      return !std::holds_alternative<SendPeer>(effect) || ++messages_ % 3 != 0;
    });
  }
  /// Reports to daemon `n` and the next one that their connection was lost.
  void CutConnections(uint32_t n) {
    const uint32_t other = OrderFleet::Other(n);
    for (const auto& [one, two] : {std::pair{n, other}, std::pair{other, n}}) {
      FakeDaemon& daemon = test_.fleet.At(one);
      daemon.Deliver(test_.fleet.Now(),
                     PeerConnectionLost{test_.fleet.At(two).Self()});
    }
  }

  OrderFleet test_;
  uint32_t orders_ = 0;
  uint32_t messages_ = 0;
};

template <ClaimRules Rules>
bool GuaranteesHold(const std::vector<uint32_t>& numbers) {
  RandomScenario<Rules> scenario;
  scenario.Run(numbers);
  return scenario.AtMostOneRunEach() && scenario.EveryNotRunIsTrue();
}

TEST_CASE("claims: at most one run and correct refusals under random faults") {
  constexpr uint32_t kMaxNumber = 100'000;
  constexpr uint64_t kSeed = 20'260;
  rc::detail::TestParams params;
  params.seed = kSeed;
  params.maxSuccess = 500;
  const auto steps = rc::gen::container<std::vector<uint32_t>>(
      rc::gen::inRange<uint32_t>(0, kMaxNumber));
  const auto passes = [&](auto holds) {
    const auto result = rc::detail::checkTestable(
        [&] { RC_ASSERT(holds(*steps)); }, rc::detail::TestMetadata{}, params);
    return result.template is<rc::detail::SuccessResult>();
  };
  CHECK(passes(GuaranteesHold<StandardClaimRules>));
  CHECK_FALSE(passes(GuaranteesHold<TakeOverAlways>));
}

}  // namespace
}  // namespace buckthorncart
