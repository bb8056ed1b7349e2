#pragma once
/// \file
/// Stops a request that kills each backend server that runs it.

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

/// Rules of the plug-in, which only tests switch off.
template <typename R>
concept CrashGuardRules = requires {
  { R::kStopRetries } -> std::convertible_to<bool>;
  { R::kRefuse } -> std::convertible_to<bool>;
  { R::kSpread } -> std::convertible_to<bool>;
  { R::kExonerate } -> std::convertible_to<bool>;
};

struct StandardCrashGuardRules {
  /// A suspected request is not retried.
  static constexpr bool kStopRetries = true;
  /// A request is refused after its second death.
  static constexpr bool kRefuse = true;
  /// Deaths are told to all daemons.
  static constexpr bool kSpread = true;
  /// A request that has been answered lately is not suspected when a
  /// connection breaks: it only ran beside the one that killed.
  static constexpr bool kExonerate = true;
};

/// A broken connection counts as a death at once: a caller that sends again
/// within milliseconds would kill more backend servers than a slower proof of
/// death would save.
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
    Time at{};
  };

  void AddDeath(Context& ctx, uint64_t fingerprint, Address daemon);
  void Clear(uint64_t fingerprint);
  void Spread(Context& ctx, const CrashReport& report);
  void DropExpired(Time now);
  void AnswerList(Context& ctx, uint64_t request) const;

  std::map<uint64_t, std::vector<Death>> suspects_;
  /// Fingerprints answered lately, and the order in which they are dropped.
  std::set<uint64_t> answered_;
  std::deque<uint64_t> answered_order_;
  Time report_second_{};
  uint32_t reports_in_second_ = 0;
  Counters<CrashGuardCounter> counters_;
};

}  // namespace buckthorncart

#include "Plugins/Admission/crash_guard_inl.h"
