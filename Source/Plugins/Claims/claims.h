#pragma once
/// \file
/// Lets a request that may not be repeated run at most once.

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "Base/address.h"
#include "Base/error.h"
#include "Base/time.h"
#include "Kernel/context.h"
#include "Kernel/counters.h"
#include "Kernel/plugin.h"
#include "Plugins/Claims/claim_circuit.h"
#include "Plugins/Claims/claim_row.h"
#include "Plugins/Claims/claim_rules.h"
#include "Plugins/Claims/outcome_log.h"

namespace buckthorncart {

enum class ClaimCounter : uint8_t {
  kWanted,
  kGranted,
  kWrites,
  kJoined,
  kOccupied,
  kTakenOver,
  kReleased,
  kDeniedNotRun,
  kDeniedUnknown,
  kDeniedAnswered,
  kShortCircuit,
  kSettled,
};

template <>
struct EnumNames<ClaimCounter> {
  static constexpr std::string_view kNames[] = {
      "claims_wanted_total",          "claims_granted_total",
      "claim_writes_total",           "claims_joined_total",
      "claims_occupied_total",        "claims_taken_over_total",
      "claims_released_total",        "claims_denied_not_run_total",
      "claims_denied_unknown_total",  "claims_denied_answered_total",
      "claims_short_circuited_total", "claim_answers_settled_total"};
};

/// Claims the key of an unrepeatable call in the platform's table before it
/// runs, and records its outcome there. Safety rests on the conditions of the
/// transactions alone; messages between daemons only tell outcomes.
template <ClaimRules Rules>
class Claims : public Plugin {
 public:
  void Attach(Context& ctx) override;
  void Handle(Context& ctx, const Event& event) override;

 private:
  enum class Stage : uint8_t {
    /// A transaction is under way.
    kWriting,
    /// The claimant has been asked what became of its claim.
    kAsking,
    kGranted,
  };
  struct Claim {
    uint64_t run = 0;
    CallKey call;
    std::string row_key;
    ClaimRow row;
    Stage stage = Stage::kWriting;
    Time deadline{};
    /// Row that the transaction replaces; none when it inserts.
    std::optional<std::string> replaced;
    /// Row found in the table, whose claimant is asked.
    std::string found;
    ClaimId holder;
    uint32_t settles = 0;
    uint32_t asks = 0;
    /// Daemons that wait for the outcome.
    std::vector<Address> askers;
    /// Runs of the same request at this daemon, which get the same answer.
    std::vector<uint64_t> joined;
  };
  struct Joined {
    CallKey call;
    std::string row_key;
  };

  void HandleWanted(Context& ctx, const ClaimRequested& wanted);
  void Join(Context& ctx, Claim& claim, const ClaimRequested& wanted,
            uint64_t fingerprint);
  void Write(Context& ctx, Claim& claim);
  void HandleReply(Context& ctx, const ClaimWritten& replied);
  void HandleInsertReply(Context& ctx, Claim& claim,
                         const PlatformReply& reply);
  void HandleLostAnswer(Context& ctx, Claim& claim);
  void HandleOccupied(Context& ctx, Claim& claim, const std::string& found);
  void AskClaimant(Context& ctx, Claim& claim);
  void HandleReport(Context& ctx, Address from, const ClaimReport& report);
  void HandleResult(Context& ctx, Claim& claim, const ClaimResult& result);
  void TakeOver(Context& ctx, Claim& claim);
  void Grant(Context& ctx, Claim& claim);
  void HandleAnswer(Context& ctx, const BackendAnswered& answered);
  void HandleUnused(Context& ctx, uint64_t run);
  void HandleDeadline(Context& ctx, uint64_t run);
  void HandlePeerLost(Context& ctx, Address peer);
  void HandleQuery(Context& ctx, Address from, const ClaimQuery& query);
  void HandleOutcomeQuery(Context& ctx, Address from,
                          const OutcomeQuery& query);
  void ReportOutcome(Context& ctx, const CallKey& call,
                     const ClaimResult& result);

  /// Tells that the request has not run; gives the row up if it may be held.
  void Refuse(Context& ctx, Claim& claim, Errc reason);
  /// Gives the row up and tells that the request has not run.
  void Release(Context& ctx, Claim& claim, Errc reason);
  /// Denies the run and all that joined it, and forgets the claim.
  void Deny(Context& ctx, Claim& claim, Errc reason, const ClaimResult& result);
  void DenyRun(Context& ctx, uint64_t run, Errc reason,
               const ClaimResult& result);
  void Finish(Context& ctx, Claim& claim, const ClaimResult& result,
              bool tell_run, Errc reason);
  void LogOutcome(Context& ctx, const Claim& claim, const ClaimResult& result);
  /// Queues a transaction that is repeated until its outcome is known.
  void WriteLater(Context& ctx, Transaction transaction);
  void SendPending(Context& ctx);
  void NotePending(Context& ctx);

  Claim* FindByRun(uint64_t run);

  std::map<std::string, Claim> claims_;
  std::map<uint64_t, std::string> row_of_run_;
  std::map<uint64_t, Joined> joined_;
  /// Platform tags of claims under way.
  std::map<uint64_t, uint64_t> run_of_tag_;
  /// Records and releases that have not been confirmed, and those under way.
  std::deque<Transaction> pending_;
  std::map<uint64_t, Transaction> pending_tags_;
  /// Calls whose outcome has been asked for while they run.
  std::map<CallKey, bool> asked_calls_;
  ClaimCircuit circuit_;
  OutcomeLog outcomes_;
  uint64_t next_sequence_ = 0;
  Counters<ClaimCounter> counters_;
};

}  // namespace buckthorncart

#include "Plugins/Claims/claims_inl.h"
#include "Plugins/Claims/claims_outcome_inl.h"
