#pragma once
/// \file
/// Deletes claim rows whose retention period has passed.

#include <cstdint>
#include <string>
#include <string_view>

#include "Base/time.h"
#include "Kernel/counters.h"
#include "Kernel/plugin.h"
#include "Platform/platform_messages.h"

namespace buckthorncart {

/// A key may be used again after this time.
inline constexpr uint64_t kClaimRetentionMs = 24ULL * 3'600 * 1'000;

enum class ClaimRowCleanupCounter : uint8_t { kScans, kDeleted };

template <>
struct EnumNames<ClaimRowCleanupCounter> {
  static constexpr std::string_view kNames[] = {"claim_sweep_scans_total",
                                                "claim_sweep_deleted_total"};
};

/// One daemon of the fleet, chosen by rendezvous hash, scans the claim rows a
/// page at a time. The load on the platform does not depend on the size of the
/// fleet: at most one scan of 500 rows and one transaction per second, or twice
/// that while two daemons both consider themselves the chosen one.
class ClaimRowCleanup : public Plugin {
 public:
  void Attach(Context& ctx) override;
  void Handle(Context& ctx, const Event& event) override;

 private:
  static bool IsChosen(Context& ctx);
  void Scan(Context& ctx);
  void HandlePage(Context& ctx, const PlatformReply& reply);

  Time next_scan_{};
  /// Key of the last row of the previous page.
  std::string last_row_key_;
  uint64_t scan_tag_ = 0;
  Counters<ClaimRowCleanupCounter> counters_;
};

}  // namespace buckthorncart
