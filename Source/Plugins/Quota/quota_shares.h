#pragma once
/// \file
/// Shares of the quota that this daemon owns.

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "Base/address.h"
#include "Base/time.h"
#include "Kernel/counters.h"
#include "Kernel/plugin.h"
#include "Plugins/Quota/quota_policy.h"
#include "Plugins/Quota/share_table.h"

namespace buckthorncart {

class Context;
struct PlatformReply;

enum class QuotaSharesCounter : uint8_t { kReads, kWrites, kFailed };

template <>
struct EnumNames<QuotaSharesCounter> {
  static constexpr std::string_view kNames[] = {"quota_share_reads_total",
                                                "quota_share_writes_total",
                                                "quota_share_failures_total"};
};

/// Keeps the owner of each share in a row of the platform's table, which
/// changes under a condition only. An owner that has left the fleet for good is
/// replaced by a claim: it would see the claim with its next read and object,
/// and one that cannot read ends its ownership before the claim takes effect.
template <QuotaPolicy Policy>
class QuotaShares : public Plugin {
 public:
  void Attach(Context& ctx) override;
  void Handle(Context& ctx, const Event& event) override;

 private:
  struct Share {
    bool is_owned = false;
    /// When the last read or write that showed this daemon as the owner was
    /// sent.
    Time confirmed_at{};
    /// When the leases of the earlier owner have ended.
    Time usable_from{};
    /// When a read first showed an owner that is gone.
    std::optional<Time> abandoned_at;
    /// When the claim of this daemon was known to be written.
    std::optional<Time> claimed_at;
  };
  using Table = std::optional<ShareTable>;

  void HandleTimer(Context& ctx);
  void HandleReply(Context& ctx, uint64_t tag, const PlatformReply& reply);
  void HandleRead(Context& ctx, const PlatformReply& reply);
  void HandleWritten(Context& ctx, const PlatformReply& reply);
  void HandleDrain(Context& ctx);
  void Read(Context& ctx);
  void Write(Context& ctx, const ShareTable& next, uint64_t era);
  /// Takes over what `table` says; it was current at `as_of` or later.
  void Observe(Context& ctx, const ShareTable& table, uint64_t era, Time as_of);
  /// Returns the table that this daemon wants instead of `table`.
  Table Plan(Context& ctx, const Table& table, uint64_t era);
  ShareEntry PlanEntry(Context& ctx, size_t n, const ShareTable& table,
                       uint64_t era);
  ShareEntry PlanClaim(Context& ctx, size_t n, const ShareTable& table,
                       uint64_t era);
  Table PlanFirst(Context& ctx, uint64_t era) const;
  static std::vector<Address> FirstOwners(Context& ctx);
  /// Returns the daemon that is to own share `n` among those that are alive.
  static Address Preferred(Context& ctx, size_t n, bool with_self);
  /// Returns the owner in `table` that is to take share `n` over. Owners read
  /// the row most often.
  static Address NextOwner(Context& ctx, size_t n, const ShareTable& table);
  static bool IsGone(Context& ctx, Address owner);
  /// Returns true if the owner of share `n` has been gone for some time.
  bool IsAbandoned(Context& ctx, size_t n, Address owner);
  /// Returns true if no other daemon comes before this one in writing the first
  /// row.
  static bool IsFirst(Context& ctx);
  /// Returns true while another daemon is to write the first row, which tells
  /// this one if it has shares.
  bool WaitsForFirstRow(Context& ctx) const;
  static void NotifyOwners(Context& ctx, const ShareTable& table);
  /// Ends the ownership of shares that have not been confirmed for long.
  void EndOwnership(Context& ctx);
  void UpdateUsable(Context& ctx);
  void Schedule(Context& ctx, Duration delay);
  uint32_t CountOwned() const;

  std::array<Share, kShareCount> shares_{};
  /// Value of the row when it was last read or written.
  std::optional<std::string> row_;
  uint64_t read_tag_ = 0;
  Time read_sent_at_{};
  uint64_t write_tag_ = 0;
  Time write_sent_at_{};
  /// The table that is being written, and the era for which it was planned.
  ShareTable written_;
  uint64_t written_era_ = 0;
  /// The store has been restored during the life of this process.
  bool was_restored_ = false;
  /// The shares have been moved to other daemons, since this one leaves.
  bool gives_away_ = false;
  Time started_at_{};
  uint32_t failures_ = 0;
  /// The store has answered.
  bool has_read_ = false;
  /// The row has been read or written.
  bool knows_row_ = false;
  /// This process has written the first row, and repeats the messages to the
  /// owners.
  bool repeats_notice_ = false;
  /// Reads that found no row.
  uint32_t missing_reads_ = 0;
  uint64_t timer_ = 0;
  uint32_t logged_owned_ = 0;
  Counters<QuotaSharesCounter> counters_;
};

}  // namespace buckthorncart

#include "Plugins/Quota/quota_shares_inl.h"
#include "Plugins/Quota/quota_shares_plan_inl.h"
