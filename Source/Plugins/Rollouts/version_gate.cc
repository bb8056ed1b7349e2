#include "Plugins/Rollouts/version_gate.h"

#include <algorithm>

#include "Plugins/Rollouts/rollout_plan.h"

namespace buckthorncart {
namespace {

constexpr double kPerMille = 1'000.0;
/// Credit that can accumulate while no backend server of the target version can
/// take a call.
constexpr double kMaxCredit = 1.5;
/// An answer is slow if it takes this many times the usual time of its route.
constexpr double kSlowFactor = 3.0;
/// Weight of a new answer in the usual time.
constexpr double kTimeWeight = 0.05;
/// Time after which a version is forgotten that was never in use.
constexpr Duration kVersionRetention = 10min;
/// Answers from which on the usual time is known.
constexpr uint32_t kMinAnswers = 5;

bool IsReady(const Member& member) {
  return member.status <= MemberStatus::kSuspect &&
         member.backend.state == BackendState::kReady;
}

}  // namespace

bool VersionGate::IsRunning(const Service& service) {
  return !service.rollout.target.empty() &&
         service.rollout.phase == RolloutPhase::kRunning;
}

const VersionGate::Service* VersionGate::Find(
    const std::string& service) const {
  const auto it = services_.find(service);
  return it == services_.end() ? nullptr : &it->second;
}

void VersionGate::UpdateMembers(const std::vector<const Member*>& members,
                                Time now) {
  for (auto& known_service : services_) {
    Service& service = known_service.second;
    for (auto& [version, known] : service.versions) known.ready = 0;
    std::erase_if(service.versions, [&](const auto& entry) {
      return !service.accepted.contains(entry.first) &&
             now - entry.second.first_seen > kVersionRetention &&
             entry.first != service.rollout.target;
    });
  }
  for (const Member* member : members) {
    const BackendAnnouncement& backend = member->backend;
    if (!IsReady(*member)) {
      ready_since_.erase(member->address);
      continue;
    }
    ReadySince& ready = ready_since_[member->address];
    if (ready.since == Time{} || ready.id != backend.id)
      ready = {backend.id, now};
    Service& service = services_[backend.service];
    const auto [it, is_new] = service.versions.try_emplace(backend.version);
    Version& version = it->second;
    if (is_new) version.first_seen = now;
    const bool is_oldest =
        version.ready == 0 || backend.started_ms < version.started_ms;
    if (is_oldest) version.started_ms = backend.started_ms;
    ++version.ready;
  }
  for (auto& [name, service] : services_) Refresh(service, now);
}

/// Determines the versions in use while no roll-out runs.
void VersionGate::Accept(Service& service, Time now) {
  if (IsRunning(service)) return;
  for (const auto& [name, version] : service.versions) {
    if (version.ready == 0 || service.accepted.contains(name)) continue;
    // The version whose roll-out has ended is in use if it succeeded, and
    // otherwise not until there is another order.
    const bool ordered = name == service.rollout.target;
    const bool replaced = !service.rollout.target.empty() &&
                          service.rollout.phase == RolloutPhase::kSucceeded &&
                          name == service.rollout.from;
    if (ordered || replaced) continue;
    const bool held = now - version.first_seen >= kHoldTime;
    const bool known = service.orders_known >= version.first_seen + kOrderDelay;
    if (held && known) service.accepted.insert(name);
  }
}

VersionGate::Access VersionGate::Classify(const Service& service,
                                          const std::string& name) {
  const Rollout& rollout = service.rollout;
  if (name == rollout.target && !name.empty()) {
    switch (rollout.phase) {
      case RolloutPhase::kSucceeded:
        return Access::kFree;
      case RolloutPhase::kRolledBack:
        return Access::kDenied;
      case RolloutPhase::kRunning:
        if (service.rejected) return Access::kDenied;
        return rollout.step >= kFullStep ? Access::kFree : Access::kShare;
    }
  }
  const bool full = IsRunning(service) && rollout.step >= kFullStep;
  if (full && !service.rejected) return Access::kDenied;
  const bool in_use = service.accepted.contains(name) ||
                      (!rollout.target.empty() && name == rollout.from &&
                       rollout.phase != RolloutPhase::kSucceeded);
  return in_use ? Access::kFree : Access::kDenied;
}

void VersionGate::Refresh(Service& service, Time now) {
  Accept(service, now);
  if (service.accepted.empty() && service.rollout.target.empty()) {
    // Just started: the version of most backend servers is the one in use, or
    // that of the backend server that was started first.
    const auto present =
        std::max_element(service.versions.begin(), service.versions.end(),
                         [](const auto& a, const auto& b) {
                           if (a.second.ready != b.second.ready)
                             return a.second.ready < b.second.ready;
                           return a.second.started_ms > b.second.started_ms;
                         });
    const bool settled = present != service.versions.end() &&
                         present->second.ready > 0 &&
                         now - present->second.first_seen >= kHoldTime;
    if (settled) service.accepted.insert(present->first);
    for (auto& [name, version] : service.versions) {
      version.access = name == present->first ? Access::kFree : Access::kDenied;
    }
  } else {
    for (auto& [name, version] : service.versions)
      version.access = Classify(service, name);
  }
  bool any_free = false;
  bool any_share = false;
  service.needs_orders = IsRunning(service);
  for (const auto& [name, version] : service.versions) {
    if (version.ready == 0) continue;
    any_free = any_free || version.access == Access::kFree;
    any_share = any_share || version.access == Access::kShare;
    if (version.access == Access::kDenied) service.needs_orders = true;
  }
  if (any_free) return;
  for (auto& [name, version] : service.versions) {
    if (!any_share || version.access == Access::kShare)
      version.access = Access::kFree;
  }
}

bool VersionGate::Knows(const std::string& service,
                        const std::string& version) const {
  const Service* known = Find(service);
  return known != nullptr && known->versions.contains(version);
}

bool VersionGate::Adopt(const Rollout& rollout, double credit, Time now) {
  Service& service = services_[rollout.service];
  const bool is_first = service.rollout.target.empty();
  if (!is_first && !rollout.Supersedes(service.rollout)) return false;
  const bool is_other_order = service.rollout.target != rollout.target ||
                              service.rollout.opened_ms != rollout.opened_ms;
  if (is_other_order) {
    service.evidence = {};
    service.calls = 0;
    service.rejected = false;
    service.credit = credit;
    service.accepted.erase(rollout.target);
  }
  if (service.rollout.step != rollout.step) service.evidence.StartWindow(now);
  service.rollout = rollout;
  if (rollout.phase == RolloutPhase::kSucceeded) {
    service.accepted = {rollout.target};
  } else if (rollout.phase == RolloutPhase::kRolledBack) {
    service.accepted.erase(rollout.target);
  }
  Refresh(service, now);
  return true;
}

void VersionGate::SetOrdersKnown(const std::string& service, Time at) {
  const auto it = services_.find(service);
  if (it == services_.end()) return;
  it->second.orders_known = std::max(it->second.orders_known, at);
}

void VersionGate::RecordCall(const std::string& service) {
  const auto it = services_.find(service);
  if (it == services_.end() || !IsRunning(it->second)) return;
  ++it->second.calls;
  const double share = it->second.rollout.share_per_mille / kPerMille;
  it->second.credit = std::min(it->second.credit + share, kMaxCredit);
}

bool VersionGate::MaySend(const std::string& service,
                          const std::string& version) const {
  const Service* known = Find(service);
  if (known == nullptr) return true;
  const auto it = known->versions.find(version);
  // The member record is newer than the last update; it is not a version that
  // is known to be allowed.
  if (it == known->versions.end()) return known->versions.empty();
  if (it->second.access == Access::kShare) return known->credit >= 1.0;
  return it->second.access == Access::kFree;
}

bool VersionGate::IsStaged(const std::string& service,
                           const std::string& version) const {
  const Service* known = Find(service);
  if (known == nullptr) return false;
  const auto it = known->versions.find(version);
  return it != known->versions.end() && it->second.access == Access::kShare;
}

void VersionGate::RecordSent(const std::string& service,
                             const std::string& version) {
  if (!IsStaged(service, version)) return;
  services_.at(service).credit -= 1.0;
}

bool VersionGate::IsCold(Address daemon, Time sent_at) const {
  const auto it = ready_since_.find(daemon);
  return it == ready_since_.end() || sent_at - it->second.since < kColdStart;
}

void VersionGate::RecordEnd(const Ending& ending, Time now) {
  const auto it = services_.find(ending.service);
  if (it == services_.end()) return;
  Service& service = it->second;
  const bool running = IsRunning(service);
  const bool is_target = running && ending.version == service.rollout.target;
  const auto time_us = static_cast<double>((now - ending.sent_at).count());
  RouteTime& usual = service.times[ending.route];
  const bool is_slow =
      usual.answers >= kMinAnswers && time_us > usual.mean_us * kSlowFactor;
  const bool has_time = !ending.failed && usual.answers >= kMinAnswers &&
                        !IsCold(ending.daemon, ending.sent_at);
  if (running) {
    RouteEvidence& evidence = service.evidence.ForRoute(ending.route);
    VersionCounts& counts = is_target ? evidence.target : evidence.others;
    ++counts.answers;
    if (ending.failed) ++counts.failures;
    if (has_time) ++counts.timed;
    if (has_time && is_slow) ++counts.slow;
  }
  if (is_target || ending.failed) return;
  // Slow answers count with the largest time that is not slow, so that a tail
  // does not raise the usual time.
  const double counted = is_slow ? usual.mean_us * kSlowFactor : time_us;
  usual.mean_us = usual.answers == 0
                      ? counted
                      : usual.mean_us + kTimeWeight * (counted - usual.mean_us);
  ++usual.answers;
}

std::vector<std::string> VersionGate::Judge(Time now) {
  std::vector<std::string> rejected;
  for (auto& [name, service] : services_) {
    if (!IsRunning(service)) continue;
    service.evidence.TakeSample(now);
    const bool is_bad =
        service.evidence.Judge(kDaemonErrorRate) != RolloutVerdict::kNone;
    if (service.rejected || !is_bad) continue;
    service.rejected = true;
    Refresh(service, now);
    rejected.push_back(name);
  }
  return rejected;
}

bool VersionGate::MayRun(const std::string& service,
                         const std::string& version) const {
  const Service* known = Find(service);
  if (known == nullptr || known->rollout.target.empty()) return true;
  const Rollout& rollout = known->rollout;
  const bool is_target = version == rollout.target;
  switch (rollout.phase) {
    case RolloutPhase::kRunning:
      return is_target || rollout.step < kFullStep;
    case RolloutPhase::kSucceeded:
      return version != rollout.from;
    case RolloutPhase::kRolledBack:
      break;
  }
  const auto it = known->versions.find(version);
  const bool is_denied =
      it != known->versions.end() && it->second.access == Access::kDenied;
  return !is_target || !is_denied;
}

std::vector<RolloutReport> VersionGate::MakeReports() const {
  std::vector<RolloutReport> reports;
  for (const auto& [name, service] : services_) {
    if (!service.needs_orders) continue;
    const Rollout& rollout = service.rollout;
    RolloutReport report{name,
                         rollout.target,
                         rollout.token,
                         rollout.revision,
                         service.calls,
                         service.rejected,
                         false,
                         {},
                         {}};
    if (IsRunning(service)) report.evidence = service.evidence.ToList();
    reports.push_back(std::move(report));
  }
  return reports;
}

bool VersionGate::IsInLastStep() const {
  return std::any_of(services_.begin(), services_.end(), [](const auto& entry) {
    return IsRunning(entry.second) && entry.second.rollout.step >= kFullStep;
  });
}

const Rollout* VersionGate::FindRollout(const std::string& service) const {
  const Service* known = Find(service);
  return known == nullptr || known->rollout.target.empty() ? nullptr
                                                           : &known->rollout;
}

}  // namespace buckthorncart
