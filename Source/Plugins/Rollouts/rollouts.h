#pragma once
/// \file
/// Applies staged roll-outs at one daemon.

#include <cstdint>
#include <string>
#include <vector>

#include "Base/address.h"
#include "Base/time.h"
#include "Kernel/counters.h"
#include "Kernel/plugin.h"
#include "Plugins/Rollouts/version_gate.h"
#include "Wire/rollout_messages.h"

namespace buckthorncart {

enum class RolloutCounter : uint8_t { kReports, kStates, kRejections };

template <>
struct EnumNames<RolloutCounter> {
  static constexpr std::string_view kNames[] = {"rollout_reports_total",
                                                "rollout_states_total",
                                                "rollout_rejections_total"};
};

/// Feeds the `VersionGate` of this daemon with members and states, and reports
/// to the decider while a roll-out of a service runs or this daemon knows a
/// version that may not get calls. The decider replies with the states of the
/// services reported on. Daemons that need neither send no messages.
class Rollouts : public Plugin {
 public:
  void Attach(Context& ctx) override;
  void Handle(Context& ctx, const Event& event) override;

 private:
  void HandleTick(Context& ctx);
  /// Adds a version that is not known yet before a call is sent to it.
  void HandleMember(Context& ctx, Address address);
  void HandleStates(Context& ctx, const RolloutStates& states);
  void Adopt(Context& ctx, const Rollout& rollout);
  void Report(Context& ctx);
  /// Returns true if the store may have lost `rollout`: it is of an earlier era
  /// than the token of the present decider.
  bool MayBeLost(const Rollout& rollout) const;
  /// Tells the decider of a newer state than the one that it has announced.
  void ReportLostState(Context& ctx, const Rollout& announced);
  /// The decider, or a relay that may know it.
  Address ReportTo(Context& ctx) const;
  /// The backend server of this daemon takes no calls because of a roll-out to
  /// another version, and has none.
  static bool IsStopped(Context& ctx, const RolloutReport& report);

  VersionGate gate_;
  Address lead_;
  uint64_t lead_token_ = 0;
  Time lead_heard_at_{};
  bool report_scheduled_ = false;
  Counters<RolloutCounter> counters_;
};

}  // namespace buckthorncart
