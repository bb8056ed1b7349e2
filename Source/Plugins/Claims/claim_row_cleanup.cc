#include "Plugins/Claims/claim_row_cleanup.h"

#include <memory>
#include <utility>

#include "Base/digest.h"
#include "Kernel/context.h"
#include "Kernel/platform_queue.h"
#include "Kernel/plugin_registry.h"
#include "Plugins/Claims/claim_row.h"
#include "Wire/codec.h"

namespace buckthorncart {
namespace {

const PluginRegistration kRegistration(
    PluginRank::kClaims,
    [](const KernelSettings& /*settings*/) {
      return std::make_unique<ClaimRowCleanup>();
    },
    ConfigurationSource::kAccepted);

constexpr uint32_t kPageRows = 500;
constexpr Duration kPageInterval = 1s;
/// Pause after a complete pass over all claim rows.
constexpr Duration kPassInterval = 60s;

}  // namespace

void ClaimRowCleanup::Attach(Context& ctx) { ctx.AllMetrics().Add(&counters_); }

void ClaimRowCleanup::Handle(Context& ctx, const Event& event) {
  if (const auto* replied = std::get_if<PlatformReplied>(&event)) {
    if (scan_tag_ == 0 || replied->tag != scan_tag_) return;
    scan_tag_ = 0;
    HandlePage(ctx, replied->reply);
    return;
  }
  const auto* timer = std::get_if<TimerFired>(&event);
  if (timer == nullptr || timer->kind != TimerKind::kTick) return;
  if (ctx.Now() < next_scan_ || scan_tag_ != 0 || !ctx.Shared().ready) return;
  next_scan_ = ctx.Now() + kPageInterval;
  if (IsChosen(ctx)) Scan(ctx);
}

bool ClaimRowCleanup::IsChosen(Context& ctx) {
  const uint64_t key = DigestOf(kClaimPrefix);
  const auto weight = [key](Address address) {
    return RendezvousWeight(key, AddressHash{}(address));
  };
  const uint64_t own = weight(ctx.Settings().self);
  for (const auto& [address, member] : ctx.Shared().members) {
    if (member.status != MemberStatus::kAlive) continue;
    if (weight(address) > own) return false;
  }
  return true;
}

void ClaimRowCleanup::Scan(Context& ctx) {
  const auto tag = ctx.Shared().platform->Submit(
      ctx, PlatformPriority::kBackground,
      ScanRows{std::string(kClaimPrefix), last_row_key_, kPageRows});
  if (!tag) return;
  counters_.Add(ClaimRowCleanupCounter::kScans);
  scan_tag_ = *tag;
}

void ClaimRowCleanup::HandlePage(Context& ctx, const PlatformReply& reply) {
  if (reply.status != PlatformStatus::kOk) return;
  const bool last_page = reply.rows.size() < kPageRows;
  last_row_key_ = last_page ? "" : reply.rows.rbegin()->first;
  if (last_page) next_scan_ = ctx.Now() + kPassInterval;
  Transaction transaction;
  for (const auto& [key, value] : reply.rows) {
    const auto row = Decode<ClaimRow>(value);
    if (!row) continue;
    if (row->wall_ms + kClaimRetentionMs > ctx.WallMilliseconds()) continue;
    transaction.conditions.push_back({key, value});
    transaction.writes.push_back({key, std::nullopt});
  }
  if (transaction.writes.empty()) return;
  counters_.Add(ClaimRowCleanupCounter::kDeleted, transaction.writes.size());
  // A lost answer is harmless: the next pass deletes the remaining rows.
  ctx.Shared().platform->Submit(ctx, PlatformPriority::kBackground,
                                std::move(transaction));
}

}  // namespace buckthorncart
