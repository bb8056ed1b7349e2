#include "Plugins/Rollouts/rollouts.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "Kernel/context.h"
#include "Kernel/plugin_registry.h"
#include "Plugins/Rollouts/fencing_token.h"
#include "Plugins/Rollouts/member_list.h"

namespace buckthorncart {
namespace {

// Before admission and the call router, which ask the gate.
const PluginRegistration kRegistration(
    PluginRank::kConfiguration,
    [](const KernelSettings& /*settings*/) {
      return std::make_unique<Rollouts>();
    },
    ConfigurationSource::kFollowed);

/// Interval of reports in a small fleet, and its increase for each daemon, so
/// that the decider gets less than a thousand reports a second. Half of it
/// applies in the last step, in which a bad version gets all calls.
constexpr Duration kReportInterval = 200ms;
constexpr Duration kReportIntervalPerDaemon = 1ms;
/// Time without a state after which the decider counts as lost.
constexpr Duration kLeadTimeout = 1'500ms;

}  // namespace

void Rollouts::Attach(Context& ctx) {
  if (!ctx.Settings().stages_rollouts) return;
  ctx.AllMetrics().Add(&counters_);
  ctx.Shared().version_gate = &gate_;
}

void Rollouts::Handle(Context& ctx, const Event& event) {
  if (!ctx.Settings().stages_rollouts) return;
  if (const auto* message = std::get_if<PeerMessageReceived>(&event)) {
    if (const auto* states = std::get_if<RolloutStates>(&message->message))
      HandleStates(ctx, *states);
  } else if (const auto* changed = std::get_if<MemberChanged>(&event)) {
    HandleMember(ctx, changed->address);
  } else if (const auto* timer = std::get_if<TimerFired>(&event)) {
    if (timer->kind == TimerKind::kTick) {
      HandleTick(ctx);
    } else if (timer->kind == TimerKind::kRolloutReport) {
      report_scheduled_ = false;
      Report(ctx);
    }
  }
}

void Rollouts::HandleTick(Context& ctx) {
  gate_.UpdateMembers(AllMembers(ctx), ctx.Now());
  for (const std::string& service : gate_.Judge(ctx.Now())) {
    counters_.Add(RolloutCounter::kRejections);
    ctx.Log(LogTopic::kRollout,
            {{"service", service},
             {"target", gate_.FindRollout(service)->target},
             {"state", "rejected"},
             {"reason", "own-evidence"}},
            LogLevel::kWarning);
    Report(ctx);
  }
  if (!report_scheduled_) Report(ctx);
}

void Rollouts::HandleMember(Context& ctx, Address address) {
  const auto it = ctx.Shared().members.find(address);
  if (it == ctx.Shared().members.end()) return;
  const BackendAnnouncement& backend = it->second.backend;
  const bool is_new = backend.state == BackendState::kReady &&
                      !gate_.Knows(backend.service, backend.version);
  if (is_new) gate_.UpdateMembers(AllMembers(ctx), ctx.Now());
}

Address Rollouts::ReportTo(Context& ctx) const {
  const bool is_fresh = ctx.Now() - lead_heard_at_ < kLeadTimeout;
  if (lead_.IsSet() && is_fresh) return lead_;
  // The daemons that watch the platform hear of a new decider first.
  std::vector<Address> relays;
  for (const auto& [address, member] : ctx.Shared().members) {
    if (member.relays && member.status == MemberStatus::kAlive)
      relays.push_back(address);
  }
  if (relays.empty()) return {};
  return relays[ctx.RandomBelow(static_cast<uint32_t>(relays.size()))];
}

bool Rollouts::IsStopped(Context& ctx, const RolloutReport& report) {
  const SharedState& shared = ctx.Shared();
  const BackendAnnouncement& backend = shared.self.backend;
  return backend.service == report.service &&
         !shared.version_gate->MayRun(backend.service, backend.version) &&
         shared.active_runs == 0;
}

void Rollouts::Report(Context& ctx) {
  std::vector<RolloutReport> reports = gate_.MakeReports();
  if (reports.empty()) return;
  const auto daemons = static_cast<int64_t>(ctx.Shared().members.size());
  if (!std::exchange(report_scheduled_, true)) {
    const Duration interval =
        kReportInterval + kReportIntervalPerDaemon * daemons;
    ctx.SetTimerIn(gate_.IsInLastStep() ? interval / 2 : interval,
                   TimerKind::kRolloutReport);
  }
  const Address to = ReportTo(ctx);
  if (!to.IsSet()) return;
  for (RolloutReport& report : reports) {
    report.stopped = IsStopped(ctx, report);
    const Rollout* applied = gate_.FindRollout(report.service);
    if (applied != nullptr && MayBeLost(*applied)) report.applied = *applied;
  }
  counters_.Add(RolloutCounter::kReports);
  ctx.Send(to, RolloutReports{std::move(reports)});
}

bool Rollouts::MayBeLost(const Rollout& rollout) const {
  return EraOfToken(rollout.token) < EraOfToken(lead_token_);
}

void Rollouts::ReportLostState(Context& ctx, const Rollout& announced) {
  const Rollout* applied = gate_.FindRollout(announced.service);
  if (applied == nullptr || !MayBeLost(*applied)) return;
  if (!applied->Supersedes(announced)) return;
  RolloutReport report;
  report.service = applied->service;
  report.target = applied->target;
  report.token = applied->token;
  report.revision = applied->revision;
  report.applied = *applied;
  ctx.Send(lead_, RolloutReports{{std::move(report)}});
}

void Rollouts::HandleStates(Context& ctx, const RolloutStates& states) {
  if (states.token < lead_token_ || !states.lead.IsSet()) return;
  counters_.Add(RolloutCounter::kStates);
  lead_token_ = states.token;
  const bool is_new_lead = std::exchange(lead_, states.lead) != states.lead;
  const Duration age = std::chrono::milliseconds(states.age_ms);
  lead_heard_at_ = ctx.Now();
  for (const Rollout& rollout : states.rollouts) {
    ReportLostState(ctx, rollout);
    if (!rollout.target.empty()) Adopt(ctx, rollout);
    gate_.SetOrdersKnown(rollout.service, ctx.Now() - age);
  }
  if (is_new_lead && states.rollouts.empty()) Report(ctx);
}

void Rollouts::Adopt(Context& ctx, const Rollout& rollout) {
  constexpr uint32_t kSteps = 1'000;
  const double credit = static_cast<double>(ctx.RandomBelow(kSteps)) / kSteps;
  if (!gate_.Adopt(rollout, credit, ctx.Now())) return;
  ctx.Log(LogTopic::kRollout,
          {{"service", rollout.service},
           {"target", rollout.target},
           {"state", std::string(NameOf(rollout.phase))},
           {"step", std::to_string(rollout.step)},
           {"share", std::to_string(rollout.share_per_mille)}});
  // The decider learns at once that this daemon applies the state.
  if (rollout.phase == RolloutPhase::kRunning) Report(ctx);
}

}  // namespace buckthorncart
