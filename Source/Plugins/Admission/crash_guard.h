#pragma once
/// \file
/// Guard against requests that crash every backend server that runs them.

#include <concepts>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "Base/address.h"
#include "Base/time.h"
#include "Kernel/counters.h"
#include "Kernel/crash_register.h"
#include "Kernel/plugin.h"

namespace buckthorncart {

enum class CrashGuardCounter : uint8_t {
  kDeaths,
  kExonerated,
  kCleared,
  kReportsSent,
  kReportsSuppressed,
};

template <>
struct EnumNames<CrashGuardCounter> {
  static constexpr std::string_view kNames[] = {
      "crash_guard_deaths_total", "crash_guard_exonerated_total",
      "crash_guard_cleared_total", "crash_guard_reports_sent_total",
      "crash_guard_reports_suppressed_total"};
};

/// Rules of the plug-in. Only tests disable them.
template <typename R>
concept CrashGuardRules = requires {
  { R::kStopRetries } -> std::convertible_to<bool>;
  { R::kRefuse } -> std::convertible_to<bool>;
  { R::kBroadcast } -> std::convertible_to<bool>;
  { R::kExonerate } -> std::convertible_to<bool>;
};

struct StandardCrashGuardRules {
  /// A suspected request is not retried at another backend server.
  static constexpr bool kStopRetries = true;
  /// A request is refused after the second death attributed to it.
  static constexpr bool kRefuse = true;
  /// Deaths are reported to all daemons.
  static constexpr bool kBroadcast = true;
  /// A request that was answered recently is not suspected when a connection
  /// breaks: it was running at the same time as the one that caused the crash.
  static constexpr bool kExonerate = true;
};

/// Attributes deaths of backend servers to requests by fingerprint, and refuses
/// requests after repeated deaths. A broken connection counts as a death at
/// once: if the crash were confirmed first, a caller that retries within
/// milliseconds could crash further backend servers in the meantime.
template <CrashGuardRules Rules>
class CrashGuard : public Plugin, public CrashRegister {
 public:
  void Attach(Context& ctx) override;
  void Handle(Context& ctx, const Event& event) override;
  bool HandleOperator(Context& ctx, const OperatorRequested& request) override;

  bool RecordConnectionBreak(Context& ctx, uint64_t fingerprint) override;
  void RecordSuccess(Context& ctx, uint64_t fingerprint) override;
  bool IsBlocked(Time now, uint64_t fingerprint) const override;

 private:
  struct Death {
    Address daemon;
    Time recorded_at{};
  };

  void AddDeath(Context& ctx, uint64_t fingerprint, Address daemon);
  void Clear(uint64_t fingerprint);
  void Broadcast(Context& ctx, const CrashReport& report);
  void DropExpired(Time now);
  void SendSuspectList(Context& ctx, uint64_t request) const;

  std::map<uint64_t, std::vector<Death>> suspects_;
  /// Fingerprints answered recently, and the order in which they are removed.
  std::set<uint64_t> recently_answered_;
  std::deque<uint64_t> answered_order_;
  Time report_window_start_{};
  uint32_t reports_in_window_ = 0;
  Counters<CrashGuardCounter> counters_;
};

}  // namespace buckthorncart

#include "Plugins/Admission/crash_guard_inl.h"
