#pragma once
/// \file
/// Simulated fleet for tests of call routing and admission, with rules that a
/// test can switch off.

#include <functional>
#include <memory>
#include <string>

#include "Plugins/Admission/admission.h"
#include "Plugins/Requests/call_router.h"
#include "Support/fake_fleet.h"

namespace buckthorncart {

/// The standard plug-ins, with admission and call routing according to `Rules`
/// and `Choice`.
template <RequestRules Rules, BackendChoice Choice = TwoRandomChoices>
FakeDaemon::Plugins PluginsWith(const KernelSettings& settings) {
  using StandardRouter = CallRouter<TwoRandomChoices, StandardRequestRules>;
  using NearestRouter = CallRouter<NearestChoice, StandardRequestRules>;
  using StandardAdmission = Admission<StandardRequestRules>;
  FakeDaemon::Plugins plugins = StandardPlugins(settings);
  for (auto& plugin : plugins) {
    if (dynamic_cast<StandardAdmission*>(plugin.get()) != nullptr) {
      plugin = std::make_unique<Admission<Rules>>(settings);
    } else if (dynamic_cast<StandardRouter*>(plugin.get()) != nullptr ||
               dynamic_cast<NearestRouter*>(plugin.get()) != nullptr) {
      plugin = std::make_unique<CallRouter<Choice, Rules>>(settings);
    }
  }
  return plugins;
}

/// Daemons 1 to `receivers` have no backend server and only receive calls. Each
/// of the next `servers` daemons has a backend server of service catalogus with
/// `slots` slots.
struct RequestFleet {
  struct Size {
    uint32_t receivers = 1;
    uint32_t servers = 2;
    uint32_t slots = 4;
    /// Data centres of the backend servers, assigned round robin.
    std::vector<std::string> data_centres = {"nl-west-a"};
  };

  using AdjustSettings = std::function<void(KernelSettings&)>;

  RequestFleet(FakeFleet::PluginFactory plugins, const Size& size,
               const AdjustSettings& adjust = {})
      : fleet(std::move(plugins)), size(size) {
    const auto add = [&](uint32_t n, const std::string& data_centre) {
      KernelSettings settings = TestSettings(n, data_centre);
      if (adjust) adjust(settings);
      fleet.Add(settings);
    };
    for (uint32_t n = 1; n <= size.receivers; ++n) add(n, "nl-west-a");
    for (uint32_t i = 0; i < size.servers; ++i) {
      add(FirstServer() + i, size.data_centres[i % size.data_centres.size()]);
    }
    fleet.StartAll();
    for (uint32_t i = 0; i < size.servers; ++i) {
      fleet.Behaviours()[FirstServer() + i].slots = size.slots;
      Announce(FirstServer() + i);
    }
    fleet.Advance(3s);
    fleet.Ask(1, "POST", "/v1/changes",
              "create service catalogus\n"
              "create route proofs path=/proofs service=catalogus\n"
              "create route exports path=/exports service=catalogus "
              "class=bulk\n");
    fleet.Advance(3s);
  }

  /// Number of the first daemon with a backend server.
  uint32_t FirstServer() const { return size.receivers + 1; }
  void Announce(uint32_t n, const std::string& state = "ready") {
    fleet.Announce(n, "catalogus", state, size.slots);
  }
  uint64_t Get(uint32_t n, const std::string& path, uint32_t deadline_ms) {
    return fleet.Call(
        n, {"GET",
            path,
            {{std::string(header::kDeadline), std::to_string(deadline_ms)}},
            ""});
  }
  AnswerPart& Answer(uint64_t call) { return fleet.CallerAnswers()[call]; }
  std::string Outcome(uint64_t call) {
    return std::string(FindHeader(Answer(call).headers, header::kOutcome));
  }
  std::string Reason(uint64_t call) {
    return std::string(FindHeader(Answer(call).headers, header::kReason));
  }
  /// True if the call was answered completely with status 200.
  bool IsWhole(uint64_t call) {
    constexpr uint16_t kHttpOk = 200;
    const AnswerPart& answer = Answer(call);
    return answer.status == kHttpOk && answer.end == AnswerEnd::kComplete;
  }
  /// Sum of the counter `name` over all daemons.
  uint64_t SumCounter(const std::string& name) {
    uint64_t sum = 0;
    for (const uint32_t n : fleet.Numbers()) sum += fleet.At(n).Counter(name);
    return sum;
  }

  FakeFleet fleet;
  Size size;
};

}  // namespace buckthorncart
