#pragma once
/// \file
/// Ensures that an unrepeatable request runs at most once.

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
#include "Plugins/Claims/claim_circuit_breaker.h"
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

/// Claims the idempotency key of an unrepeatable call in the platform's table
/// before the call runs, and records its outcome there. Safety depends only on
/// the conditions of the transactions; messages between daemons only report
/// outcomes.
template <ClaimRules Rules>
class Claims : public Plugin {
 public:
  void Attach(Context& ctx) override;
  void Handle(Context& ctx, const Event& event) override;

 private:
  enum class Stage : uint8_t {
    /// A transaction is in flight.
    kWriting,
    /// The claimant has been asked for the outcome of its claim.
    kQuerying,
    kGranted,
  };
  struct Claim {
    uint64_t run = 0;
    CallKey call;
    std::string row_key;
    ClaimRow row;
    Stage stage = Stage::kWriting;
    Time deadline{};
    /// Row that the transaction replaces; none if it inserts a row.
    std::optional<std::string> replaced_row;
    /// Row read from the table, whose claimant is asked.
    std::string found_row;
    ClaimId holder;
    uint32_t lost_answer_retries = 0;
    uint32_t claimant_queries = 0;
    /// Daemons that have asked for the outcome and wait for it.
    std::vector<Address> waiting_daemons;
    /// Other runs of the same request at this daemon; they get the same answer.
    std::vector<uint64_t> joined;
  };
  struct JoinedRun {
    CallKey call;
    std::string row_key;
  };

  void HandleClaimRequested(Context& ctx, const ClaimRequested& requested);
  void Join(Context& ctx, Claim& claim, const ClaimRequested& requested,
            uint64_t fingerprint);
  void Write(Context& ctx, Claim& claim);
  void HandleClaimWritten(Context& ctx, const ClaimWritten& replied);
  void HandleInsertReply(Context& ctx, Claim& claim,
                         const PlatformReply& reply);
  void HandleLostAnswer(Context& ctx, Claim& claim);
  void HandleOccupied(Context& ctx, Claim& claim, const std::string& found_row);
  void QueryClaimant(Context& ctx, Claim& claim);
  void HandleClaimReport(Context& ctx, Address from, const ClaimReport& report);
  void HandleHolderResult(Context& ctx, Claim& claim,
                          const ClaimResult& result);
  void TakeOver(Context& ctx, Claim& claim);
  void Grant(Context& ctx, Claim& claim);
  void HandleBackendAnswer(Context& ctx, const BackendAnswered& answered);
  void HandleClaimUnused(Context& ctx, uint64_t run);
  void HandleDeadline(Context& ctx, uint64_t run);
  void HandlePeerLost(Context& ctx, Address peer);
  void HandleClaimQuery(Context& ctx, Address from, const ClaimQuery& query);
  void HandleOutcomeQuery(Context& ctx, Address from,
                          const OutcomeQuery& query);
  void ReportOutcome(Context& ctx, const CallKey& call,
                     const ClaimResult& result);

  /// Denies the claim as never run. Releases the row if an earlier transaction
  /// may have written it.
  void Refuse(Context& ctx, Claim& claim, Errc reason);
  /// Deletes the row and denies the claim as never run.
  void Release(Context& ctx, Claim& claim, Errc reason);
  /// Denies the run and all runs that joined it, and removes the claim.
  void Deny(Context& ctx, Claim& claim, Errc reason, const ClaimResult& result);
  void DenyRun(Context& ctx, uint64_t run, Errc reason,
               const ClaimResult& result);
  void Finish(Context& ctx, Claim& claim, const ClaimResult& result,
              bool notify_run, Errc reason);
  void RecordOutcome(Context& ctx, const Claim& claim,
                     const ClaimResult& result);
  /// Queues a transaction that is repeated until the platform confirms it.
  void QueueWrite(Context& ctx, Transaction transaction);
  void SendPendingWrites(Context& ctx);
  void PublishPendingWrites(Context& ctx);

  Claim* FindByRun(uint64_t run);

  std::map<std::string, Claim> claims_;
  std::map<uint64_t, std::string> row_key_by_run_;
  std::map<uint64_t, JoinedRun> joined_runs_;
  /// Runs by the tag of the claim transaction in flight.
  std::map<uint64_t, uint64_t> run_by_tag_;
  /// Records and releases that are still to be sent, and those in flight.
  std::deque<Transaction> pending_writes_;
  std::map<uint64_t, Transaction> writes_in_flight_;
  /// Calls whose outcome has been queried while they run.
  std::map<CallKey, bool> queried_calls_;
  ClaimCircuitBreaker circuit_breaker_;
  OutcomeLog outcomes_;
  uint64_t next_sequence_ = 0;
  Counters<ClaimCounter> counters_;
};

}  // namespace buckthorncart

#include "Plugins/Claims/claims_inl.h"
#include "Plugins/Claims/claims_outcome_inl.h"
