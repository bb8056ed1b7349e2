#pragma once
/// \file
/// Bounds how long this daemon can hold an outdated configuration unknowingly.

#include <cstdint>
#include <map>
#include <optional>
#include <string_view>

#include "Base/address.h"
#include "Base/time.h"
#include "Kernel/counters.h"
#include "Kernel/plugin.h"
#include "Kernel/transit_clock.h"
#include "Wire/datagrams.h"

namespace buckthorncart {

class Context;
struct PlatformReply;
struct ConfigurationConfirmed;

enum class FreshnessCounter : uint8_t {
  kChecks,
  kFailedChecks,
  kReportsSent,
  kReportsReceived,
  kQueries,
};

template <>
struct EnumNames<FreshnessCounter> {
  static constexpr std::string_view kNames[] = {
      "freshness_checks_total", "freshness_failed_checks_total",
      "freshness_reports_sent_total", "freshness_reports_received_total",
      "freshness_queries_total"};
};

/// Knows until when the platform is known to have had no configuration newer
/// than the held one. That knowledge is a lease, which this daemon ends by its
/// own clock: if it has not been renewed for some time, the daemon checks with
/// the platform itself, whatever it hears from other daemons.
///
/// A check is answered for all daemons: its result is reported to them, with
/// its age. The first relay checks most often, so that the leases of the others
/// do not end and the number of checks does not grow with the fleet. When its
/// reports are missing, the leases of a data centre end one after the other,
/// and the first successful check renews the others.
class ConfigurationFreshness : public Plugin {
 public:
  void Attach(Context& ctx) override;
  void Handle(Context& ctx, const Event& event) override;

 private:
  /// A check that the platform has not answered yet.
  struct Check {
    Time sent_at{};
    /// Era of the platform's store at that time.
    uint64_t era = 0;
  };

  /// A version that another daemon has reported and this one lacks.
  struct AwaitedVersion {
    FreshnessReport report;
    /// Sender of the last report of that version.
    Address from;
    /// Time of its confirmation.
    Time as_of{};
    /// Time of the first report of that version.
    Time since{};
    bool pulled = false;
  };

  void HandleReply(Context& ctx, uint64_t tag, const PlatformReply& reply);
  void HandleConfirmed(Context& ctx, const ConfigurationConfirmed& confirmed);
  void HandleReport(Context& ctx, Address from, const FreshnessReport& report);
  void HandleQuery(Context& ctx, Address from, const FreshnessQuery& query);
  void HandleAdopted(Context& ctx, uint64_t version);
  void ForgetGone(Context& ctx, Address address);
  /// Ends the lease. The next check follows as if it had been renewed at
  /// `since`.
  void EndLease(Time since);
  /// Returns true if the lease is extended.
  bool Renew(Context& ctx, Time as_of, uint64_t platform_version);
  void StartCheck(Context& ctx);
  void QueryPeer(Context& ctx);
  /// Returns the delay of the next check after one that confirms nothing.
  Duration NextRetryDelay();
  void CountFailure(Context& ctx);
  /// Logs that the held configuration has not been confirmed for long, or is
  /// again.
  void LogState(Context& ctx, bool is_confirmed);
  /// Reports the lease to all other daemons.
  void Broadcast(Context& ctx);
  /// Passes a report on unless a younger one has been.
  void PassOnOnce(Context& ctx, FreshnessReport report, Time as_of);
  /// Keeps the report until its version has been delivered or pulled, so that
  /// not all daemons read a change from the platform.
  void WaitForVersion(Context& ctx, Address from, const FreshnessReport& report,
                      Time as_of);
  void PullAwaited(Context& ctx);
  /// Passes a report on to this daemon's part of the tree below its root.
  void PassOn(Context& ctx, FreshnessReport report);
  void SendReport(Context& ctx, Address to, const FreshnessReport& report);
  FreshnessReport MakeReport(Context& ctx) const;

  /// Returns when the next check with the platform, or query to another daemon,
  /// is due.
  Time NextCheck(Context& ctx) const;
  Time NextPull(Context& ctx) const;
  std::optional<Time> NextQuery(Context& ctx) const;
  void HandleTimer(Context& ctx);
  void Schedule(Context& ctx);

  /// Start of the lease; unset if there is none.
  std::optional<Time> confirmed_at_;
  /// Time from which the next check is reckoned while there is no lease.
  Time waiting_since_{};
  /// Version of the platform's store when it was last confirmed; 0 if unknown.
  uint64_t platform_version_ = 0;
  /// Time of the youngest confirmation that has been passed on.
  Time passed_on_{};
  /// Number of results of checks that have been reported to all daemons.
  uint64_t broadcasts_ = 0;
  std::optional<AwaitedVersion> awaited_;
  std::map<uint64_t, Check> checks_;
  /// Time of the last check, and the earliest time of the next one.
  Time checked_at_{};
  Time retry_at_{};
  /// Consecutive checks that did not confirm the held configuration.
  uint32_t failures_ = 0;
  /// True if the last log line says that the configuration is unconfirmed.
  bool reported_outdated_ = false;
  /// The last query to another daemon.
  uint64_t query_ = 0;
  Time queried_at_{};
  std::map<Address, TransitClock> clocks_;
  /// The timer that is set; earlier ones are ignored.
  std::optional<Time> timer_at_;
  uint64_t timer_ = 0;
  Counters<FreshnessCounter> counters_;
};

}  // namespace buckthorncart
