#include "Plugins/Configuration/configuration_freshness.h"

#include <algorithm>
#include <memory>
#include <string>
#include <utility>
#include <variant>

#include "Kernel/context.h"
#include "Kernel/platform_queue.h"
#include "Kernel/plugin_registry.h"
#include "Plugins/Configuration/configuration_follower.h"
#include "Plugins/Configuration/configuration_relays.h"
#include "Plugins/Configuration/freshness_receivers.h"

namespace buckthorncart {
namespace {

const PluginRegistration kRegistration(
    PluginRank::kConfiguration,
    [](const KernelSettings& /*settings*/) {
      return std::make_unique<ConfigurationFreshness>();
    },
    ConfigurationSource::kFollowed);

/// Interval of the checks of the first relay.
constexpr Duration kCheckInterval = 450ms;
/// Age of a lease at which the first and the last daemon of a data centre check
/// with the platform. What is left of two seconds is for a check that has to be
/// repeated.
constexpr Duration kMinPatience = 800ms;
constexpr Duration kMaxPatience = 1'200ms;
/// Age at which a daemon with a narrow link queries another daemon, and the
/// interval of these queries. A check could transfer a whole configuration.
constexpr Duration kQueryPatience = 700ms;
constexpr Duration kQueryInterval = 150ms;
/// Time after which an unanswered check is repeated on another connection, with
/// a wide and with a narrow link.
constexpr Duration kRepeatDelay = 350ms;
constexpr Duration kNarrowRepeatDelay = 1s;
constexpr size_t kMaxChecks = 2;
/// Delay after a failed check; doubles with each further failure. The longest
/// is shorter than the time after which a daemon that has been cut off from the
/// platform has to be current again.
constexpr Duration kMinRetryDelay = 300ms;
constexpr Duration kMaxRetryDelay = 2'400ms;
constexpr uint32_t kMaxRetryDoublings = 3;
/// Time in which a relay usually delivers a version that a report names, with a
/// wide and with a narrow link, and in which a pull does.
constexpr Duration kPullDelay = 50ms;
constexpr Duration kNarrowPullDelay = 250ms;
constexpr Duration kPullTime = 200ms;
/// Age from which on an unconfirmed configuration is logged.
constexpr Duration kReportedAge = 2s;
/// Older reports say nothing of use.
constexpr Duration kMaxReportAge = 60s;
/// Bound for the clocks of other daemons.
constexpr uint64_t kMaxClockUs = 1ULL << 60U;

}  // namespace

void ConfigurationFreshness::Attach(Context& ctx) {
  ctx.AllMetrics().Add(&counters_);
  ctx.AllMetrics().AddGauge("configuration_age_seconds", [this, &ctx] {
    constexpr double kMicroseconds = 1e6;
    const Time since = confirmed_at_.value_or(Time{});
    return static_cast<double>((ctx.Now() - since).count()) / kMicroseconds;
  });
}

void ConfigurationFreshness::Handle(Context& ctx, const Event& event) {
  if (std::holds_alternative<Started>(event) ||
      std::holds_alternative<PlatformRestored>(event)) {
    platform_version_ = 0;
    EndLease(ctx.Now());
  } else if (std::holds_alternative<EventLoopStalled>(event)) {
    EndLease(ctx.Now() - kMaxPatience);
  } else if (const auto* replied = std::get_if<PlatformReplied>(&event)) {
    HandleReply(ctx, replied->tag, replied->reply);
  } else if (const auto* confirmed =
                 std::get_if<ConfigurationConfirmed>(&event)) {
    HandleConfirmed(ctx, *confirmed);
  } else if (const auto* adopted = std::get_if<ConfigurationAdopted>(&event)) {
    HandleAdopted(ctx, adopted->version);
  } else if (const auto* changed = std::get_if<MemberChanged>(&event)) {
    ForgetGone(ctx, changed->address);
    return;
  } else if (const auto* timer = std::get_if<TimerFired>(&event)) {
    if (timer->kind != TimerKind::kFreshness || timer->argument != timer_)
      return;
    timer_at_.reset();
    HandleTimer(ctx);
  } else if (const auto* datagram = std::get_if<DatagramReceived>(&event)) {
    if (const auto* query = std::get_if<FreshnessQuery>(&datagram->message)) {
      HandleQuery(ctx, datagram->from, *query);
      return;
    }
    const auto* report = std::get_if<FreshnessReport>(&datagram->message);
    if (report == nullptr) return;
    HandleReport(ctx, datagram->from, *report);
  } else {
    return;
  }
  Schedule(ctx);
}

// Checks with the platform.

void ConfigurationFreshness::StartCheck(Context& ctx) {
  checked_at_ = ctx.Now();
  const std::string row(kFollowedRow);
  PlatformRequest request = ReadRows{{row}};
  if (platform_version_ > 0) request = WatchRow{row, platform_version_, 0};
  const auto tag = ctx.Shared().platform->Submit(
      ctx, PlatformPriority::kOperator, std::move(request));
  if (!tag) {
    CountFailure(ctx);
    return;
  }
  counters_.Add(FreshnessCounter::kChecks);
  checks_[*tag] = {ctx.Now(), ctx.Shared().platform_era};
}

void ConfigurationFreshness::HandleReply(Context& ctx, uint64_t tag,
                                         const PlatformReply& reply) {
  const auto it = checks_.find(tag);
  if (it == checks_.end()) return;
  const Check check = it->second;
  checks_.erase(it);
  const bool history_lost = reply.status == PlatformStatus::kHistoryLost;
  if (history_lost && platform_version_ > 0) {
    platform_version_ = 0;
    StartCheck(ctx);
    return;
  }
  // A version of another era means other rows.
  const bool is_same_era = check.era == 0 || check.era == reply.era;
  if (reply.status != PlatformStatus::kOk || !is_same_era) {
    CountFailure(ctx);
    return;
  }
  // A row that cannot be applied must not be read without a pause.
  retry_at_ = ctx.Now() + NextRetryDelay();
  const auto sent_us = static_cast<uint64_t>(check.sent_at.count());
  ctx.Raise(ConfigurationRowRead{reply, sent_us});
}

Duration ConfigurationFreshness::NextRetryDelay() {
  const uint32_t doublings = std::min(failures_++, kMaxRetryDoublings);
  return std::min(kMinRetryDelay * (1U << doublings), kMaxRetryDelay);
}

void ConfigurationFreshness::CountFailure(Context& ctx) {
  counters_.Add(FreshnessCounter::kFailedChecks);
  const Duration delay = NextRetryDelay();
  // Daemons that failed at the same time don't come back at the same time.
  const auto jitter = ctx.RandomBelow(static_cast<uint32_t>(delay.count()) / 4);
  retry_at_ = ctx.Now() + delay - Duration(jitter);
  ctx.Raise(ConfigurationUnconfirmed{});
  LogState(ctx, false);
}

void ConfigurationFreshness::LogState(Context& ctx, bool is_confirmed) {
  const Duration age = ctx.Now() - confirmed_at_.value_or(waiting_since_);
  if (!is_confirmed && age < kReportedAge) return;
  if (std::exchange(reported_outdated_, !is_confirmed) == !is_confirmed) return;
  ctx.Log(LogTopic::kConfigurationSource,
          {{"state", is_confirmed ? "confirmed" : "unconfirmed"},
           {"age_ms", std::to_string(ToMilliseconds(age))},
           {"held", std::to_string(ctx.Shared().held->version)}},
          is_confirmed ? LogLevel::kInfo : LogLevel::kWarning);
}

void ConfigurationFreshness::HandleConfirmed(
    Context& ctx, const ConfigurationConfirmed& confirmed) {
  const Time as_of(static_cast<int64_t>(confirmed.as_of_us));
  if (confirmed.was_read) failures_ = 0;
  const bool renewed = Renew(ctx, as_of, confirmed.platform_version);
  if (renewed && confirmed.was_read) Broadcast(ctx);
}

bool ConfigurationFreshness::Renew(Context& ctx, Time as_of,
                                   uint64_t platform_version) {
  as_of = std::min(as_of, ctx.Now());
  if (confirmed_at_ && as_of <= *confirmed_at_) return false;
  confirmed_at_ = as_of;
  platform_version_ = std::max(platform_version_, platform_version);
  LogState(ctx, true);
  return true;
}

void ConfigurationFreshness::EndLease(Time since) {
  confirmed_at_.reset();
  awaited_.reset();
  waiting_since_ = since;
}

// Reports between daemons.

FreshnessReport ConfigurationFreshness::MakeReport(Context& ctx) const {
  FreshnessReport report;
  report.version = ctx.Shared().held->version;
  const Duration age = ctx.Now() - confirmed_at_.value_or(Time{});
  report.age_us = static_cast<uint64_t>(age.count());
  report.platform_version = platform_version_;
  report.platform_era = ctx.Shared().platform_era;
  report.root = ctx.Settings().self;
  return report;
}

void ConfigurationFreshness::SendReport(Context& ctx, Address to,
                                        const FreshnessReport& report) {
  counters_.Add(FreshnessCounter::kReportsSent);
  ctx.SendUdp(to, report);
}

void ConfigurationFreshness::Broadcast(Context& ctx) {
  FreshnessReport report = MakeReport(ctx);
  report.sent_us = static_cast<uint64_t>(ctx.Now().count());
  for (const Address entry : FreshnessEntries(ctx, ++broadcasts_)) {
    report.root = entry;
    SendReport(ctx, entry, report);
  }
  report.root = ctx.Settings().self;
  PassOn(ctx, report);
}

void ConfigurationFreshness::PassOn(Context& ctx, FreshnessReport report) {
  report.sent_us = static_cast<uint64_t>(ctx.Now().count());
  for (const Address child : FreshnessChildren(ctx, report.root))
    SendReport(ctx, child, report);
}

void ConfigurationFreshness::HandleReport(Context& ctx, Address from,
                                          const FreshnessReport& report) {
  counters_.Add(FreshnessCounter::kReportsReceived);
  // Bounds the clocks; the lease of a daemon that knows nobody yet just ends.
  if (!ctx.Shared().members.contains(from)) return;
  const Duration age(
      std::min(report.age_us, static_cast<uint64_t>(kMaxReportAge.count())));
  const Time sent(static_cast<int64_t>(std::min(report.sent_us, kMaxClockUs)));
  const Duration delay = clocks_[from].DelayOf(sent, ctx.Now());
  Time as_of = ctx.Now() - delay - age;
  if (report.query != 0) {
    if (report.query != query_) return;
    as_of = queried_at_ - age;
  }
  if (report.platform_era != ctx.Shared().platform_era) return;
  if (report.version <= ctx.Shared().held->version) {
    Renew(ctx, as_of, report.platform_version);
    if (report.query == 0) PassOnOnce(ctx, report, as_of);
  } else if (as_of > confirmed_at_.value_or(Time{})) {
    WaitForVersion(ctx, from, report, as_of);
  }
}

void ConfigurationFreshness::ForgetGone(Context& ctx, Address address) {
  const auto it = ctx.Shared().members.find(address);
  const bool is_gone = it == ctx.Shared().members.end() ||
                       it->second.status == MemberStatus::kGone;
  if (is_gone) clocks_.erase(address);
}

void ConfigurationFreshness::PassOnOnce(Context& ctx, FreshnessReport report,
                                        Time as_of) {
  if (as_of <= passed_on_) return;
  passed_on_ = as_of;
  report.age_us = static_cast<uint64_t>((ctx.Now() - as_of).count());
  PassOn(ctx, std::move(report));
}

void ConfigurationFreshness::WaitForVersion(Context& ctx, Address from,
                                            const FreshnessReport& report,
                                            Time as_of) {
  const bool is_newer = !awaited_ || report.version > awaited_->report.version;
  const Time since = is_newer ? ctx.Now() : awaited_->since;
  const bool pulled = !is_newer && awaited_->pulled;
  awaited_ = {report, from, as_of, since, pulled};
}

void ConfigurationFreshness::PullAwaited(Context& ctx) {
  awaited_->pulled = true;
  ctx.Send(awaited_->from, PullChanges{ctx.Shared().held->version, false});
}

void ConfigurationFreshness::HandleAdopted(Context& ctx, uint64_t version) {
  if (!awaited_ || version < awaited_->report.version) return;
  const AwaitedVersion awaited = *std::exchange(awaited_, std::nullopt);
  Renew(ctx, awaited.as_of, awaited.report.platform_version);
  if (awaited.report.query == 0) PassOnOnce(ctx, awaited.report, awaited.as_of);
}

void ConfigurationFreshness::QueryPeer(Context& ctx) {
  queried_at_ = ctx.Now();
  const auto relays = ConfigurationRelays(ctx.Shared()).All();
  if (relays.empty()) return;
  const auto n = static_cast<uint32_t>(relays.size());
  counters_.Add(FreshnessCounter::kQueries);
  ctx.SendUdp(relays[ctx.RandomBelow(n)],
              FreshnessQuery{ctx.Shared().held->version, ++query_});
}

void ConfigurationFreshness::HandleQuery(Context& ctx, Address from,
                                         const FreshnessQuery& query) {
  if (!confirmed_at_ || query.number == 0) return;
  FreshnessReport report = MakeReport(ctx);
  report.query = query.number;
  report.sent_us = static_cast<uint64_t>(ctx.Now().count());
  SendReport(ctx, from, report);
}

// Times.

Time ConfigurationFreshness::NextCheck(Context& ctx) const {
  const ConfigurationRelays relays(ctx.Shared());
  Duration patience = kCheckInterval;
  if (!relays.IsFirstRelay()) {
    const auto spread =
        static_cast<double>((kMaxPatience - kMinPatience).count());
    patience =
        kMinPatience +
        Duration(static_cast<int64_t>(spread * relays.RankInDataCentre()));
  }
  const Time since = confirmed_at_.value_or(waiting_since_);
  Time due = since + patience;
  if (awaited_) {
    const Time delivered = NextPull(ctx) + kPullTime;
    due = std::max(due, std::min(delivered, since + kMaxPatience + kPullTime));
  }
  if (failures_ > 0) due = std::max(due, retry_at_);
  if (checks_.empty()) return due;
  const bool is_wide = ctx.Settings().relays_configuration;
  const Time repeat =
      checked_at_ + (is_wide ? kRepeatDelay : kNarrowRepeatDelay);
  // The platform queue ends each check, so that there is room again by then.
  const Time room = checks_.size() < kMaxChecks ? repeat : checked_at_ + 1s;
  return std::max({due, repeat, room});
}

Time ConfigurationFreshness::NextPull(Context& ctx) const {
  const bool is_wide = ctx.Settings().relays_configuration;
  return awaited_->since + (is_wide ? kPullDelay : kNarrowPullDelay);
}

std::optional<Time> ConfigurationFreshness::NextQuery(Context& ctx) const {
  if (ctx.Settings().relays_configuration) return std::nullopt;
  const Time due = confirmed_at_.value_or(waiting_since_) + kQueryPatience;
  return std::max(due, queried_at_ + kQueryInterval);
}

void ConfigurationFreshness::HandleTimer(Context& ctx) {
  const auto query = NextQuery(ctx);
  if (query && *query <= ctx.Now()) QueryPeer(ctx);
  const bool pulls = awaited_ && !awaited_->pulled;
  if (pulls && NextPull(ctx) <= ctx.Now()) PullAwaited(ctx);
  if (NextCheck(ctx) <= ctx.Now()) StartCheck(ctx);
}

void ConfigurationFreshness::Schedule(Context& ctx) {
  Time due = NextCheck(ctx);
  if (const auto query = NextQuery(ctx)) due = std::min(due, *query);
  if (awaited_ && !awaited_->pulled) due = std::min(due, NextPull(ctx));
  due = std::max(due, ctx.Now() + 1ms);
  if (timer_at_ && *timer_at_ <= due) return;
  timer_at_ = due;
  ctx.SetTimerIn(due - ctx.Now(), TimerKind::kFreshness, ++timer_);
}

}  // namespace buckthorncart
