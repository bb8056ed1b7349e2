#pragma once
/// \file
/// Definitions of `CrashGuard`; included by crash_guard.h.

#include <nlohmann/json.hpp>

#include "Base/json_text.h"
#include "Kernel/context.h"
#include "Plugins/Admission/crash_guard.h"

namespace buckthorncart {

/// Time after the last death for which deaths count and a refusal lasts.
inline constexpr Duration kDeathRetention = 10min;
/// Number of deaths after which a request is refused.
inline constexpr size_t kDeathsToRefuse = 2;
inline constexpr size_t kMaxSuspects = 1'024;
inline constexpr size_t kMaxAnswered = 4'096;
/// Number of reports that one daemon sends per second, each to all daemons.
inline constexpr uint32_t kMaxReportsPerSecond = 16;

template <CrashGuardRules Rules>
void CrashGuard<Rules>::Attach(Context& ctx) {
  ctx.Shared().crash_register = this;
  ctx.AllMetrics().Add(&counters_);
  ctx.AllMetrics().AddGauge("crash_guard_suspects", [this] {
    return static_cast<double>(suspects_.size());
  });
}

template <CrashGuardRules Rules>
void CrashGuard<Rules>::Handle(Context& ctx, const Event& event) {
  if (const auto* received = std::get_if<PeerMessageReceived>(&event)) {
    const auto* report = std::get_if<CrashReport>(&received->message);
    if (report == nullptr) return;
    if (report->cleared) {
      Clear(report->fingerprint);
    } else {
      AddDeath(ctx, report->fingerprint, report->daemon);
    }
    return;
  }
  const auto* timer = std::get_if<TimerFired>(&event);
  if (timer != nullptr && timer->kind == TimerKind::kTick) {
    DropExpired(ctx.Now());
  }
}

template <CrashGuardRules Rules>
bool CrashGuard<Rules>::HandleOperator(Context& ctx,
                                       const OperatorRequested& request) {
  const bool is_list_request =
      request.http.path == "/v1/crash-guard" && request.http.method == "GET";
  if (is_list_request) SendSuspectList(ctx, request.request);
  return is_list_request;
}

template <CrashGuardRules Rules>
bool CrashGuard<Rules>::RecordConnectionBreak(Context& ctx,
                                              uint64_t fingerprint) {
  if (Rules::kExonerate && recently_answered_.contains(fingerprint)) {
    counters_.Add(CrashGuardCounter::kExonerated);
    return false;
  }
  counters_.Add(CrashGuardCounter::kDeaths);
  AddDeath(ctx, fingerprint, ctx.Settings().self);
  Broadcast(ctx, {fingerprint, ctx.Settings().self, false});
  return Rules::kStopRetries;
}

template <CrashGuardRules Rules>
void CrashGuard<Rules>::RecordSuccess(Context& ctx, uint64_t fingerprint) {
  if (suspects_.contains(fingerprint)) {
    Clear(fingerprint);
    Broadcast(ctx, {fingerprint, ctx.Settings().self, true});
  }
  if (!recently_answered_.insert(fingerprint).second) return;
  answered_order_.push_back(fingerprint);
  if (answered_order_.size() <= kMaxAnswered) return;
  recently_answered_.erase(answered_order_.front());
  answered_order_.pop_front();
}

template <CrashGuardRules Rules>
bool CrashGuard<Rules>::IsBlocked(Time now, uint64_t fingerprint) const {
  const auto it = suspects_.find(fingerprint);
  if (!Rules::kRefuse || it == suspects_.end()) return false;
  return it->second.size() >= kDeathsToRefuse &&
         now - it->second.back().recorded_at < kDeathRetention;
}

template <CrashGuardRules Rules>
void CrashGuard<Rules>::AddDeath(Context& ctx, uint64_t fingerprint,
                                 Address daemon) {
  const bool is_known = suspects_.contains(fingerprint);
  if (!is_known && suspects_.size() >= kMaxSuspects) return;
  std::vector<Death>& deaths = suspects_[fingerprint];
  if (deaths.size() >= kDeathsToRefuse) return;
  deaths.push_back({daemon, ctx.Now()});
  if (deaths.size() < kDeathsToRefuse) return;
  ctx.Log(LogTopic::kCrashGuard,
          {{"fingerprint", std::to_string(fingerprint)}, {"state", "refused"}},
          LogLevel::kWarning);
}

template <CrashGuardRules Rules>
void CrashGuard<Rules>::Clear(uint64_t fingerprint) {
  if (suspects_.erase(fingerprint) > 0) {
    counters_.Add(CrashGuardCounter::kCleared);
  }
}

template <CrashGuardRules Rules>
void CrashGuard<Rules>::Broadcast(Context& ctx, const CrashReport& report) {
  if (!Rules::kBroadcast) return;
  if (ctx.Now() - report_window_start_ >= 1s) {
    report_window_start_ = ctx.Now();
    reports_in_window_ = 0;
  }
  if (++reports_in_window_ > kMaxReportsPerSecond) {
    counters_.Add(CrashGuardCounter::kReportsSuppressed);
    return;
  }
  counters_.Add(CrashGuardCounter::kReportsSent);
  for (const auto& [address, member] : ctx.Shared().members) {
    if (member.status == MemberStatus::kGone) continue;
    ctx.Send(address, report);
  }
}

template <CrashGuardRules Rules>
void CrashGuard<Rules>::DropExpired(Time now) {
  std::erase_if(suspects_, [now](const auto& entry) {
    return now - entry.second.back().recorded_at >= kDeathRetention;
  });
}

template <CrashGuardRules Rules>
void CrashGuard<Rules>::SendSuspectList(Context& ctx, uint64_t request) const {
  constexpr uint16_t kOkStatus = 200;
  auto list = nlohmann::ordered_json::array();
  for (const auto& [fingerprint, deaths] : suspects_) {
    auto daemons = nlohmann::ordered_json::array();
    for (const Death& death : deaths) {
      daemons.push_back(death.daemon.ToString());
    }
    const Duration remaining =
        deaths.back().recorded_at + kDeathRetention - ctx.Now();
    list.push_back({{"fingerprint", std::to_string(fingerprint)},
                    {"deaths", deaths.size()},
                    {"refused", IsBlocked(ctx.Now(), fingerprint)},
                    {"remaining_ms", ToMilliseconds(remaining)},
                    {"daemons", std::move(daemons)}});
  }
  const nlohmann::ordered_json body = {
      {"daemon", ctx.Settings().self.ToString()},
      {"fingerprints", std::move(list)}};
  ctx.AnswerJson(request, kOkStatus, FormatJson(body) + "\n");
}

}  // namespace buckthorncart
