#pragma once
/// \file
/// Deletes claims whose retention period has passed.

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

enum class ClaimSweepCounter : uint8_t { kScans, kDeleted };

template <>
struct EnumNames<ClaimSweepCounter> {
  static constexpr std::string_view kNames[] = {"claim_sweep_scans_total",
                                                "claim_sweep_deleted_total"};
};

/// One daemon of the fleet, chosen by rendezvous hash, walks over the claims a
/// page at a time. Load on the platform, whatever the size of the fleet: at
/// most one scan of 500 rows and one transaction a second, while two daemons
/// take themselves for the chosen one at most twice that.
class ClaimSweep : public Plugin {
 public:
  void Attach(Context& ctx) override;
  void Handle(Context& ctx, const Event& event) override;

 private:
  static bool IsChosen(Context& ctx);
  void Scan(Context& ctx);
  void HandlePage(Context& ctx, const PlatformReply& reply);

  Time next_scan_{};
  /// Last row of the previous page.
  std::string after_;
  uint64_t scan_tag_ = 0;
  Counters<ClaimSweepCounter> counters_;
};

}  // namespace buckthorncart
