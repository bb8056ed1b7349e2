#pragma once
/// \file
/// Definitions of `CallRouter` that concern the versions of backend servers.
/// Include call_router.h instead.

#include <algorithm>
#include <vector>

#include "Plugins/Requests/call_router.h"
#include "Plugins/Rollouts/version_gate.h"

namespace buckthorncart {

template <BackendChoice Choice, RequestRules Rules>
void CallRouter<Choice, Rules>::PreferStaged(
    std::vector<Candidate>& candidates) {
  const auto is_staged = [](const Candidate& candidate) {
    return candidate.staged;
  };
  if (std::none_of(candidates.begin(), candidates.end(), is_staged)) return;
  std::erase_if(candidates,
                [](const Candidate& candidate) { return !candidate.staged; });
}

template <BackendChoice Choice, RequestRules Rules>
bool CallRouter<Choice, Rules>::IsInRollout(
    Context& ctx, const BackendAnnouncement& backend) {
  const VersionGate* gate = ctx.Shared().version_gate;
  if (gate == nullptr) return false;
  const Rollout* rollout = gate->FindRollout(backend.service);
  return rollout != nullptr && rollout->phase == RolloutPhase::kRunning;
}

template <BackendChoice Choice, RequestRules Rules>
void CallRouter<Choice, Rules>::RecordVersionSent(Context& ctx,
                                                  ActiveCall& active) {
  SharedState& shared = ctx.Shared();
  if (shared.version_gate == nullptr) return;
  const auto it = shared.members.find(active.admitting);
  const Member& member = it == shared.members.end() ? shared.self : it->second;
  active.version = member.backend.version;
  shared.version_gate->RecordSent(active.route.service, active.version);
}

template <BackendChoice Choice, RequestRules Rules>
void CallRouter<Choice, Rules>::RecordVersionEnd(Context& ctx,
                                                 const ActiveCall& active,
                                                 bool failed) {
  VersionGate* gate = ctx.Shared().version_gate;
  if (gate == nullptr) return;
  gate->RecordEnd({active.route.service, active.route.name, active.version,
                   active.admitting, active.sent_at, failed},
                  ctx.Now());
}

}  // namespace buckthorncart
