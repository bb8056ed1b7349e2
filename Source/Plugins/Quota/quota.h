#pragma once
/// \file
/// Enforces the limits of workspaces over all daemons together.

#include <cstdint>

#include "Kernel/counters.h"
#include "Kernel/plugin.h"
#include "Plugins/Quota/granter_choice.h"
#include "Plugins/Quota/quota_policy.h"
#include "Plugins/Quota/quota_pool.h"
#include "Plugins/Quota/share_leases.h"
#include "Plugins/Quota/token_holder.h"

namespace buckthorncart {

class Context;

enum class QuotaCounter : uint8_t { kLeasesReceived, kTokensGranted };

template <>
struct EnumNames<QuotaCounter> {
  static constexpr std::string_view kNames[] = {"quota_leases_received_total",
                                                "quota_tokens_granted_total"};
};

/// Leases the shares of this daemon to granters, hands out tokens for the
/// shares that are leased to this daemon, and admits calls for tokens.
template <QuotaPolicy Policy>
class Quota : public Plugin {
 public:
  void Attach(Context& ctx) override;
  void Handle(Context& ctx, const Event& event) override;

  const QuotaPool& Pool() const { return pool_; }

 private:
  void HandleTimer(Context& ctx, const TimerFired& timer);
  void HandleDatagram(Context& ctx, const DatagramReceived& received);
  void HandleLease(Context& ctx, Address from, const ShareLease& lease);
  void HandleRequest(Context& ctx, Address from, const TokenRequest& request);
  void AdoptLimits(Context& ctx);
  /// Ends all leases at this daemon, and tells their owners.
  void StopGranting(Context& ctx);
  ShareLeaseReply MakeReply(Context& ctx, uint32_t group) const;

  GranterChoice choice_;
  QuotaPool pool_{{Policy::kEndsLeases, Policy::kClampsBuckets}};
  ShareLeases leases_{choice_, Policy::kWaitsForLeaseEnd};
  TokenHolder holder_{choice_, {Policy::kEnforces, Policy::kExpiresTokens}};
  Counters<QuotaCounter> counters_;
};

}  // namespace buckthorncart

#include "Plugins/Quota/quota_inl.h"
