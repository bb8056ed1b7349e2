#include "Plugins/Rollouts/rollout_board.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace buckthorncart {
namespace {

/// Time over which the rate of calls is measured.
constexpr Duration kRateWindow = 2s;
/// Shortest time that gives a rate.
constexpr Duration kMinRateTime = 500ms;
/// Routes whose evidence one daemon may report; more are ignored.
constexpr size_t kMaxRoutes = 1'000;

bool IsReady(const Member& member) {
  return member.status <= MemberStatus::kSuspect &&
         member.backend.state == BackendState::kReady;
}

/// Returns true if calls may run on the backend server of `member` and it is
/// not of `target`. A daemon that is gone runs none.
bool MayRunOther(const Member& member, const Rollout& rollout) {
  return member.status != MemberStatus::kGone &&
         member.backend.service == rollout.service &&
         member.backend.state != BackendState::kAbsent &&
         member.backend.version != rollout.target;
}

}  // namespace

void RolloutBoard::Set(const Rollout& rollout) {
  const bool is_other_order = rollout.target != rollout_.target ||
                              rollout.opened_ms != rollout_.opened_ms;
  if (is_other_order) {
    *this = RolloutBoard(rollout);
    return;
  }
  if (rollout.step != rollout_.step) window_pending_ = true;
  rollout_ = rollout;
}

void RolloutBoard::AddReport(Address daemon, const RolloutReport& report,
                             Time now) {
  if (report.target != rollout_.target) return;
  if (rollout_.phase != RolloutPhase::kRunning) return;
  // Only a rollback is announced before it is stored, so that a state newer
  // than the stored one is a rollback by an earlier decider.
  const bool is_newer = std::tie(report.token, report.revision) >
                        std::tie(rollout_.token, rollout_.revision);
  rejected_ = rejected_ || is_newer;
  Daemon& known = daemons_[daemon];
  if (report.stopped) {
    known.stopped_token = report.token;
    known.stopped_revision = report.revision;
  }
  rejected_ = rejected_ || report.rejected;
  calls_ +=
      report.calls >= known.calls ? report.calls - known.calls : report.calls;
  known.calls = report.calls;
  for (const RouteEvidence& route : report.evidence) {
    const bool is_known = known.evidence.contains(route.route);
    if (!is_known && known.evidence.size() >= kMaxRoutes) break;
    RouteEvidence& before = known.evidence[route.route];
    RouteEvidence& sum = evidence_.ForRoute(route.route);
    AddGrowth(before.target, route.target, sum.target);
    AddGrowth(before.others, route.others, sum.others);
    before = route;
  }
  if (rate_samples_.empty()) rate_samples_.push_back({now, calls_});
}

double RolloutBoard::CallsPerSecond(Time now) {
  if (rate_samples_.empty()) return 0;
  rate_samples_.push_back({now, calls_});
  while (rate_samples_.size() > 2 &&
         rate_samples_[1].taken_at + kRateWindow <= now) {
    rate_samples_.pop_front();
  }
  const RateSample& first = rate_samples_.front();
  const Duration elapsed = now - first.taken_at;
  if (elapsed < kMinRateTime) return 0;
  constexpr double kMicrosecondsPerSecond = 1e6;
  return static_cast<double>(calls_ - first.calls) * kMicrosecondsPerSecond /
         static_cast<double>(elapsed.count());
}

bool RolloutBoard::AllOthersStopped(
    const std::vector<const Member*>& members) const {
  return std::all_of(members.begin(), members.end(),
                     [this](const Member* member) {
                       if (!MayRunOther(*member, rollout_)) return true;
                       const auto it = daemons_.find(member->address);
                       return it != daemons_.end() &&
                              it->second.stopped_token == rollout_.token &&
                              it->second.stopped_revision == rollout_.revision;
                     });
}

RolloutFacts RolloutBoard::Facts(const std::vector<const Member*>& members,
                                 Time now, uint64_t wall_ms) {
  RolloutFacts facts;
  const uint64_t elapsed_ms =
      wall_ms > rollout_.opened_ms ? wall_ms - rollout_.opened_ms : 0;
  facts.elapsed = std::chrono::milliseconds(elapsed_ms);
  facts.calls_per_s = CallsPerSecond(now);
  for (const Member* member : members) {
    const BackendAnnouncement& backend = member->backend;
    if (!IsReady(*member) || backend.service != rollout_.service) continue;
    const bool is_target = backend.version == rollout_.target;
    (is_target ? facts.target_slots : facts.other_slots) += backend.slots;
  }
  if (facts.target_slots > 0 && !target_ready_at_) target_ready_at_ = now;
  if (target_ready_at_) facts.target_age = now - *target_ready_at_;
  for (const auto& [route, evidence] : evidence_.Routes())
    facts.timed_answers += evidence.target.timed;
  if (std::exchange(window_pending_, false)) {
    evidence_.StartWindow(now);
    step_since_ = now;
  }
  if (!step_since_) step_since_ = now;
  facts.step_age = now - *step_since_;
  evidence_.TakeSample(now);
  facts.verdict = evidence_.Judge(kDeciderErrorRate);
  facts.rejected_by_daemon = rejected_;
  facts.others_stopped = AllOthersStopped(members);
  return facts;
}

std::string PresentVersion(const std::vector<const Member*>& members,
                           const std::string& service,
                           const std::string& target) {
  struct Count {
    uint32_t ready = 0;
    uint64_t started_ms = ~0ULL;
  };
  std::map<std::string, Count> counts;
  for (const Member* member : members) {
    const BackendAnnouncement& backend = member->backend;
    if (!IsReady(*member) || backend.service != service) continue;
    if (backend.version == target) continue;
    Count& count = counts[backend.version];
    ++count.ready;
    count.started_ms = std::min(count.started_ms, backend.started_ms);
  }
  const auto present = std::max_element(
      counts.begin(), counts.end(), [](const auto& a, const auto& b) {
        if (a.second.ready != b.second.ready)
          return a.second.ready < b.second.ready;
        return a.second.started_ms > b.second.started_ms;
      });
  return present == counts.end() ? "" : present->first;
}

}  // namespace buckthorncart
