#pragma once
/// \file
/// Leases of the shares of this daemon to granters.

#include <array>
#include <cstdint>

#include "Base/address.h"
#include "Base/time.h"
#include "Kernel/counters.h"
#include "Plugins/Quota/granter_choice.h"
#include "Plugins/Quota/quota_rules.h"
#include "Wire/quota_messages.h"

namespace buckthorncart {

class Context;

enum class ShareLeaseCounter : uint8_t { kSent, kMoves };

template <>
struct EnumNames<ShareLeaseCounter> {
  static constexpr std::string_view kNames[] = {"quota_leases_sent_total",
                                                "quota_granter_moves_total"};
};

/// For each group, leases the shares that this daemon owns to one granter at a
/// time; to another one only when the last lease has ended by the clock of this
/// daemon. Two granters therefore never have the same share, whatever they and
/// this daemon believe of one another.
class ShareLeases {
 public:
  ShareLeases(GranterChoice& choice, bool waits_for_lease_end)
      : choice_(choice), waits_for_lease_end_(waits_for_lease_end) {}

  void Attach(Context& ctx);
  void Start(Context& ctx);
  /// Leases shares that have become usable at once.
  void HandleShares(Context& ctx);
  /// Handles a timer of kind `kQuotaLease`.
  void HandleTimer(Context& ctx, uint64_t argument);
  void HandleReply(Context& ctx, Address from, const ShareLeaseReply& reply);

 private:
  struct Group {
    Address granter;
    /// Process and time of the last reply of the granter.
    uint64_t incarnation = 0;
    uint64_t issue_us = 0;
    /// Leases that have been sent may be in force until then.
    Time leased_until{};
    uint32_t unanswered = 0;
  };

  void Lease(Context& ctx, uint32_t group);
  void Send(Context& ctx, uint32_t group);

  GranterChoice& choice_;
  bool waits_for_lease_end_;
  std::array<Group, kQuotaGroups> groups_{};
  /// This daemon had shares when it was last asked.
  bool had_shares_ = false;
  Counters<ShareLeaseCounter> counters_;
};

}  // namespace buckthorncart
