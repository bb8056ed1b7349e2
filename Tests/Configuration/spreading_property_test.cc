#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <rapidcheck/detail/TestListenerAdapter.h>

#include <cstdlib>
#include <nlohmann/json.hpp>
#include <sstream>

#include "Plugins/Configuration/configuration_rows.h"
#include "Support/configuration_plugins.h"
#include "Support/version_checker.h"

namespace buckthorncart {
namespace {

struct AcceptsOlderVersions : StandardConfigurationRules {
  static constexpr bool kRejectOlderVersions = false;
};
struct NoDigestCheck : StandardConfigurationRules {
  static constexpr bool kVerifyDigest = false;
};
struct NoFloor : StandardConfigurationRules {
  static constexpr bool kWaitForFloor = false;
};

constexpr uint32_t kDaemons = 4;

enum class StepKind : uint8_t {
  kChange,
  kWait,
  kKill,
  kRestart,
  kFreeze,
  kThaw,
  kPlatformDown,
  kPlatformUp,
  kReplay,
  kCorrupt,
};
constexpr uint32_t kStepKinds = 10;

/// One step of a scenario; the meaning of `value` depends on the kind.
struct ScenarioStep {
  StepKind kind = StepKind::kWait;
  uint32_t daemon = 1;
  uint32_t value = 0;
};

std::ostream& operator<<(std::ostream& out, const ScenarioStep& step) {
  return out << "{" << static_cast<int>(step.kind) << "," << step.daemon << ","
             << step.value << "}";
}

/// Generates uniformly in [low, high), independent of the size of the test
/// case.
rc::Gen<uint32_t> Uniform(uint32_t low, uint32_t high) {
  return rc::gen::resize(rc::kNominalSize, rc::gen::inRange(low, high));
}

rc::Gen<ScenarioStep> AnyStep() {
  return rc::gen::build<ScenarioStep>(
      rc::gen::set(
          &ScenarioStep::kind,
          rc::gen::map(Uniform(0, kStepKinds),
                       [](uint32_t n) { return static_cast<StepKind>(n); })),
      rc::gen::set(&ScenarioStep::daemon, Uniform(1, kDaemons + 1)),
      rc::gen::set(&ScenarioStep::value, Uniform(0, 1'000)));
}

struct RunOutcome {
  bool clean = false;
  bool converged = false;
};

/// Runs four daemons with message loss, delay, duplication and faults.
template <ConfigurationRules Rules>
class FaultScenario {
 public:
  explicit FaultScenario(uint64_t seed)
      : fleet_(PluginsWith<Rules>), watch_(fleet_), random_(seed) {
    for (uint32_t n = 1; n <= kDaemons; ++n) {
      KernelSettings settings =
          TestSettings(n, n % 2 == 0 ? "nl-west-a" : "nl-west-b");
      settings.snapshot_every = 4;
      fleet_.Add(settings);
    }
    fleet_.StartAll();
    fleet_.Advance(3s);
    fleet_.SetFilter([this](Address from, const Effect& effect) {
      return Delivers(from, effect);
    });
  }

  RunOutcome Run(const std::vector<ScenarioStep>& steps) {
    for (const ScenarioStep& step : steps) Execute(step);
    return {watch_.NoViolations(), Converges()};
  }

 private:
  /// Drops one in ten messages and records some for later replay.
  bool Delivers(Address from, const Effect& effect) {
    constexpr uint32_t kLossDivisor = 10;
    const auto* send = std::get_if<SendPeer>(&effect);
    const bool datagram = std::holds_alternative<SendDatagram>(effect);
    if (send == nullptr && !datagram) return true;
    if (send != nullptr) RecordMessage(from, *send);
    // A message lost on a connection is eventually detected by both ends;
    // notifications of witnesses are dropped at the same rate as other
    // messages.
    return random_(kLossDivisor) != 0;
  }

  void RecordMessage(Address from, const SendPeer& send) {
    constexpr size_t kMaxRecorded = 200;
    const bool recordable =
        std::holds_alternative<PushChanges>(send.message) ||
        std::holds_alternative<PushSnapshot>(send.message) ||
        std::holds_alternative<VersionHeld>(send.message);
    if (!recordable || recorded_messages_.size() >= kMaxRecorded) return;
    recorded_messages_.push_back({from, send});
  }

  bool IsRunning(uint32_t n) const {
    const auto numbers = fleet_.Numbers();
    return std::find(numbers.begin(), numbers.end(), n) != numbers.end();
  }

  void Execute(const ScenarioStep& step) {
    const uint32_t n = step.daemon;
    if (IsRunning(n)) {
      recorded_snapshots_.push_back(
          {fleet_.At(n).Self(), fleet_.At(n).GetContext().Shared().held});
    }
    switch (step.kind) {
      case StepKind::kChange:
        if (IsRunning(n)) Change(n, step.value);
        break;
      case StepKind::kWait:
        fleet_.Advance(std::chrono::milliseconds(step.value));
        break;
      case StepKind::kKill:
        // A version served for less than 3 s may not yet be known to other
        // daemons.
        fleet_.Advance(3s);
        if (IsRunning(n)) fleet_.Kill(n);
        break;
      case StepKind::kRestart:
        if (!IsRunning(n)) fleet_.Restart(n);
        break;
      case StepKind::kFreeze:
        if (IsRunning(n)) fleet_.Freeze(n);
        break;
      case StepKind::kThaw:
        if (IsRunning(n)) fleet_.Thaw(n);
        break;
      case StepKind::kPlatformDown:
        fleet_.SetPlatformFault(step.value % 2 == 0
                                    ? PlatformFault::kDown
                                    : PlatformFault::kLoseAnswers);
        break;
      case StepKind::kPlatformUp:
        fleet_.SetPlatformFault(PlatformFault::kNone);
        break;
      case StepKind::kReplay:
        if (!IsRunning(n)) break;
        if (step.value % 2 == 0) {
          Replay(n, step.value);
        } else {
          ReplaySnapshot(n, step.value);
        }
        break;
      case StepKind::kCorrupt:
        if (IsRunning(n)) InjectCorruptChange(n);
        break;
    }
  }

  void Change(uint32_t n, uint32_t value) {
    constexpr uint32_t kNames = 5;
    const std::string name = "s" + std::to_string(value % kNames);
    const char* verb = value % 3 == 0 ? "delete" : "create";
    fleet_.Submit(n, "POST", "/v1/changes", verb + (" service " + name));
    fleet_.Advance(5ms);
  }

  /// Delivers a recorded message again, out of order.
  void Replay(uint32_t n, uint32_t value) {
    if (recorded_messages_.empty()) return;
    const auto& [from, send] =
        recorded_messages_[value % recorded_messages_.size()];
    if (from == fleet_.At(n).Self()) return;
    fleet_.Inject(n, PeerMessageReceived{from, send.message});
  }

  /// Delivers a snapshot that a peer held earlier.
  void ReplaySnapshot(uint32_t n, uint32_t value) {
    if (recorded_snapshots_.empty()) return;
    const auto& [from, held] =
        recorded_snapshots_[value % recorded_snapshots_.size()];
    if (from == fleet_.At(n).Self()) return;
    fleet_.Inject(n, PeerMessageReceived{from, PushSnapshot{*held}});
  }

  /// Delivers a change whose contents don't match its digest.
  void InjectCorruptChange(uint32_t n) {
    struct Change change;
    change.version = fleet_.At(n).Version() + 1;
    change.operation_id = "corrupt";
    change.edits = {{EditAction::kCreate, ObjectKind::kService, "corrupt", {}}};
    change.digest = 1;
    fleet_.Inject(n,
                  PeerMessageReceived{TestSettings(n % kDaemons + 1, "").self,
                                      PushChanges{{change}}});
  }

  bool Converges() {
    fleet_.SetFilter({});
    fleet_.SetPlatformFault(PlatformFault::kNone);
    for (uint32_t n = 1; n <= kDaemons; ++n) {
      if (!IsRunning(n)) {
        fleet_.Restart(n);
      } else {
        fleet_.Thaw(n);
      }
    }
    fleet_.Advance(40s);
    const PlatformReply reply = fleet_.Table().Apply(ReadRows{{kHeadKey}});
    const auto row = reply.rows.find(kHeadKey);
    const HeadRow head =
        row == reply.rows.end() ? HeadRow{} : *Decode<HeadRow>(row->second);
    for (uint32_t n = 1; n <= kDaemons; ++n) {
      const Snapshot& held = *fleet_.At(n).GetContext().Shared().held;
      if (!fleet_.At(n).Ready() || held.version != head.version) return false;
      if (head.version != 0 && held.digest != head.digest) return false;
    }
    return true;
  }

  struct RecordedMessage {
    Address from;
    SendPeer send;
  };
  FakeFleet fleet_;
  VersionChecker watch_;
  pcg32 random_;
  std::vector<RecordedMessage> recorded_messages_;
  std::vector<std::pair<Address, SnapshotPtr>> recorded_snapshots_;
};

template <ConfigurationRules Rules>
RunOutcome RunWith(uint64_t seed, const std::vector<ScenarioStep>& steps) {
  return FaultScenario<Rules>(seed).Run(steps);
}

rc::detail::TestParams Parameters() {
  rc::detail::TestParams parameters;
  const char* seed = std::getenv("PROPERTY_SEED");
  parameters.seed = seed == nullptr ? 4 : std::strtoull(seed, nullptr, 10);
  parameters.maxSuccess = 300;
  parameters.maxSize = 100;
  return parameters;
}

/// Checks `property` on a reproducible sequence of random scenarios; returns
/// true if it holds for all of them.
template <typename Property>
bool HoldsForAll(Property property, std::string& counterexample) {
  rc::detail::TestMetadata metadata;
  metadata.id = "spreading";
  rc::detail::TestListenerAdapter listener;
  const auto result =
      rc::detail::checkTestable(property, metadata, Parameters(), listener);
  std::ostringstream text;
  rc::detail::printResultMessage(result, text);
  counterexample = text.str();
  return result.template is<rc::detail::SuccessResult>();
}

template <ConfigurationRules Rules>
bool HoldsSafely(std::string& counterexample) {
  return HoldsForAll(
      [] {
        const auto seed = *Uniform(1, 1'000'000);
        const auto steps =
            *rc::gen::container<std::vector<ScenarioStep>>(AnyStep());
        RC_ASSERT(RunWith<Rules>(seed, steps).clean);
      },
      counterexample);
}

TEST_CASE("property: versions never decrease or apply in part, all converge") {
  std::string counterexample;
  const bool holds = HoldsForAll(
      [] {
        const auto seed = *Uniform(1, 1'000'000);
        const auto steps =
            *rc::gen::container<std::vector<ScenarioStep>>(AnyStep());
        const RunOutcome outcome =
            RunWith<StandardConfigurationRules>(seed, steps);
        RC_ASSERT(outcome.clean);
        RC_ASSERT(outcome.converged);
      },
      counterexample);
  CHECK_MESSAGE(holds, counterexample);
}

TEST_CASE("property: control: older versions are applied") {
  std::string counterexample;
  CHECK(!HoldsSafely<AcceptsOlderVersions>(counterexample));
}

TEST_CASE("property: control: digests are not verified") {
  std::string counterexample;
  CHECK(!HoldsSafely<NoDigestCheck>(counterexample));
}

TEST_CASE("property: control: daemons serve before the floor is known") {
  std::string counterexample;
  CHECK(!HoldsSafely<NoFloor>(counterexample));
}

}  // namespace
}  // namespace buckthorncart
