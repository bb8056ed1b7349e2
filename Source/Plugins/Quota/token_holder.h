#pragma once
/// \file
/// Tokens of this daemon, and the calls that wait for some.

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "Base/address.h"
#include "Base/time.h"
#include "Kernel/counters.h"
#include "Kernel/quota_gate.h"
#include "Plugins/Quota/granter_choice.h"
#include "Plugins/Requests/decaying_sum.h"
#include "Wire/quota_messages.h"

namespace buckthorncart {

enum class TokenCounter : uint8_t {
  kAdmitted,
  kRefused,
  kRequests,
  kUnanswered,
  kReturned,
  kExpired,
};

template <>
struct EnumNames<TokenCounter> {
  static constexpr std::string_view kNames[] = {
      "quota_admitted_total",   "quota_refused_total",  "quota_requests_total",
      "quota_unanswered_total", "quota_returned_total", "quota_expired_total"};
};

/// Admits a call for each token. If there is none, asks the granter of the
/// workspace for those of the calls that wait, and of the calls that are
/// expected until the tokens expire if these are several.
class TokenHolder : public QuotaGate {
 public:
  struct Rules {
    bool enforces = true;
    bool expires_tokens = true;
  };

  TokenHolder(GranterChoice& choice, Rules rules)
      : choice_(choice), rules_(rules) {}

  void Attach(Context& ctx);
  QuotaDecision Ask(Context& ctx, uint64_t call,
                    const Workspace& workspace) override;
  void Settle(Context& ctx, uint64_t call, bool may_have_run) override;

  void HandleReply(Context& ctx, const TokenReply& reply);
  void HandleTimeout(Context& ctx, uint64_t request);
  /// Drops the tokens of workspaces whose limit has changed, and what is known
  /// of others.
  void HandleLimits(Context& ctx);

 private:
  struct Batch {
    uint32_t tokens = 0;
    Time expires_at{};
  };
  /// A request for tokens that has not been answered.
  struct PendingRequest {
    std::string workspace;
    Address granter;
    Time sent_at{};
    uint32_t tokens = 0;
  };
  struct Holding {
    uint64_t rate_per_1000_s = 0;
    uint32_t burst = 0;
    std::deque<Batch> batches;
    std::deque<uint64_t> waiting;
    /// Number of the pending request; 0 if there is none.
    uint64_t request = 0;
    /// Requests in a row that were not answered.
    uint32_t unanswered = 0;
    /// Until then calls are refused without a request.
    Time paused_until{};
    DecayingSum demand{1s};
    /// The last answer, with its granter and the time of its arrival.
    TokenReply last;
    Address granter;
    Time answered_at{};
  };
  /// What a call has of the quota.
  struct CallTokens {
    std::string workspace;
    /// Expiry of the last token that it has taken; unset while it waits.
    std::optional<Time> expires_at;
  };

  void DropExpired(Holding& holding, Time now);
  bool TakeToken(Context& ctx, Holding& holding, uint64_t call);
  void SendRequest(Context& ctx, const std::string& name, Holding& holding);
  void AdmitWaiting(Context& ctx, Holding& holding);
  void RefuseWaiting(Context& ctx, const std::string& name, Holding& holding,
                     std::string_view reason);
  /// Counts and logs a refusal; returns the time after which to come back.
  Duration Refuse(Context& ctx, const std::string& name, const Holding& holding,
                  std::string_view reason);

  GranterChoice& choice_;
  Rules rules_;
  std::map<std::string, Holding, std::less<>> holdings_;
  std::map<uint64_t, CallTokens> calls_;
  std::map<uint64_t, PendingRequest> requests_;
  uint64_t next_request_ = 0;
  Counters<TokenCounter> counters_;
};

}  // namespace buckthorncart
