#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <rapidcheck/detail/TestListenerAdapter.h>

#include <cstdlib>
#include <nlohmann/json.hpp>
#include <sstream>

#include "Plugins/Configuration/configuration_rows.h"
#include "Support/configuration_plugins.h"
#include "Support/version_watch.h"

namespace buckthorncart {
namespace {

struct OlderTaken : StandardConfigurationRules {
  static constexpr bool kRejectOlderVersions = false;
};
struct DigestIgnored : StandardConfigurationRules {
  static constexpr bool kVerifyDigest = false;
};
struct FloorIgnored : StandardConfigurationRules {
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

/// One step of a run; `value` selects what the kind needs.
struct RunStep {
  StepKind kind = StepKind::kWait;
  uint32_t daemon = 1;
  uint32_t value = 0;
};

std::ostream& operator<<(std::ostream& out, const RunStep& step) {
  return out << "{" << static_cast<int>(step.kind) << "," << step.daemon << ","
             << step.value << "}";
}

/// Uniform in [low, high) whatever the size of the run.
rc::Gen<uint32_t> Uniform(uint32_t low, uint32_t high) {
  return rc::gen::resize(rc::kNominalSize, rc::gen::inRange(low, high));
}

rc::Gen<RunStep> AnyStep() {
  return rc::gen::build<RunStep>(
      rc::gen::set(
          &RunStep::kind,
          rc::gen::map(Uniform(0, kStepKinds),
                       [](uint32_t n) { return static_cast<StepKind>(n); })),
      rc::gen::set(&RunStep::daemon, Uniform(1, kDaemons + 1)),
      rc::gen::set(&RunStep::value, Uniform(0, 1'000)));
}

struct RunOutcome {
  bool clean = false;
  bool converged = false;
};

/// Four daemons under losses, delays, doublings and faults.
template <ConfigurationRules Rules>
class FaultyRun {
 public:
  explicit FaultyRun(uint64_t seed)
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
      return Keep(from, effect);
    });
  }

  RunOutcome Run(const std::vector<RunStep>& steps) {
    for (const RunStep& step : steps) Take(step);
    return {watch_.Clean(), Converges()};
  }

 private:
  /// Loses a tenth of the messages; remembers some to deliver them again.
  bool Keep(Address from, const Effect& effect) {
    constexpr uint32_t kTenth = 10;
    const auto* send = std::get_if<SendPeer>(&effect);
    const bool datagram = std::holds_alternative<SendDatagram>(effect);
    if (send == nullptr && !datagram) return true;
    if (send != nullptr) Remember(from, *send);
    // A lost message on a connection is noticed by both ends in time; words to
    // witnesses share their fate with all others.
    return random_(kTenth) != 0;
  }

  void Remember(Address from, const SendPeer& send) {
    constexpr size_t kMaxRemembered = 200;
    const bool of_interest =
        std::holds_alternative<PushChanges>(send.message) ||
        std::holds_alternative<PushSnapshot>(send.message) ||
        std::holds_alternative<VersionHeld>(send.message);
    if (!of_interest || remembered_.size() >= kMaxRemembered) return;
    remembered_.push_back({from, send});
  }

  bool Lives(uint32_t n) const {
    const auto numbers = fleet_.Numbers();
    return std::find(numbers.begin(), numbers.end(), n) != numbers.end();
  }

  void Take(const RunStep& step) {
    const uint32_t n = step.daemon;
    if (Lives(n)) {
      snapshots_.push_back(
          {fleet_.At(n).Self(), fleet_.At(n).GetContext().Shared().held});
    }
    switch (step.kind) {
      case StepKind::kChange:
        if (Lives(n)) Change(n, step.value);
        break;
      case StepKind::kWait:
        fleet_.Advance(std::chrono::milliseconds(step.value));
        break;
      case StepKind::kKill:
        // What was served for less than this is not yet known elsewhere.
        fleet_.Advance(3s);
        if (Lives(n)) fleet_.Kill(n);
        break;
      case StepKind::kRestart:
        if (!Lives(n)) fleet_.Restart(n);
        break;
      case StepKind::kFreeze:
        if (Lives(n)) fleet_.Freeze(n);
        break;
      case StepKind::kThaw:
        if (Lives(n)) fleet_.Thaw(n);
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
        if (!Lives(n)) break;
        if (step.value % 2 == 0) {
          Replay(n, step.value);
        } else {
          ReplaySnapshot(n, step.value);
        }
        break;
      case StepKind::kCorrupt:
        if (Lives(n)) Corrupt(n);
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

  /// Delivers an old message once more, out of order.
  void Replay(uint32_t n, uint32_t value) {
    if (remembered_.empty()) return;
    const auto& [from, send] = remembered_[value % remembered_.size()];
    if (from == fleet_.At(n).Self()) return;
    fleet_.Inject(n, PeerMessageReceived{from, send.message});
  }

  /// Delivers a snapshot that a peer held some time ago.
  void ReplaySnapshot(uint32_t n, uint32_t value) {
    if (snapshots_.empty()) return;
    const auto& [from, held] = snapshots_[value % snapshots_.size()];
    if (from == fleet_.At(n).Self()) return;
    fleet_.Inject(n, PeerMessageReceived{from, PushSnapshot{*held}});
  }

  /// Delivers a change whose contents do not fit its digest.
  void Corrupt(uint32_t n) {
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
      if (!Lives(n)) {
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

  struct Remembered {
    Address from;
    SendPeer send;
  };
  FakeFleet fleet_;
  VersionWatch watch_;
  pcg32 random_;
  std::vector<Remembered> remembered_;
  std::vector<std::pair<Address, SnapshotPtr>> snapshots_;
};

template <ConfigurationRules Rules>
RunOutcome RunWith(uint64_t seed, const std::vector<RunStep>& steps) {
  return FaultyRun<Rules>(seed).Run(steps);
}

rc::detail::TestParams Parameters() {
  rc::detail::TestParams parameters;
  const char* seed = std::getenv("PROPERTY_SEED");
  parameters.seed = seed == nullptr ? 4 : std::strtoull(seed, nullptr, 10);
  parameters.maxSuccess = 300;
  parameters.maxSize = 100;
  return parameters;
}

/// Runs `property` over the same random runs every time; true if all hold.
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
bool Safe(std::string& counterexample) {
  return HoldsForAll(
      [] {
        const auto seed = *Uniform(1, 1'000'000);
        const auto steps = *rc::gen::container<std::vector<RunStep>>(AnyStep());
        RC_ASSERT(RunWith<Rules>(seed, steps).clean);
      },
      counterexample);
}

TEST_CASE("property: never older, never in part, all converge") {
  std::string counterexample;
  const bool holds = HoldsForAll(
      [] {
        const auto seed = *Uniform(1, 1'000'000);
        const auto steps = *rc::gen::container<std::vector<RunStep>>(AnyStep());
        const RunOutcome outcome =
            RunWith<StandardConfigurationRules>(seed, steps);
        RC_ASSERT(outcome.clean);
        RC_ASSERT(outcome.converged);
      },
      counterexample);
  CHECK_MESSAGE(holds, counterexample);
}

TEST_CASE("property: control: older versions are taken") {
  std::string counterexample;
  CHECK(!Safe<OlderTaken>(counterexample));
}

TEST_CASE("property: control: digests are not verified") {
  std::string counterexample;
  CHECK(!Safe<DigestIgnored>(counterexample));
}

TEST_CASE("property: control: no floor is waited for") {
  std::string counterexample;
  CHECK(!Safe<FloorIgnored>(counterexample));
}

}  // namespace
}  // namespace buckthorncart
